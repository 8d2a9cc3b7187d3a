import {z} from 'zod';
import {isRefusal} from '../model/index.js';
import {PlatformError} from './error.js';
import {HttpCaller, type HttpClientSettings} from './http-caller.js';
import {type AppendResult, type LogClient, type ReadResult} from './types.js';

const appendedSchema = z.object({offset: z.number().int().nonnegative()});
const pageSchema = z.object({
	records: z.array(z.object({offset: z.number().int().nonnegative(), time: z.number(), value: z.unknown()})),
	first: z.number().int().nonnegative(),
	next: z.number().int().nonnegative(),
});
const goneSchema = z.object({first: z.number().int().nonnegative(), next: z.number().int().nonnegative()});

const statusGone = 410;
const defaultLimit = 500;

/** The platform's log over HTTP, as specified in docs/PLATFORM.md. */
export class HttpLogClient implements LogClient, AsyncDisposable {
	static create(settings: HttpClientSettings): HttpLogClient {
		return new HttpLogClient(settings);
	}

	readonly #caller: HttpCaller;
	readonly #timeoutMilliseconds: number;

	private constructor(settings: HttpClientSettings) {
		this.#caller = HttpCaller.create(settings);
		this.#timeoutMilliseconds = settings.timeoutMilliseconds;
	}

	/** Does not throw `PlatformError`: every failure is `refused` (not stored) or `unknown` (only a read shows whether it was stored). */
	async append(stream: string, value: unknown): Promise<AppendResult> {
		try {
			const {body} = await this.#caller.call({method: 'POST', path: recordsPath(stream), body: {value}});
			const parsed = appendedSchema.safeParse(body);
			return parsed.success ? {type: 'appended', offset: parsed.data.offset} : {type: 'unknown', reason: 'the response has no offset'};
		} catch (error) {
			return toAppendResult(error);
		}
	}

	async read(stream: string, from: number, options: {limit?: number; waitMilliseconds?: number; signal?: AbortSignal} = {}): Promise<ReadResult> {
		const wait = options.waitMilliseconds ?? 0;
		const {status, body} = await this.#caller.call({
			method: 'GET',
			path: `${recordsPath(stream)}?from=${from}&limit=${options.limit ?? defaultLimit}&wait=${wait}`,
			timeoutMilliseconds: this.#timeoutMilliseconds + wait,
			signal: options.signal,
		});
		return status === statusGone ? {type: 'gone', ...parse(goneSchema, body)} : {type: 'records', ...checkOrder(parse(pageSchema, body), from)};
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await this.#caller[Symbol.asyncDispose]();
	}
}

function recordsPath(stream: string): string {
	return `/streams/${encodeURIComponent(stream)}/records`;
}

function toAppendResult(error: unknown): AppendResult {
	if (!(error instanceof PlatformError)) {
		throw error;
	}

	const {failure} = error;
	switch (failure.type) {
		case 'unreachable': {
			return {type: 'refused', reason: failure.reason};
		}

		case 'status': {
			return {type: isRefusal(failure.status) ? 'refused' : 'unknown', reason: failure.reason};
		}

		case 'lost':
		case 'malformed': {
			return {type: 'unknown', reason: failure.reason};
		}
	}
}

type Page = z.infer<typeof pageSchema>;

/**
 * Throws if the records are out of order or start before `from`, either of which would make the
 * offset of a fold decrease. The callers rely on the order of the page that is returned.
 */
function checkOrder(page: Page, from: number): Page {
	let expected = from;
	for (const record of page.records) {
		if (record.offset < expected) {
			throw PlatformError.create({type: 'malformed', reason: `offset ${record.offset} is out of order; expected ${expected} or higher`});
		}

		expected = record.offset + 1;
	}

	return page;
}

function parse<Value>(schema: z.ZodType<Value>, body: unknown): Value {
	const parsed = schema.safeParse(body);
	if (!parsed.success) {
		throw PlatformError.create({type: 'malformed', reason: z.prettifyError(parsed.error)});
	}

	return parsed.data;
}
