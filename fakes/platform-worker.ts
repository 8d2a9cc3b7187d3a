import {once} from 'node:events';
import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {toHeaderValue} from '../src/model/index.js';

/** How a worker responds to one request. */
export type WorkerAnswer
	= | {readonly type: 'whole'; readonly status?: number; readonly body: string; readonly headers?: Readonly<Record<string, string>>; readonly afterMilliseconds?: number; readonly isUnframed?: boolean}
	/** A body of pieces, one after another, in chunks unless its length is stated. */
		| {readonly type: 'pieces'; readonly count: number; readonly bytes: number; readonly gapMilliseconds: number; readonly hasLength?: boolean}
	/**
	 * Events numbered after `Last-Event-Id`; the connection is broken after event `cutAfter`, in the middle of the next one. An unframed
	 * response has neither a length nor chunks and ends with its connection, in an orderly way where it is cut, too. After event `silentAfter`
	 * nothing more comes. Events may have gaps of their own, and a comment that makes them larger. A connection may be broken by a reset.
	 */
		| {
			readonly type: 'events'; readonly count: number; readonly gapMilliseconds?: number; readonly cutAfter?: number; readonly silentAfter?: number; readonly firstAfterMilliseconds?: number;
			readonly isUnframed?: boolean; readonly gapsMilliseconds?: readonly number[]; readonly paddingBytes?: number; readonly isReset?: boolean;
		}
		| {readonly type: 'not-run'}
		| {readonly type: 'silent'}
		| {readonly type: 'reset'}
	/**
	 * The worker ends after a time, or in the middle of a stream: it resets all its connections and accepts no more. If it falls silent
	 * instead, its connections stay open, and nothing is sent or received on them any more.
	 */
		| {readonly type: 'crash'; readonly isSilent?: boolean; readonly afterMilliseconds?: number; readonly afterEvents?: number};

/** A request as a worker received it. */
export type WorkerRequest = {readonly id: string; readonly method: string; readonly path: string; readonly headers: IncomingMessage['headers']; readonly body: string; readonly at: number; readonly statements: Readonly<Record<string, string>>; wasRun: boolean};

/** Chooses the response to a request. */
export type ChooseAnswer = (request: WorkerRequest) => WorkerAnswer;

const defaultAnswer: ChooseAnswer = () => ({type: 'whole', body: 'ok'});

/** Between the events of a stream in which a worker crashes. */
const crashingGapMilliseconds = 10;

function noAction(): void {
	// By default nothing follows a crash.
}

