import {Buffer} from 'node:buffer';
import {request as httpRequest} from 'node:http';

export type Kind = 'lookup' | 'release' | 'chart' | 'question';

/** One request and its result as seen by the caller. */
export type ExchangeRecord = {
	readonly id: string;
	readonly kind: Kind;
	readonly sentAt: number;
	status: number;
	body: string;
	isWhole: boolean;
	/** When the caller is told to come back, if it is. */
	retryAfterSeconds?: number;
};

export const kinds: readonly Kind[] = ['lookup', 'release', 'chart', 'question'];
/** Number of events in each stream. */
export const eventCount = 6;
const deadlineMilliseconds = 1500;

/** Sends one request; resolves when its response has ended, cleanly or not. */
export function sendRequest({id, kind, port, key, path = `/${kind}/1`}: {id: string; kind: Kind; port: number; key: string; path?: string}): Promise<ExchangeRecord> {
	return new Promise(resolve => {
		const record: ExchangeRecord = {id, kind, sentAt: performance.now(), status: 0, body: '', isWhole: false};
		const method = kind === 'lookup' ? 'GET' : 'POST';
		const sent = httpRequest({
			host: '127.0.0.1', port, method, path, agent: false, timeout: deadlineMilliseconds + 500,
			headers: {host: 'studio.example', 'request-id': id, authorization: `Bearer ${key}`, 'deadline-ms': String(deadlineMilliseconds)},
		});
		sent.once('response', response => {
			record.status = response.statusCode ?? 0;
			if (response.headers['retry-after'] !== undefined) {
				record.retryAfterSeconds = Number(response.headers['retry-after']);
			}

			response.on('data', (part: Uint8Array) => {
				record.body += Buffer.from(part).toString();
			});
			response.on('error', () => undefined);
			response.once('close', () => {
				record.isWhole = response.complete;
				resolve(record);
			});
		});
		sent.on('timeout', () => {
			sent.destroy();
		});
		sent.on('error', () => {
			resolve(record);
		});
		sent.end(method === 'POST' ? 'artwork' : undefined);
	});
}
