import {Buffer} from 'node:buffer';
import http, {type IncomingMessage} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {createParser} from 'eventsource-parser';
import {expectedAnswer} from '../../fakes/index.js';
import {type Verdict} from '../../src/model/index.js';

/** One call; `prompt` determines the expected response. */
export type CallOptions = {
	/** IP address and port of an entry. */
	readonly address: string;
	readonly key: string;
	readonly className?: string;
	readonly model: string;
	readonly prompt: string;
	readonly maxTokens?: number;
	readonly idempotencyKey?: string;
	readonly signal?: AbortSignal;
	/** Pause after each read, to simulate a slow caller. */
	readonly pauseMilliseconds?: number;
};

/** The result of a call, checked against the expected response to its prompt. */
export type CallResult = {
	readonly outcome: 'whole' | 'wrong' | 'failed' | 'broken';
	readonly verdict: Verdict | undefined;
	readonly code: string | undefined;
	readonly status: number;
	readonly retryAfterSeconds: number | undefined;
	readonly tokens: number;
	readonly text: string;
	readonly milliseconds: number;
	readonly firstTokenMilliseconds: number | undefined;
	/** Times between consecutive tokens, in milliseconds. */
	readonly gaps: readonly number[];
	readonly requestId: string | undefined;
	/** The error that fail the connection, if any. */
	readonly breakReason: string | undefined;
};

const agent = new http.Agent({keepAlive: true, maxSockets: Number.POSITIVE_INFINITY});

/** Sends one streamed chat call as an ordinary client does, and checks the response text. */
export async function callModel(options: CallOptions): Promise<CallResult> {
	const body = JSON.stringify({
		model: options.model, stream: true, max_tokens: options.maxTokens, messages: [{role: 'user', content: options.prompt}],
	});
	const reader = ResponseReader.create(expectedAnswer(body));
	try {
		const response = await send(options, body);
		await reader.read(response, options.pauseMilliseconds ?? 0);
	} catch (error) {
		reader.fail(error);
	}

	return reader.result();
}

async function send(options: CallOptions, body: string): Promise<IncomingMessage> {
	const separator = options.address.lastIndexOf(':');
	return new Promise((resolve, reject) => {
		const request = http.request({
			agent,
			host: options.address.slice(0, separator),
			port: Number(options.address.slice(separator + 1)),
			method: 'POST',
			path: '/v1/chat/completions',
			signal: options.signal,
			headers: {
				authorization: `Bearer ${options.key}`,
				'content-type': 'application/json',
				'content-length': Buffer.byteLength(body),
				...(options.className !== undefined && {'cassiaflow-class': options.className}),
				...(options.idempotencyKey !== undefined && {'idempotency-key': options.idempotencyKey}),
			},
		});
		request.once('response', resolve);
		request.once('error', reject);
		request.end(body);
	});
}

type ErrorBody = {error?: {code?: string; verdict?: Verdict}};
type EventBody = ErrorBody & {choices?: Array<{delta?: {content?: string}}>};

class ResponseReader {
	static create(expected: string): ResponseReader {
		return new ResponseReader(expected);
	}

	readonly #expected: string;
	readonly #startedAt = performance.now();
	#lastAt = this.#startedAt;
	#firstTokenAt: number | undefined;
	readonly #gaps: number[] = [];
	readonly #parts: string[] = [];
	#isDone = false;
	#isBroken = false;
	#breakReason: string | undefined;
	#error: ErrorBody['error'];
	#status = 0;
	#retryAfter: string | undefined;
	#requestId: string | undefined;

	private constructor(expected: string) {
		this.#expected = expected;
	}

	async read(response: IncomingMessage, pauseMilliseconds: number): Promise<void> {
		this.#status = response.statusCode ?? 0;
		this.#retryAfter = response.headers['retry-after'];
		this.#requestId = response.headers['cassiaflow-request-id'] as string | undefined;
		response.setEncoding('utf8');
		if (this.#status !== 200) {
			this.#error = (JSON.parse(await collect(response)) as ErrorBody).error;
			return;
		}

		const parser = createParser({
			onEvent: event => {
				this.#take(event.data);
			},
		});
		for await (const part of response) {
			parser.feed(part as string);
			if (pauseMilliseconds > 0) {
				await delay(pauseMilliseconds);
			}
		}
	}

	fail(error: unknown): void {
		this.#isBroken = true;
		this.#breakReason = String(error);
	}

	result(): CallResult {
		const text = this.#parts.join('');
		return {
			outcome: this.#outcome(text),
			verdict: this.#error?.verdict,
			code: this.#error?.code,
			status: this.#status,
			retryAfterSeconds: this.#retryAfter === undefined ? undefined : Number(this.#retryAfter),
			tokens: this.#parts.length,
			text,
			milliseconds: performance.now() - this.#startedAt,
			firstTokenMilliseconds: this.#firstTokenAt === undefined ? undefined : this.#firstTokenAt - this.#startedAt,
			gaps: this.#gaps,
			requestId: this.#requestId,
			breakReason: this.#breakReason,
		};
	}

	/** A response that ended cleanly must be the complete expected text, an interrupted one a prefix of it. */
	#outcome(text: string): CallResult['outcome'] {
		if (this.#isDone) {
			return text === this.#expected ? 'whole' : 'wrong';
		}

		if (!this.#expected.startsWith(text)) {
			return 'wrong';
		}

		return this.#error === undefined || (this.#isBroken && this.#status === 0) ? 'broken' : 'failed';
	}

	#take(data: string): void {
		if (data === '[DONE]') {
			this.#isDone = true;
			return;
		}

		const event = JSON.parse(data) as EventBody;
		this.#error ??= event.error;
		const content = event.choices?.[0]?.delta?.content;
		if (content !== undefined && content !== '') {
			this.#takeToken(content);
		}
	}

	#takeToken(content: string): void {
		const now = performance.now();
		if (this.#firstTokenAt === undefined) {
			this.#firstTokenAt = now;
		} else {
			this.#gaps.push(now - this.#lastAt);
		}

		this.#lastAt = now;
		this.#parts.push(content);
	}
}

async function collect(response: IncomingMessage): Promise<string> {
	let text = '';
	for await (const part of response) {
		text += part as string;
	}

	return text;
}