/** A stand-in for a worker of the platform with configurable responses; it records the requests that it receives. */
export class FakePlatformWorker implements AsyncDisposable {
	static async create(id: string, service: string): Promise<FakePlatformWorker> {
		const worker = new FakePlatformWorker(id, service);
		worker.#server.listen(0, '127.0.0.1');
		await once(worker.#server, 'listening');
		return worker;
	}

	answer: ChooseAnswer = defaultAnswer;
	/** Headers of all its responses, in which it states something about itself. */
	statements: Readonly<Record<string, string>> = {};
	/** Cached prompt parts that it reports, as ids and token counts; if undefined, it answers 404 to requests for the list. */
	kept: ReadonlyArray<readonly [string, number]> | undefined;
	/** Number of requests for the list of cached prompt parts. */
	listings = 0;
	/** Called when it has crashed. */
	onCrash: (how: {readonly isSilent: boolean}) => void = noAction;
	readonly id: string;
	readonly service: string;
	readonly requests: WorkerRequest[] = [];
	/** Ids of requests whose connection closed before the response was sent. */
	readonly abandoned: string[] = [];
	/** When those connections closed, by the request's id. */
	readonly abandonedAt = new Map<string, number>();
	/** When it had sent its last byte, by the request's id. */
	readonly finishedAt = new Map<string, number>();
	/** When it broke off an answer itself, by the request's id. */
	readonly brokenOffAt = new Map<string, number>();
	readonly #server: Server = createServer((request, response) => {
		void this.#take(request, response);
	});

	#hasCrashed = false;

	private constructor(id: string, service: string) {
		this.id = id;
		this.service = service;
	}

	/** Returns the registration that it would write to the store under its id as a heartbeat. */
	beat(more: Readonly<Record<string, unknown>> = {}): Record<string, unknown> {
		return {service: this.service, address: this.address, zone: 'zone-a', version: 'v1', slots: 16, state: 'ready', seq: 1, ...more};
	}

	get address(): string {
		return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	/** Ends it, as if by a fault of its machine. */
	fail({isSilent}: {isSilent: boolean}): void {
		if (this.#hasCrashed) {
			return;
		}

		this.#hasCrashed = true;
		if (!isSilent) {
			this.#server.close();
			this.#server.closeAllConnections();
		}

		this.onCrash({isSilent});
	}

	async #take(request: IncomingMessage, response: ServerResponse): Promise<void> {
		let body = '';
		for await (const part of request) {
			body += String(part);
		}

		if (request.url === '/v1/kv-list') {
			this.listings += 1;
			response.writeHead(this.kept === undefined ? 404 : 200, this.statements).end(JSON.stringify({epoch: 1, next: 1, held: this.kept?.map(([part, tokens]) => ['', part, tokens, 'm'])}));
			return;
		}

		const id = String(request.headers['request-id']);
		if (request.headers['target-instance'] !== toHeaderValue(this.id)) {
			response.writeHead(421, {'Instance-Id': toHeaderValue(this.id), ...this.statements}).end();
			return;
		}

		const received = {id, method: request.method ?? '', path: request.url ?? '', headers: request.headers, body, at: performance.now(), statements: this.statements, wasRun: false};
		this.requests.push(received);
		response.once('finish', () => {
			this.finishedAt.set(id, performance.now());
		});
		response.once('close', () => {
			if (!response.writableFinished) {
				this.abandoned.push(id);
				this.abandonedAt.set(id, performance.now());
			}
		});
		await this.#answer(received, response);
	}

	async #answer(request: WorkerRequest, response: ServerResponse): Promise<void> {
		const answer = this.answer(request);
		request.wasRun = answer.type !== 'not-run';
		const signatureHeaders = this.#signatureHeaders(request);
		response.useChunkedEncodingByDefault = !('isUnframed' in answer && answer.isUnframed);
		switch (answer.type) {
			case 'whole': {
				await sleep(answer.afterMilliseconds ?? 0);
				response.writeHead(answer.status ?? 200, {...signatureHeaders, ...answer.headers}).end(answer.body);
				return;
			}

			case 'pieces': {
				response.writeHead(200, {...signatureHeaders, ...(answer.hasLength === true && {'Content-Length': answer.count * answer.bytes})});
				for (let number = 0; number < answer.count; number++) {
					await sleep(answer.gapMilliseconds);
					response.write('x'.repeat(answer.bytes));
				}

				response.end();
				return;
			}

			case 'events': {
				response.writeHead(200, {...signatureHeaders, 'Content-Type': 'text/event-stream'});
				await sendEvents(response, answer, {requestId: request.id, after: Number(request.headers['last-event-id'] ?? 0), onBreak: () => {
					this.brokenOffAt.set(request.id, performance.now());
				}});
				return;
			}

			case 'not-run': {
				response.writeHead(503, {'Not-Executed': '1', ...this.statements}).end();
				return;
			}

			case 'silent': {
				return;
			}

			case 'reset': {
				this.brokenOffAt.set(request.id, performance.now());
				response.socket?.resetAndDestroy();
				return;
			}

			case 'crash': {
				await this.#crash(request, response, answer);
			}
		}
	}

	async #crash(request: WorkerRequest, response: ServerResponse, {isSilent = false, afterMilliseconds = 0, afterEvents = 0}: Extract<WorkerAnswer, {type: 'crash'}>): Promise<void> {
		await sleep(afterMilliseconds);
		if (afterEvents > 0) {
			response.writeHead(200, {...this.#signatureHeaders(request), 'Content-Type': 'text/event-stream'});
			const after = Number(request.headers['last-event-id'] ?? 0);
			for (let number = after + 1; number <= after + afterEvents; number++) {
				await sleep(crashingGapMilliseconds);
				writeEvent(response, request.id, number);
			}
		}

		this.fail({isSilent});
	}

	#signatureHeaders({id}: WorkerRequest): Record<string, string> {
		return {'Request-Id': id, 'Upstream-Signature': toHeaderValue(`${this.id}.1`), ...this.statements};
	}
}

type SentStream = {readonly requestId: string; readonly after: number; readonly onBreak: () => void};

async function sendEvents(
	response: ServerResponse,
	{count, gapMilliseconds = 0, cutAfter, silentAfter = Infinity, firstAfterMilliseconds = 0, isUnframed = false, gapsMilliseconds, paddingBytes = 0, isReset = false}: Extract<WorkerAnswer, {type: 'events'}>,
	{requestId, after, onBreak}: SentStream,
): Promise<void> {
	await sleep(firstAfterMilliseconds);
	for (let number = after + 1; number <= count; number++) {
		await sleep(gapsMilliseconds?.[number - 1] ?? gapMilliseconds);
		if (number > silentAfter) {
			return;
		}

		if (cutAfter !== undefined && number > cutAfter) {
			response.write(`id: ${number}\nda`);
			await sleep(20);
			onBreak();
			if (isUnframed) {
				response.end();
			} else if (isReset) {
				response.socket?.resetAndDestroy();
			} else {
				response.destroy();
			}

			return;
		}

		if (paddingBytes > 0) {
			response.write(`: ${'.'.repeat(paddingBytes)}\n`);
		}

		writeEvent(response, requestId, number);
	}

	response.end();
}

function writeEvent(response: ServerResponse, requestId: string, number: number): void {
	response.write(`id: ${number}\ndata: ${requestId} ${number}\n\n`);
}

async function sleep(milliseconds: number): Promise<void> {
	if (milliseconds > 0) {
		await new Promise(resolve => {
			setTimeout(resolve, milliseconds);
		});
	}
}
