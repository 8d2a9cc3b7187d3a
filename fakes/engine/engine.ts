import {performance} from 'node:perf_hooks';
import {channel, receive, receiveWithin, sleep, spawn, tryDeliver, type Body} from '../../src/concurrency/index.js';
import {
	FakeServer, readBody, readJson, replyError, replyJson, type Exchange,
} from '../server.js';
import {readTask} from './answer.js';
import {Batch, defaultCosts, type EngineCosts, type Job} from './batch.js';
import {type Protocol} from './events.js';
import {engineFaultsSchema, type EngineFaults} from './faults.js';
import {LoadReport} from './load-report.js';
import {LoadedState, orderSchema} from './orders.js';
import {AnswerStream, writeToken, type EarlierEvent} from './stream.js';

export type FakeEngineSettings = {
	readonly port?: number;
	readonly models?: readonly string[];
	readonly costs?: Partial<EngineCosts>;
	readonly faults?: Partial<EngineFaults>;
	/** Whether an order with an old fencing number is refused. */
	readonly checksFences?: boolean;
};

/** Timers have a resolution of a millisecond: shorter pauses are accumulated. */
const shortestPauseMilliseconds = 1;
/** An engine that is further behind its step schedule than this skips the missed time instead of catching up. */
const furthestBehindMilliseconds = 50;
const frozenPollMilliseconds = 5;

