import {once} from 'node:events';
import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';

/** How a worker answers one request. */
export type WorkerAnswer
	= | {readonly type: 'whole'; readonly status?: number; readonly body: string; readonly headers?: Readonly<Record<string, string>>; readonly afterMilliseconds?: number}
	/** Events numbered from `first`; cut after `cutAfter` of them, in the middle of the next one. */
		| {readonly type: 'events'; readonly count: number; readonly gapMilliseconds?: number; readonly cutAfter?: number; readonly firstAfterMilliseconds?: number}
		| {readonly type: 'not-run'}
		| {readonly type: 'silent'}
		| {readonly type: 'reset'};

/** A request as it came to a worker. */
export type WorkerRequest = {readonly id: string; readonly method: string; readonly path: string; readonly headers: IncomingMessage['headers']; readonly body: string; wasRun: boolean};

/** Chooses how a request is answered. */
export type ChooseAnswer = (request: WorkerRequest) => WorkerAnswer;

const plainAnswer: ChooseAnswer = () => ({type: 'whole', body: 'ok'});

/** A stand-in for a worker of the platform: it answers as it is told, and remembers what came. */
export class FakePlatformWorker implements AsyncDisposable {
	static async create(id: string, service: string): Promise<FakePlatformWorker> {
		const worker = new FakePlatformWorker(id, service);
		worker.#server.listen(0, '127.0.0.1');
		await once(worker.#server, 'listening');
		return worker;
	}

	answer: ChooseAnswer = plainAnswer;
	/** Prompt parts that it says it keeps, as ids and tokens; without them it has no such list. */
	kept: ReadonlyArray<readonly [string, number]> | undefined;
	/** How often it was asked for them. */
	listings = 0;
	readonly id: string;
	readonly service: string;
	readonly requests: WorkerRequest[] = [];
	/** Ids of requests whose connection closed before their answer was out. */
	readonly abandoned: string[] = [];
	readonly #server: Server = createServer((request, response) => {
		void this.#take(request, response);
	});

	private constructor(id: string, service: string) {
		this.id = id;
		this.service = service;
	}

	/** What it registers under its id. */
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

	async #take(request: IncomingMessage, response: ServerResponse): Promise<void> {
		let body = '';
		for await (const part of request) {
			body += String(part);
		}

		if (request.url === '/v1/kv-list') {
			this.listings += 1;
			response.writeHead(this.kept === undefined ? 404 : 200).end(JSON.stringify({epoch: 1, next: 1, held: this.kept?.map(([part, tokens]) => ['', part, tokens, 'm'])}));
			return;
		}

		const id = String(request.headers['request-id']);
		if (request.headers['target-instance'] !== this.id) {
			response.writeHead(421, {'Instance-Id': this.id}).end();
			return;
		}

		const taken = {id, method: request.method ?? '', path: request.url ?? '', headers: request.headers, body, wasRun: false};
		this.requests.push(taken);
		response.once('close', () => {
			if (!response.writableFinished) {
				this.abandoned.push(id);
			}
		});
		await this.#answer(taken, response);
	}

	async #answer(request: WorkerRequest, response: ServerResponse): Promise<void> {
		const answer = this.answer(request);
		request.wasRun = answer.type !== 'not-run';
		const signed = {'Request-Id': request.id, 'Upstream-Signature': `${this.id}.1`};
		switch (answer.type) {
			case 'whole': {
				await sleep(answer.afterMilliseconds ?? 0);
				response.writeHead(answer.status ?? 200, {...signed, ...answer.headers}).end(answer.body);
				return;
			}

			case 'events': {
				response.writeHead(200, {...signed, 'Content-Type': 'text/event-stream'});
				await sendEvents(response, answer, {requestId: request.id, after: Number(request.headers['last-event-id'] ?? 0)});
				return;
			}

			case 'not-run': {
				response.writeHead(503, {'Not-Executed': '1'}).end();
				return;
			}

			case 'silent': {
				return;
			}

			case 'reset': {
				response.socket?.resetAndDestroy();
			}
		}
	}
}

async function sendEvents(response: ServerResponse, {count, gapMilliseconds = 0, cutAfter, firstAfterMilliseconds = 0}: Extract<WorkerAnswer, {type: 'events'}>, {requestId, after}: {requestId: string; after: number}): Promise<void> {
	await sleep(firstAfterMilliseconds);
	for (let number = after + 1; number <= count; number++) {
		await sleep(gapMilliseconds);
		if (cutAfter !== undefined && number > cutAfter) {
			response.write(`id: ${number}\nda`);
			await sleep(20);
			response.destroy();
			return;
		}

		response.write(`id: ${number}\ndata: ${requestId} ${number}\n\n`);
	}

	response.end();
}

async function sleep(milliseconds: number): Promise<void> {
	if (milliseconds > 0) {
		await new Promise(resolve => {
			setTimeout(resolve, milliseconds);
		});
	}
}
