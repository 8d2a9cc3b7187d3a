import {z} from 'zod';
import {type LogRecord} from '../src/platform/index.js';
import {
	FakeServer, readJson, replyError, replyJson, serverFaultShape, type Exchange,
} from './server.js';

/** Zero means no limit; counts say how many of the next appends get the fault. */
export const logFaultsSchema = z.strictObject({
	...serverFaultShape,
	appendsPerSecond: z.number().nonnegative().default(0),
	retainRecords: z.number().int().nonnegative().default(0),
	retainMilliseconds: z.number().nonnegative().default(0),
	/** Stores the record, then resets the connection without a response. */
	loseAnswers: z.number().int().nonnegative().default(0),
	/** Stores the record twice and responds with the first offset. */
	duplicateAppends: z.number().int().nonnegative().default(0),
});
export type LogFaults = z.infer<typeof logFaultsSchema>;

const appendSchema = z.object({value: z.unknown()});
const maximumWaitMilliseconds = 60_000;
const rateWindowMilliseconds = 1000;

type Stream = {records: LogRecord[]; next: number; readonly waiting: Set<() => void>};

/** An in-memory stand-in for the platform's append-only log. */
export class FakeLog implements AsyncDisposable {
	static async create(settings: {port?: number; faults?: Partial<LogFaults>} = {}): Promise<FakeLog> {
		const log = new FakeLog(logFaultsSchema.parse(settings.faults ?? {}));
		log.#server = await FakeServer.create({
			port: settings.port ?? 0,
			faults: log.faults,
			parseFaults: value => logFaultsSchema.parse(value),
			handle: exchange => log.#handle(exchange),
		});
		return log;
	}

	readonly faults: LogFaults;
	/** Stored appends over all streams; a duplicate counts once. */
	appends = 0;
	reads = 0;
	readonly #streams = new Map<string, Stream>();
	#recentAppends: number[] = [];
	#server: FakeServer<LogFaults> | undefined;

	private constructor(faults: LogFaults) {
		this.faults = faults;
	}

	get url(): string {
		return this.#server!.url;
	}

	/** Breaks all connections and refuses new ones until `start`. */
	async stop(): Promise<void> {
		await this.#server!.stop();
	}

	async start(): Promise<void> {
		await this.#server!.start();
	}

	/** Returns the records that the stream still retains. */
	records(name: string): readonly LogRecord[] {
		return this.#retained(this.#stream(name)).records;
	}

	/** Appends directly, without HTTP and without faults, and returns the offset. */
	put(name: string, value: unknown): number {
		const stream = this.#stream(name);
		const offset = stream.next;
		stream.records.push({offset, time: Date.now(), value});
		stream.next++;
		for (const wake of stream.waiting) {
			wake();
		}

		return offset;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await this.#server?.[Symbol.asyncDispose]();
	}

	async #handle(exchange: Exchange): Promise<void> {
		const [root, name, leaf] = exchange.path;
		if (root !== 'streams' || name === undefined || leaf !== 'records') {
			replyError(exchange.response, 404, 'no such path');
			return;
		}

		await (exchange.method === 'POST' ? this.#append(name, exchange) : this.#read(this.#stream(name), exchange));
	}

	async #append(name: string, {request, response}: Exchange): Promise<void> {
		const {value} = appendSchema.parse(await readJson(request));
		if (this.#isTooFast()) {
			replyError(response, 429, 'too many appends', {'retry-after': '1'});
			return;
		}

		const offset = this.put(name, value);
		this.appends++;
		if (this.faults.duplicateAppends > 0) {
			this.faults.duplicateAppends--;
			this.put(name, value);
		}

		if (this.faults.loseAnswers > 0) {
			this.faults.loseAnswers--;
			request.socket.resetAndDestroy();
			return;
		}

		replyJson(response, 200, {offset});
	}

	#isTooFast(): boolean {
		if (this.faults.appendsPerSecond === 0) {
			return false;
		}

		const now = Date.now();
		this.#recentAppends = this.#recentAppends.filter(time => now - time < rateWindowMilliseconds);
		if (this.#recentAppends.length >= this.faults.appendsPerSecond) {
			return true;
		}

		this.#recentAppends.push(now);
		return false;
	}

	async #read(stream: Stream, {query, response}: Exchange): Promise<void> {
		this.reads++;
		const from = z.coerce.number().int().nonnegative().parse(query.get('from') ?? 0);
		const limit = z.coerce.number().int().positive().parse(query.get('limit') ?? 500);
		const wait = Math.min(Number(query.get('wait') ?? 0), maximumWaitMilliseconds);
		if (from >= stream.next && wait > 0) {
			await nextRecord(stream, wait, response);
		}

		const {records} = this.#retained(stream);
		const first = records[0]?.offset ?? stream.next;
		if (from < first) {
			replyJson(response, 410, {first, next: stream.next});
			return;
		}

		replyJson(response, 200, {records: records.slice(from - first, from - first + limit), first, next: stream.next});
	}

	#stream(name: string): Stream {
		const known = this.#streams.get(name);
		if (known !== undefined) {
			return known;
		}

		const created: Stream = {records: [], next: 0, waiting: new Set()};
		this.#streams.set(name, created);
		return created;
	}

	#retained(stream: Stream): Stream {
		const {retainRecords, retainMilliseconds} = this.faults;
		const oldestTime = retainMilliseconds === 0 ? 0 : Date.now() - retainMilliseconds;
		const recent = stream.records.filter(record => record.time >= oldestTime);
		stream.records = retainRecords === 0 ? recent : recent.slice(-retainRecords);
		return stream;
	}
}

function nextRecord(stream: Stream, milliseconds: number, response: Exchange['response']): Promise<void> {
	return new Promise(resolve => {
		const finish = (): void => {
			clearTimeout(timer);
			stream.waiting.delete(finish);
			response.off('close', finish);
			resolve();
		};

		const timer = setTimeout(finish, milliseconds);
		stream.waiting.add(finish);
		response.once('close', finish);
	});
}
