import {Buffer} from 'node:buffer';
import {Agent} from 'node:http';
import {z} from 'zod';
import {openCall} from './open-call.js';
import {discard, readJson} from './read-answer.js';

const loadSchema = z.object({
	running: z.number(), waiting: z.number(), memoryUsed: z.number(), stepMilliseconds: z.number(),
});
/** An engine's own report. It lags, and it may be wrong. */
export type EngineLoad = z.infer<typeof loadSchema>;

const modelsSchema = z.object({data: z.array(z.object({id: z.string(), version: z.string().optional()}))});

/** An order from the endpoint's own side; `fence` is the number that makes an older owner's order void. */
export type EngineOrder = {
	readonly order: 'load-model' | 'load-adapter' | 'change-role';
	readonly name: string;
	readonly version: string;
	readonly fence: number;
};

export type OrderResult
	= | {readonly type: 'taken'}
	/** The engine has seen a higher fencing number: another incarnation owns it. */
		| {readonly type: 'fenced'}
	/** `mayHaveHappened` is false only if the order certainly did not reach the engine. */
		| {readonly type: 'failed'; readonly mayHaveHappened: boolean; readonly reason: string};

const statusOk = 200;
const statusConflict = 409;
const firstServerError = 500;

/** What a side asks of its engine besides model calls: health, load, models and orders. */
export class EngineControl implements AsyncDisposable {
	static create(settings: {readonly baseUrl: string; readonly timeoutMilliseconds: number}): EngineControl {
		return new EngineControl(settings);
	}

	readonly #baseUrl: string;
	readonly #timeoutMilliseconds: number;
	readonly #agent = new Agent({keepAlive: true});

	private constructor({baseUrl, timeoutMilliseconds}: {readonly baseUrl: string; readonly timeoutMilliseconds: number}) {
		this.#baseUrl = baseUrl.replace(/\/$/v, '');
		this.#timeoutMilliseconds = timeoutMilliseconds;
	}

	/** Whether the engine says that it serves; silence is a no. */
	async isHealthy(): Promise<boolean> {
		const answer = await this.#call('GET', '/health');
		return answer.type === 'answered' && answer.status === statusOk;
	}

	/** The load report; `undefined` if there is none to be had. */
	async load(): Promise<EngineLoad | undefined> {
		const answer = await this.#call('GET', '/load');
		return answer.type === 'answered' ? loadSchema.safeParse(answer.body).data : undefined;
	}

	/** The loaded models with their versions; `undefined` if the engine does not say. */
	async models(): Promise<ReadonlyArray<{id: string; version?: string | undefined}> | undefined> {
		const answer = await this.#call('GET', '/v1/models');
		return answer.type === 'answered' ? modelsSchema.safeParse(answer.body).data?.data : undefined;
	}

	async order(order: EngineOrder): Promise<OrderResult> {
		const answer = await this.#call('POST', '/orders', order);
		if (answer.type === 'failed') {
			return {type: 'failed', mayHaveHappened: answer.mayHaveHappened, reason: answer.reason};
		}

		if (answer.status === statusOk) {
			return {type: 'taken'};
		}

		return answer.status === statusConflict
			? {type: 'fenced'}
			: {type: 'failed', mayHaveHappened: answer.status >= firstServerError, reason: `status ${answer.status}`};
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#agent.destroy();
	}

	async #call(method: string, path: string, body?: unknown): Promise<ControlAnswer> {
		const payload = body === undefined ? undefined : Buffer.from(JSON.stringify(body));
		const opened = await openCall({
			agent: this.#agent,
			isFresh: body !== undefined,
			url: this.#baseUrl + path,
			method,
			headers: payload === undefined ? {} : {'content-type': 'application/json', 'content-length': String(payload.length)},
			headMilliseconds: this.#timeoutMilliseconds,
			write(sent) {
				sent.end(payload);
			},
		});
		if (opened.type === 'failed') {
			return {type: 'failed', mayHaveHappened: opened.failure.verdict !== 'not-run', reason: opened.failure.message};
		}

		const answer = await readJson(opened.response);
		if (!opened.response.complete) {
			discard(opened.response);
			return {type: 'failed', mayHaveHappened: true, reason: 'the answer broke off'};
		}

		return {type: 'answered', status: opened.response.statusCode ?? 0, body: answer};
	}
}

type ControlAnswer
	= | {readonly type: 'answered'; readonly status: number; readonly body: unknown}
		| {readonly type: 'failed'; readonly mayHaveHappened: boolean; readonly reason: string};
