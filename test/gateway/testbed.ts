import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {Agent, request as httpRequest, type IncomingHttpHeaders} from 'node:http';
import net, {type AddressInfo} from 'node:net';
import {GatewayProcess} from '../../src/bin/gateway-process.js';
import {parseGatewaySettings} from '../../src/bin/settings/gateway-settings.js';
import {createLogger} from '../../src/telemetry/index.js';
import {platformAdapter} from '../../platform/adapter.js';
import {desiredState} from '../../fakes/platform-state.js';
import {FakePlatformStore} from '../../fakes/platform-store.js';
import {type ChooseAnswer, FakePlatformWorker} from '../../fakes/platform-worker.js';

/** An answer as a caller saw it. */
export type Seen = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	readonly body: string;
	/** False if the connection broke before the end. */
	readonly isWhole: boolean;
	readonly milliseconds: number;
};

export type Ask = {
	readonly path?: string;
	readonly method?: string;
	readonly id?: string;
	readonly key?: string;
	readonly body?: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly leaveAfterMilliseconds?: number;
};

/** Store, workers and one gateway or more, all on loopback. */
export class World implements AsyncDisposable {
	static async create({services = ['orders', 'models'], workersEach = 2}: {services?: readonly string[]; workersEach?: number} = {}): Promise<World> {
		const world = new World(await FakePlatformStore.create());
		for (const service of services) {
			for (let number = 0; number < workersEach; number++) {
				const worker = await FakePlatformWorker.create(`${service}-${number}`, service);
				world.workers.push(worker);
				world.store.put('keyed.servers', worker.id, worker.beat());
			}
		}

		world.store.put('keyed.op', 'config', desiredState(1));
		return world;
	}

	readonly store: FakePlatformStore;
	readonly workers: FakePlatformWorker[] = [];
	readonly lines: Array<Record<string, unknown>> = [];
	readonly gateways: GatewayProcess[] = [];
	readonly #agent = new Agent({keepAlive: true});
	#requests = 0;

	private constructor(store: FakePlatformStore) {
		this.store = store;
	}

	/** Starts a gateway and waits until it is ready. */
	async startGateway(more: Readonly<Record<string, unknown>> = {}): Promise<GatewayProcess> {
		const gateway = await this.openGateway(more);
		await eventually(() => gateway.gateway.isReady);
		return gateway;
	}

	async openGateway(more: Readonly<Record<string, unknown>> = {}): Promise<GatewayProcess> {
		const settings = parseGatewaySettings(JSON.stringify({
			instance: `gateway-${this.gateways.length}`, availabilityZone: 'zone-a', callerAddress: '127.0.0.1:0', adminAddress: '127.0.0.1:0',
			peerAddress: `127.0.0.1:${await freePort()}`, storeAddress: this.store.address, memoryMegabytes: 200, ...more,
		}));
		const output = {
			write: (line: string) => {
				this.lines.push(JSON.parse(line) as Record<string, unknown>);
			},
		};
		const gateway = await GatewayProcess.create({settings, adapter: platformAdapter, logger: createLogger({name: 'gateway', level: 'info', output})});
		this.gateways.push(gateway);
		return gateway;
	}

	ofService(service: string): FakePlatformWorker[] {
		return this.workers.filter(worker => worker.service === service);
	}

	/** Tells all workers of a service how to answer. */
	answerWith(service: string, answer: ChooseAnswer): void {
		for (const worker of this.ofService(service)) {
			worker.answer = answer;
		}
	}

	/** The status of the answer to one request. */
	async statusOf(ask?: Ask, gateway?: GatewayProcess): Promise<number> {
		const {status} = await this.ask(ask, gateway);
		return status;
	}

	/** Every sending that reached a worker, by the caller's id. */
	arrivals(id: string): number {
		let count = 0;
		for (const worker of this.workers) {
			count += worker.requests.filter(request => request.id === id).length;
		}

		return count;
	}

	ask({path = '/lookup/1', method = 'GET', id, key = 'key-a', body, headers = {}, leaveAfterMilliseconds}: Ask = {}, gateway = this.gateways[0]!): Promise<Seen> {
		this.#requests += 1;
		const startedAt = performance.now();
		const [host, port] = gateway.gateway.address.split(':');
		return new Promise(resolve => {
			const sent = httpRequest({
				host, port, method, path, agent: this.#agent,
				headers: {host: 'studio.example', 'request-id': id ?? `r${this.#requests}`, authorization: `Bearer ${key}`, 'deadline-ms': '1500', ...headers},
			});
			const finish = (seen: Omit<Seen, 'milliseconds'>): void => {
				resolve({...seen, milliseconds: performance.now() - startedAt});
			};

			sent.once('response', response => {
				const parts: Uint8Array[] = [];
				response.on('data', (part: Uint8Array) => {
					parts.push(part);
				});
				response.on('close', () => {
					finish({status: response.statusCode ?? 0, headers: response.headers, body: Buffer.concat(parts).toString(), isWhole: response.complete});
				});
				response.on('error', () => undefined);
			});
			sent.on('error', () => {
				finish({status: 0, headers: {}, body: '', isWhole: false});
			});
			sent.end(body);
			if (leaveAfterMilliseconds !== undefined) {
				setTimeout(() => {
					sent.destroy();
				}, leaveAfterMilliseconds);
			}
		});
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#agent.destroy();
		await Promise.all(this.gateways.map(async gateway => gateway[Symbol.asyncDispose]()));
		await Promise.all(this.workers.map(async worker => worker[Symbol.asyncDispose]()));
		await this.store[Symbol.asyncDispose]();
	}
}

/** Waits until it holds; the bound is generous, and only a failure meets it. */
export async function eventually(holds: () => boolean, milliseconds = 10_000): Promise<void> {
	const until = performance.now() + milliseconds;
	while (!holds()) {
		if (performance.now() > until) {
			throw new Error('It did not come about in time.');
		}

		await new Promise(resolve => {
			setTimeout(resolve, 10);
		});
	}
}

async function freePort(): Promise<number> {
	const server = net.createServer();
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	server.close();
	await once(server, 'close');
	return port;
}
