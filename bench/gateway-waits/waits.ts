import {once} from 'node:events';
import {Agent, request} from 'node:http';
import net from 'node:net';

/** Waits of one kind, in milliseconds; those that were not over in time count with the limit. */
export type Waits = {readonly name: string; readonly milliseconds: number[]};

/** A probe that is not answered by then has failed. */
export const probeLimitMilliseconds = 10_000;

/** From the call for a new connection to the answer to its first request, which no route serves: the wait to be accepted and read. */
export async function probeNewConnection(port: number): Promise<number> {
	return probe(port, new Agent({keepAlive: false}));
}

/** From a request on an open connection to its answer: the wait to be read. */
export async function probeOpenConnection(port: number, agent: Agent): Promise<number> {
	return probe(port, agent);
}

/** Sends a request on a connection of its own and hangs up while an endpoint works on it; resolves with the moment of the hang-up. */
export async function hangUp(port: number, {id, path, key, afterMilliseconds, isAbrupt}: {id: string; path: string; key: string; afterMilliseconds: number; isAbrupt: boolean}): Promise<number> {
	const socket = net.connect(port, '127.0.0.1');
	socket.on('error', () => undefined);
	await once(socket, 'connect');
	socket.write(`POST ${path} HTTP/1.1\r\nHost: studio.example\r\nRequest-Id: ${id}\r\nAuthorization: Bearer ${key}\r\nDeadline-Ms: 15000\r\nContent-Length: 0\r\n\r\n`);
	await new Promise(resolve => {
		setTimeout(resolve, afterMilliseconds);
	});
	if (isAbrupt) {
		socket.resetAndDestroy();
	} else {
		socket.destroy();
	}

	return performance.now();
}

async function probe(port: number, agent: Agent): Promise<number> {
	const startedAt = performance.now();
	return new Promise(resolve => {
		const probing = request({host: '127.0.0.1', port, agent, path: '/', headers: {host: 'nobody.example', 'request-id': 'probe'}, timeout: probeLimitMilliseconds});
		probing.once('response', response => {
			response.resume();
			resolve(performance.now() - startedAt);
		});
		probing.once('timeout', () => {
			probing.destroy();
		});
		probing.once('error', () => {
			resolve(probeLimitMilliseconds);
		});
		probing.end();
	});
}

/** The share of values below the result, for a share from 0 to 1. */
export function quantile(values: readonly number[], share: number): number {
	const sorted = values.toSorted((left, right) => left - right);
	return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}