/** A stand-in for a model engine: OpenAI-compatible, with continuous batching and fault injection. */
export class FakeEngine implements AsyncDisposable {
	static async create(settings: FakeEngineSettings = {}): Promise<FakeEngine> {
		const engine = new FakeEngine(settings);
		engine.#server = await FakeServer.create({
			port: settings.port ?? 0,
			faults: engine.faults,
			parseFaults: value => engineFaultsSchema.parse(value),
			handle: exchange => engine.#handle(exchange),
			counts: () => engine.counts(),
		});
		void spawn('fake engine', () => engine.#run());
		return engine;
	}

	readonly faults: EngineFaults;
	/** How often each request id and each key was accepted to be run. Tests rely on these counts. */
	readonly runsByRequest = new Map<string, number>();
	readonly runsByKey = new Map<string, number>();
	/** How often each prompt was accepted without a resume, for callers that do not learn the request id. */
	readonly runsByPrompt = new Map<string, number>();
	/** How often each poison prompt crashed this engine. */
	readonly crashesByPrompt = new Map<string, number>();
	readonly loaded: LoadedState;
	tokensProduced = 0;
	/** Tokens of responses that were interrupted before their end. */
	tokensDiscarded = 0;
	crashes = 0;
	/** Resumed requests whose text differs from what this engine would have written. */
	resumeMismatches = 0;
	readonly #streams = new Map<Job, AnswerStream>();
	readonly #batch: Batch;
	readonly #report = LoadReport.create();
	readonly #wake = channel<true>(1);
	readonly #lastEvent: EarlierEvent = {text: undefined};
	#server: FakeServer<EngineFaults> | undefined;
	#disposed = false;

	private constructor(settings: FakeEngineSettings) {
		this.faults = engineFaultsSchema.parse(settings.faults ?? {});
		this.loaded = LoadedState.create(settings.models ?? ['model'], settings.checksFences ?? true);
		this.#batch = Batch.create({...defaultCosts, ...settings.costs});
	}

	get url(): string {
		return this.#server!.url;
	}

	get running(): number {
		return this.#streams.size;
	}

	get prefilledTokens(): number {
		return this.#batch.prefilledTokens;
	}

	counts(): Record<string, unknown> {
		return {
			requests: this.runsByRequest.size,
			running: this.running,
			tokensProduced: this.tokensProduced,
			tokensDiscarded: this.tokensDiscarded,
			prefilledTokens: this.prefilledTokens,
			crashes: this.crashes,
			resumeMismatches: this.resumeMismatches,
			runsByRequest: Object.fromEntries(this.runsByRequest),
			runsByKey: Object.fromEntries(this.runsByKey),
		};
	}

	/** Breaks every stream, drops all state and refuses connections, until `start` or `restartMilliseconds` later. */
	async crash(): Promise<void> {
		this.crashes++;
		this.faults.crashAfterTokens = 0;
		this.#discardAll();
		await this.#server!.stop();
		if (this.faults.restartMilliseconds > 0 && !this.#disposed) {
			setTimeout(() => {
				void this.start();
			}, this.faults.restartMilliseconds).unref();
		}
	}

	async start(): Promise<void> {
		if (!this.#disposed) {
			await this.#server!.start();
		}
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#disposed = true;
		tryDeliver(this.#wake, true);
		this.#wake.close();
		await this.#server?.[Symbol.asyncDispose]();
	}

	async #handle(exchange: Exchange): Promise<void> {
		const {response} = exchange;
		const route = `${exchange.method} /${exchange.path.join('/')}`;
		switch (route) {
			case 'POST /v1/chat/completions': {
				await this.#accept('chat', exchange);
				return;
			}

			case 'POST /v1/completions': {
				await this.#accept('completions', exchange);
				return;
			}

			case 'GET /v1/models': {
				replyJson(response, 200, {object: 'list', data: this.loaded.list()});
				return;
			}

			case 'GET /load': {
				replyJson(response, 200, this.faults.wrongLoad ?? this.#report.loadAt(this.faults.loadLagMilliseconds, performance.now()));
				return;
			}

			case 'GET /health': {
				replyJson(response, 200, {});
				return;
			}

			case 'GET /orders': {
				replyJson(response, 200, {state: this.loaded.describe()});
				return;
			}

			case 'POST /orders': {
				await this.#order(exchange);
				return;
			}

			default: {
				replyError(response, 404, 'no such path');
			}
		}
	}

	async #order({request, response}: Exchange): Promise<void> {
		const order = orderSchema.parse(await readJson(request));
		if (!this.loaded.take(order)) {
			replyError(response, 409, `fence ${order.fence} is older than ${this.loaded.fence}`);
			return;
		}

		replyJson(response, 200, {state: this.loaded.describe()});
	}

	async #accept(protocol: Protocol, {request, response}: Exchange): Promise<void> {
		const task = readTask(await readBody(request));
		if (!task.isStream) {
			replyError(response, 400, 'this engine streams only');
			return;
		}

		if (!this.loaded.models.has(task.model)) {
			replyError(response, 404, `model ${task.model} is not loaded`);
			return;
		}

		if (this.faults.refuseRequests > 0) {
			this.faults.refuseRequests--;
			replyError(response, 429, 'told to refuse', {'retry-after': '1'});
			return;
		}

		const {id, key, priority, first} = readHeaders(request.headers);
		this.#count(id, key, first === 0 ? task.prompt : undefined);
		if (this.faults.poison !== '' && task.prompt.includes(this.faults.poison)) {
			increment(this.crashesByPrompt, task.prompt);
			await this.crash();
			return;
		}

		this.#checkResume(task.resumeText, first, task.token);
		const job: Job = {id, task, priority, next: first, prefillLeft: 0};
		this.#open(AnswerStream.create({job, protocol, response, first}), response);
	}

	#open(stream: AnswerStream, response: Exchange['response']): void {
		if (response.destroyed) {
			return;
		}

		stream.begin();
		if (stream.isComplete) {
			stream.finish();
			return;
		}

		this.#streams.set(stream.job, stream);
		this.#batch.add(stream.job);
		response.once('close', () => {
			this.#discard(stream);
		});
		tryDeliver(this.#wake, true);
	}

	#count(id: string, key: string | undefined, prompt: string | undefined): void {
		increment(this.runsByRequest, id);
		if (key !== undefined) {
			increment(this.runsByKey, key);
		}

		if (prompt !== undefined) {
			increment(this.runsByPrompt, prompt);
		}
	}

	#checkResume(text: string, first: number, token: (index: number) => string): void {
		if (first > 0 && text !== Array.from({length: first}, (_, index) => token(index)).join('')) {
			this.resumeMismatches++;
		}
	}

	#discard(stream: AnswerStream): void {
		if (this.#streams.delete(stream.job)) {
			this.#batch.remove(stream.job);
			this.tokensDiscarded += stream.produced;
		}
	}

	#discardAll(): void {
		for (const stream of this.#streams.values()) {
			this.tokensDiscarded += stream.produced;
		}

		this.#streams.clear();
		this.#batch.clear();
	}

	/** The engine's main loop: runs steps while there are jobs, otherwise waits for one. */
	* #run(): Body<void> {
		let nextStepAt = performance.now();
		while (!this.#disposed) {
			if (this.#batch.isIdle || this.faults.frozen) {
				yield * (this.faults.frozen ? receiveWithin(this.#wake, frozenPollMilliseconds) : receive(this.#wake));
				nextStepAt = performance.now();
				continue;
			}

			const step = this.#batch.step();
			nextStepAt = Math.max(nextStepAt, performance.now() - furthestBehindMilliseconds) + (step.milliseconds * this.faults.slowFactor);
			this.#produce(step.produced);
			this.#report.record({
				running: this.#batch.running.size, waiting: this.#batch.waiting.length, memoryUsed: this.#batch.memoryUsed, stepMilliseconds: step.milliseconds * this.faults.slowFactor,
			}, performance.now());
			const pause = nextStepAt - performance.now();
			if (pause >= shortestPauseMilliseconds || this.#batch.isIdle) {
				yield * sleep(Math.max(0, pause));
				this.#flush();
			}
		}
	}

	#produce(jobs: readonly Job[]): void {
		for (const job of jobs) {
			const stream = this.#streams.get(job);
			if (stream === undefined) {
				continue;
			}

			this.tokensProduced++;
			stream.produced++;
			writeToken(stream, this.#streams.values(), this.faults, this.#lastEvent);
			this.#endOrTruncate(stream);
			if (this.faults.crashAfterTokens > 0 && --this.faults.crashAfterTokens === 0) {
				this.#flush();
				void this.crash();
				return;
			}
		}
	}

	#endOrTruncate(stream: AnswerStream): void {
		const isHalfWay = stream.job.next * 2 >= stream.job.task.length;
		if (this.faults.truncateStreams > 0 && isHalfWay && !stream.isComplete) {
			this.faults.truncateStreams--;
			this.#discard(stream);
			stream.truncate();
		} else if (stream.isComplete) {
			this.#streams.delete(stream.job);
			this.#batch.remove(stream.job);
			stream.finish();
		}
	}

	#flush(): void {
		for (const stream of this.#streams.values()) {
			stream.flush();
		}
	}
}

function readHeaders(headers: Exchange['request']['headers']): {id: string; key: string | undefined; priority: number; first: number} {
	const text = (name: string): string | undefined => typeof headers[name] === 'string' ? headers[name] : undefined;
	return {
		id: text('x-request-id') ?? 'unnamed',
		key: text('idempotency-key'),
		priority: Number(text('x-priority') ?? 0),
		first: Number(text('x-resume-tokens') ?? 0),
	};
}

function increment(counts: Map<string, number>, name: string): void {
	counts.set(name, (counts.get(name) ?? 0) + 1);
}
