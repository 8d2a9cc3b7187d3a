import {once} from 'node:events';
import {readFileSync} from 'node:fs';
import {createServer} from 'node:net';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {splitAddress} from '../model/index.js';
import {type GatewaySettings, parseGatewaySettings} from '../settings/gateway/index.js';
import {firstStopRequest} from './early-signals.js';

/** A start looks so often, and so long, for settings that can be read. */
const settingsRetry = {milliseconds: 100, tries: 20};
/** The process before this one may still hold its ports until the end of its grace. */
const portRetryMilliseconds = 100;

/** The settings of a file, and the text that they were read from; or the program was stopped before they could be read. */
export type StartSettings = {readonly type: 'read'; readonly text: string; readonly settings: GatewaySettings} | {readonly type: 'stopped'};

/**
 * Reads the settings for a start. The platform may write the file at that moment: half of it is no JSON, and a process that ended at it would be
 * missing until it is started again. Throws the last error once the file had time to be whole.
 */
export async function readStartSettings(file: string): Promise<StartSettings> {
	for (let tries = 1; firstStopRequest() === undefined; tries++) {
		try {
			const text = readFileSync(file, 'utf8');
			return {type: 'read', text, settings: parseGatewaySettings(text)};
		} catch (error) {
			if (tries >= settingsRetry.tries) {
				throw error;
			}

			if (tries === 1) {
				process.stderr.write(`cassiaflow-gateway: The settings cannot be read, trying again. ${String(error)}\n`);
			}

			await delay(settingsRetry.milliseconds);
		}
	}

	return {type: 'stopped'};
}

/**
 * Waits until the ports of the settings are free, at most for the time of a graceful shutdown; whoever listens then fails with the error of the port.
 * Resolves to false if the program was stopped before.
 */
export async function waitForPorts({callerAddress, adminAddress, peerAddress, stopSeconds}: GatewaySettings): Promise<boolean> {
	const until = performance.now() + (stopSeconds * 1000);
	for (const address of [callerAddress, adminAddress, peerAddress]) {
		let hasSaid = false;
		while (firstStopRequest() === undefined && !await isFree(address) && performance.now() < until) {
			if (!hasSaid) {
				process.stderr.write(`cassiaflow-gateway: ${address} is in use, trying again.\n`);
				hasSaid = true;
			}

			await delay(portRetryMilliseconds);
		}
	}

	return firstStopRequest() === undefined;
}

async function isFree(address: string): Promise<boolean> {
	const server = createServer();
	try {
		server.listen(splitAddress(address));
		await once(server, 'listening');
		return true;
	} catch (error) {
		return (error as NodeJS.ErrnoException).code !== 'EADDRINUSE';
	} finally {
		server.close();
	}
}
