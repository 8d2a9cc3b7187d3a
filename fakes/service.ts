import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {Readable} from 'node:stream';
import {pipeline} from 'node:stream/promises';
import {setTimeout as delay} from 'node:timers/promises';
import {z} from 'zod';
import {
	FakeServer, readBody, replyError, replyJson, serverFaultShape, type Exchange,
} from './server.js';

export const serviceFaultsSchema = z.strictObject({
	...serverFaultShape,
	/** How many of the next calls run without a response being sent. */
	loseAnswers: z.number().int().nonnegative().default(0),
	/** How many of the next responses end in the middle of the body. */
	truncateAnswers: z.number().int().nonnegative().default(0),
	/** How many of the next calls are refused with 429 before they run. */
	refuseCalls: z.number().int().nonnegative().default(0),
	/** A call whose body contains this text crashes the service; empty means none does. */
	poison: z.string().default(''),
	/** Time from a crash to the restart; 0 means the service stays down until `start`. */
	restartMilliseconds: z.number().nonnegative().default(0),
	/** How long a ticket takes. */
	workMilliseconds: z.number().nonnegative().default(0),
});
export type ServiceFaults = z.infer<typeof serviceFaultsSchema>;

const chunkBytes = 16 * 1024;

/**
 * A stand-in for a plain service. `/echo` returns the body, `/tickets` counts what it ran by
 * `Idempotency-Key` and `X-Request-Id`, `/bytes?count=N` streams a large response.
 */
export class FakeService implements AsyncDisposable {
	static async create(settings: {port?: number; faults?: Partial<ServiceFaults>} = {}): Promise<FakeService> {
		const service = new FakeService(serviceFaultsSchema.parse(settings.faults ?? {}));
		service.#server = await FakeServer.create({
			port: settings.port ?? 0,
			faults: service.faults,
			parseFaults: value => serviceFaultsSchema.parse(value),
			handle: exchange => service.#handle(exchange),
			counts: () => ({
				runsByKey: Object.fromEntries(service.runsByKey), runsByRequest: Object.fromEntries(service.runsByRequest), crashes: service.crashes,
			}),
		});
		return service;
	}

	readonly faults: ServiceFaults;
	/** How often each key and each request id ran here. Tests rely on these counts. */
	readonly runsByKey = new Map<string, number>();
	readonly runsByRequest = new Map<string, number>();
	/** How often each body ran, for calls whose request id the caller does not learn. */
	readonly runsByBody = new Map<string, number>();
	crashes = 0;
	#tickets = 0;
	#server: FakeServer<ServiceFaults> | undefined;

	private constructor(faults: ServiceFaults) {
		this.faults = faults;
	}

	get url(): string {
		return this.#server!.url;
	}

	/** Breaks every connection and refuses new ones, until `start` or `restartMilliseconds` later. */
	async crash(): Promise<void> {
		this.crashes++;
		await this.#server!.stop();
		if (this.faults.restartMilliseconds > 0) {
			setTimeout(() => {
				void this.start();
			}, this.faults.restartMilliseconds).unref();
		}
	}

	async start(): Promise<void> {
		await this.#server!.start();
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.faults.restartMilliseconds = 0;
		await this.#server?.[Symbol.asyncDispose]();
	}

	async #handle(exchange: Exchange): Promise<void> {
		const root = exchange.path[0] ?? '';
		switch (root) {
			case 'health': {
				replyJson(exchange.response, 200, {});
				return;
			}

			case 'echo': {
				await echo(exchange);
				return;
			}

			case 'bytes': {
				await streamBytes(exchange);
				return;
			}

			case 'tickets': {
				await this.#ticket(exchange);
				return;
			}

			default: {
				replyError(exchange.response, 404, 'no such path');
			}
		}
	}

	async #ticket({request, response}: Exchange): Promise<void> {
		const body = await readBody(request);
		if (this.faults.refuseCalls > 0) {
			this.faults.refuseCalls--;
			replyError(response, 429, 'told to refuse', {'retry-after': '1'});
			return;
		}

		this.#count(request.headers['idempotency-key'], request.headers['x-request-id'], body);
		if (this.faults.poison !== '' && body.includes(this.faults.poison)) {
			await this.crash();
			return;
		}

		this.#tickets++;
		const answer = {ticket: this.#tickets, body};
		await delay(this.faults.workMilliseconds);
		if (this.faults.loseAnswers > 0) {
			this.faults.loseAnswers--;
			request.socket.resetAndDestroy();
			return;
		}

		if (this.faults.truncateAnswers > 0) {
			this.faults.truncateAnswers--;
			const text = JSON.stringify(answer);
			response.writeHead(200, {'content-type': 'application/json', 'content-length': text.length});
			response.write(text.slice(0, text.length / 2));
			await delay(1);
			response.destroy();
			return;
		}

		replyJson(response, 200, answer);
	}

	#count(key: string | string[] | undefined, requestId: string | string[] | undefined, body: string): void {
		increment(this.runsByBody, body);
		if (typeof key === 'string') {
			increment(this.runsByKey, key);
		}

		if (typeof requestId === 'string') {
			increment(this.runsByRequest, requestId);
		}
	}
}

function increment(counts: Map<string, number>, name: string): void {
	counts.set(name, (counts.get(name) ?? 0) + 1);
}

async function echo({method, request, response}: Exchange): Promise<void> {
	response.writeHead(200, {
		'content-type': request.headers['content-type'] ?? 'application/octet-stream',
		'x-echo-method': method,
		'x-echo-path': request.url ?? '',
		'x-echo-request-id': String(request.headers['x-request-id'] ?? ''),
	});
	for await (const chunk of request as AsyncIterable<Uint8Array>) {
		if (!response.write(chunk)) {
			await once(response, 'drain');
		}
	}

	response.end();
}

async function streamBytes({query, response}: Exchange): Promise<void> {
	const count = z.coerce.number().int().nonnegative().parse(query.get('count') ?? 0);
	response.writeHead(200, {'content-type': 'application/octet-stream', 'content-length': count});
	// A caller may disconnect before the end.
	await pipeline(Readable.from(blocks(count)), response).catch(() => undefined);
}

function * blocks(count: number): Generator<Uint8Array> {
	for (let left = count; left > 0; left -= chunkBytes) {
		yield Buffer.alloc(Math.min(left, chunkBytes), 'x');
	}
}
