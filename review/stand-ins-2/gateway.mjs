/** Starts the project's gateway as the deploy file does, on a loopback address of its own. */
import {spawn} from 'node:child_process';
import {
	closeSync, openSync, readFileSync, writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {request} from 'node:http';
import path from 'node:path';
import process from 'node:process';
import {sleep} from './time.mjs';

/** The gateways that were started: none outlives the script, however that ends. */
const children = new Set();
process.once('exit', () => {
	for (const child of children) {
		child.kill('SIGKILL');
	}
});
for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) {
	process.once(signal, () => {
		process.exit(2);
	});
}

const repository = new URL('../..', import.meta.url).pathname;
/** Settings of a small deployment: the users' page DEPLOY.md, by the template of the deploy file. */
const bounds = {
	isFirstStart: true, memoryMegabytes: 200, retryRatio: 0.2, retrySlack: 54, retryWindowSeconds: 10, drainMilliseconds: 2000, applyMilliseconds: 2000, stopSeconds: 8, lateLoop: {givesAway: false},
};

/** The command of the deploy file. */
function runCommand() {
	const deploy = readFileSync(path.join(repository, 'deploy/system.toml'), 'utf8');
	return /^run = "(?<run>[^"]+)"/mv.exec(deploy).groups.run.split(' ');
}

/** Ports that are free on an address, all of them different. */
async function freePorts(host, count) {
	const servers = Array.from({length: count}, () => createServer());
	const ports = await Promise.all(servers.map(async server => new Promise(resolve => {
		server.listen(0, host, () => {
			resolve(server.address().port);
		});
	})));
	await Promise.all(servers.map(async server => new Promise(resolve => {
		server.close(resolve);
	})));
	return ports;
}

export class Gateway {
	static async create({folder, name, host, storeAddress, zone = 'zone-a', settings = {}}) {
		const gateway = new Gateway();
		gateway.name = name;
		gateway.host = host;
		const [callerPort, readyPort, peerPort] = await freePorts(host, 3);
		gateway.callerPort = callerPort;
		gateway.readyPort = readyPort;
		gateway.peerAddress = `${host}:${peerPort}`;
		gateway.logFile = path.join(folder, `${name}.log`);
		gateway.settingsFile = path.join(folder, `${name}.conf`);
		writeFileSync(gateway.settingsFile, JSON.stringify({
			...bounds, instance: name, availabilityZone: zone, callerAddress: `${host}:${gateway.callerPort}`, adminAddress: `${host}:${gateway.readyPort}`, peerAddress: gateway.peerAddress,
			seedHosts: [], storeAddress, ...settings,
		}));
		return gateway;
	}

	start() {
		const [program, ...parameters] = runCommand();
		const output = openSync(this.logFile, 'a');
		const {PATH, HOME, LANG} = process.env;
		this.child = spawn(program, parameters, {
			cwd: repository, env: {
				PATH, HOME, LANG, CASSIAFLOW_CONFIG: this.settingsFile,
			}, stdio: ['ignore', output, output],
		});
		closeSync(output);
		children.add(this.child);
		this.exited = new Promise(resolve => {
			this.child.once('exit', (code, signal) => {
				children.delete(this.child);
				resolve({code, signal});
			});
		});
	}

	get isAlive() {
		return this.child !== undefined && this.child.exitCode === null && this.child.signalCode === null;
	}

	kill(signal) {
		if (this.isAlive) {
			this.child.kill(signal);
		}
	}

	/** The answer to the balancer's question. */
	async isReady() {
		return new Promise(resolve => {
			const question = request({
				host: this.host, port: this.readyPort, path: '/v1/ready', agent: false, timeout: 900,
			}, response => {
				response.resume();
				resolve(response.statusCode === 200);
			});
			question.on('timeout', () => question.destroy());
			question.on('error', () => {
				resolve(false);
			});
			question.end();
		});
	}

	/** Resolves to true once it is ready, or to false if it isn't in time. */
	async whenReady(milliseconds = 10_000) {
		const until = performance.now() + milliseconds;
		/* eslint-disable no-await-in-loop -- it asks again and again */
		while (performance.now() < until) {
			if (await this.isReady()) {
				return true;
			}

			await sleep(50);
		}

		/* eslint-enable no-await-in-loop */
		return false;
	}
}
