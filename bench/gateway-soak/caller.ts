import {Buffer} from 'node:buffer';
import {type ClientRequest, request as httpRequest} from 'node:http';

export type Kind = 'lookup' | 'release' | 'chart' | 'question';

/** One request and its result as seen by the caller. */
export type ExchangeRecord = {
	readonly id: string;
	readonly kind: Kind;
	readonly sentAt: number;
	/** When the response had ended, or the caller had left. */
	endedAt: number;
	status: number;
	body: string;
	isWhole: boolean;
	/** When the caller is told to come back, if it is. */
	retryAfterSeconds?: number;
};

export const kinds: readonly Kind[] = ['lookup', 'release', 'chart', 'question'];
/** Number of events in each stream. */
export const eventCount = 6;
/** How long a caller waits. */
export const deadlineMilliseconds = 1500;

const artwork = Buffer.from('artwork');

export type SoakRequest = {
	readonly id: string;
	readonly kind: Kind;
	readonly port: number;
	readonly key: string;
	readonly path?: string;
	/** Its prompt parts, each with its number of tokens. */
	readonly prompt?: string;
	/** Instead of a few bytes. */
	readonly body?: Uint8Array;
	/** The stream that it takes up: the request that began it, and the last event that was received. */
	readonly resumption?: {readonly request: string; readonly lastEvent: number};
	/** When the caller disconnects, whether it has its response or not. */
	readonly leaveAfterMilliseconds?: number;
};

/** Sends one request; resolves when its response has ended, cleanly or not. */
export function sendRequest({id, kind, port, key, path = `/${kind}/1`, prompt, body = artwork, resumption, leaveAfterMilliseconds}: SoakRequest): Promise<ExchangeRecord> {
	return new Promise(resolve => {
		const record: ExchangeRecord = {id, kind, sentAt: performance.now(), endedAt: Infinity, status: 0, body: '', isWhole: false};
		const end = (): void => {
			record.endedAt = Math.min(record.endedAt, performance.now());
			resolve(record);
		};

		const method = kind === 'lookup' ? 'GET' : 'POST';
		const sent = httpRequest({
			host: '127.0.0.1', port, method, path, agent: false, timeout: deadlineMilliseconds + 500,
			headers: {host: 'studio.example', 'request-id': id, authorization: `Bearer ${key}`, 'deadline-ms': String(deadlineMilliseconds), ...(prompt !== undefined && {'prefix-hash': prompt}), ...(resumption !== undefined && {resumes: resumption.request, 'last-event-id': String(resumption.lastEvent)})},
		});
		followResponse(sent, record, end);
		sent.on('timeout', () => {
			sent.destroy();
		});
		sent.on('error', end);
		if (leaveAfterMilliseconds !== undefined) {
			setTimeout(() => {
				sent.destroy();
			}, leaveAfterMilliseconds);
		}

		sent.end(method === 'POST' ? body : undefined);
	});
}

/** Records what comes back for a request; calls `end` once the response has ended, cleanly or not. */
export function followResponse(sent: ClientRequest, record: ExchangeRecord, end: () => void): void {
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
			end();
		});
	});
}
