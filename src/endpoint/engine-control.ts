import {Buffer} from 'node:buffer';
import {Agent} from 'node:http';
import {z} from 'zod';
import {isFinalStatus, isRefusal} from '../model/index.js';
import {openCall} from './open-call.js';
import {discard, readJson} from './read-response.js';

const loadSchema = z.object({
	running: z.number(), waiting: z.number(), memoryUsed: z.number(), stepMilliseconds: z.number(),
});
/** The load that an engine reports. It lags behind, and it may be wrong. */
export type EngineLoad = z.infer<typeof loadSchema>;

const modelsSchema = z.object({data: z.array(z.object({id: z.string(), version: z.string().optional()}))});

/** An order from the endpoint's side; `fence` is the fencing number by which the engine rejects the orders of an earlier owner. */
export type EngineOrder = {
	readonly order: 'load-model' | 'load-adapter' | 'change-role';
	readonly name: string;
	readonly version: string;
	readonly fence: number;
};

export type OrderResult
	= | {readonly type: 'taken'}
	/** The engine has seen a higher fencing number: another incarnation of the side owns it. */
		| {readonly type: 'fenced'}
	/** `mayHaveHappened` is false only if the order certainly did not reach the engine. */
		| {readonly type: 'failed'; readonly mayHaveHappened: boolean; readonly reason: string};

const statusOk = 200;
const statusConflict = 409;

/** The client for an engine's control interface: health, load, models and orders. */
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

	/** Whether the engine reports that it is healthy; false if it does not respond. */
	async isHealthy(): Promise<boolean> {
		const response = await this.#call('GET', '/health');
		return response.type === 'answered' && response.status === statusOk;
	}

	/** The load report; `undefined` if the engine does not deliver a valid one. */
	async load(): Promise<EngineLoad | undefined> {
		const response = await this.#call('GET', '/load');
		return response.type === 'answered' ? loadSchema.safeParse(response.body).data : undefined;
	}

	/** The loaded models with their versions; `undefined` if the engine does not deliver a valid list. */
	async models(): Promise<ReadonlyArray<{id: string; version?: string | undefined}> | undefined> {
		const response = await this.#call('GET', '/v1/models');
		return response.type === 'answered' ? modelsSchema.safeParse(response.body).data?.data : undefined;
	}

	async order(order: EngineOrder): Promise<OrderResult> {
		const response = await this.#call('POST', '/orders', order);
		if (response.type === 'failed') {
			return {type: 'failed', mayHaveHappened: response.mayHaveHappened, reason: response.reason};
		}

		if (response.status === statusOk) {
			return {type: 'taken'};
		}

		return response.status === statusConflict
			? {type: 'fenced'}
			: {type: 'failed', mayHaveHappened: !isRefusal(response.status), reason: `status ${response.status}`};
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#agent.destroy();
	}

	async #call(method: string, path: string, body?: unknown): Promise<ControlResponse> {
		const payload = body === undefined ? undefined : Buffer.from(JSON.stringify(body));
		const opened = await openCall({
			agent: this.#agent,
			usesNewConnection: body !== undefined,
			url: this.#baseUrl + path,
			method,
			headers: payload === undefined ? {} : {'content-type': 'application/json', 'content-length': String(payload.length)},
			headerTimeoutMilliseconds: this.#timeoutMilliseconds,
			write(sent) {
				sent.end(payload);
			},
		});
		if (opened.type === 'failed') {
			return {type: 'failed', mayHaveHappened: opened.failure.verdict !== 'not-run', reason: opened.failure.message};
		}

		const responseBody = await readJson(opened.response);
		const {statusCode: status = 0, complete} = opened.response;
		if (!complete || opened.answer.isBroken || !isFinalStatus(status)) {
			discard(opened.response);
			return {type: 'failed', mayHaveHappened: true, reason: 'the response was incomplete, or its status is none'};
		}

		return {type: 'answered', status, body: responseBody};
	}
}

type ControlResponse
	= | {readonly type: 'answered'; readonly status: number; readonly body: unknown}
		| {readonly type: 'failed'; readonly mayHaveHappened: boolean; readonly reason: string};
