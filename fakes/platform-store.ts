import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';

/**
 * A fault of one call. `lose-answer` executes the call and closes the connection; `late` delays call and response; `execute-late` does not
 * respond and executes the call later.
 */
export type StoreFault = 'refuse' | 'reset' | 'silent' | 'late' | 'lose-answer' | 'execute-late';

/** Chooses a fault for a call by its path and its Host header. */
export type ChooseFault = (path: string, caller: string) => StoreFault | undefined;

/** Returns what is stored in place of the value of an appended record. */
export type RewriteRecord = (topic: string, key: string, value: unknown) => unknown;

const noFault: ChooseFault = () => undefined;
const keepRecord: RewriteRecord = (_topic, _key, value) => value;

type Stored = {readonly key: string; readonly value: Uint8Array};
type Topic = {records: Stored[]; first: number; waiting: Set<() => void>};
type Newest = Map<string, {value: Uint8Array; offset: number}>;

/** A backup of the store's contents. */
export type StoreCopy = {readonly topics: ReadonlyMap<string, {readonly records: readonly Stored[]; readonly first: number}>; readonly newestBefore: ReadonlyMap<string, Newest>};

const lateMilliseconds = 1500;

/**
 * A stand-in for the platform's log store, as far as gateways use it: keyed topics with one partition,
 * long polls, the newest record of each key, dropped history, restoring from a backup, and injected faults.
 */
export class FakePlatformStore implements AsyncDisposable {
	static async create(): Promise<FakePlatformStore> {
		const store = new FakePlatformStore();
		store.#server.listen(0, '127.0.0.1');
		await once(store.#server, 'listening');
		return store;
	}

	fault: ChooseFault = noFault;
	/** Changes a record that a call appends, for example an address that is to be reached over a network path. */
	rewrite: RewriteRecord = keepRecord;
	calls = 0;
	/** The store's generation number: 1, and one more after each restore from a backup. */
	era = 1;
	/** The era that responses report, if not the real one; undefined omits the header. */
	saysEra: (era: number) => string | undefined = String;
	readonly #topics = new Map<string, Topic>();
	readonly #server: Server = createServer((request, response) => {
		void this.#answer(request, response);
	});

	readonly #newestBefore = new Map<string, Newest>();

	get address(): string {
		return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	/** Appends a record as the operator or a worker does and returns its offset; without a value it deletes the key. */
	put(topic: string, key: string, value?: unknown): number {
		return this.putText(topic, key, value === undefined ? '' : JSON.stringify(value));
	}

	/** Appends a record whose value is any text; an empty one removes the key. */
	putText(topic: string, key: string, text: string): number {
		const topicState = this.#topic(topic);
		topicState.records.push({key, value: Buffer.from(text)});
		for (const wake of topicState.waiting) {
			wake();
		}

		return topicState.first + topicState.records.length - 1;
	}

	/** Drops the records of a topic; the newest record of each key can still be read. */
	forget(topic: string): void {
		const topicState = this.#topic(topic);
		this.#newestBefore.set(topic, this.#newest(topic));
		topicState.first += topicState.records.length;
		topicState.records = [];
	}

	copy(): StoreCopy {
		return {
			topics: new Map([...this.#topics].map(([name, {records, first}]) => [name, {records: [...records], first}])),
			newestBefore: new Map([...this.#newestBefore].map(([name, newest]) => [name, new Map(newest)])),
		};
	}

	/** Restores a backup: later records are lost, their offsets are assigned again, and every connection is closed. */
	comeBackFrom({topics, newestBefore}: StoreCopy): void {
		this.era += 1;
		for (const [name, topicState] of this.#topics) {
			const backup = topics.get(name);
			topicState.records = [...backup?.records ?? []];
			topicState.first = backup?.first ?? 0;
			this.#newestBefore.set(name, new Map(newestBefore.get(name)));
		}

		this.#server.closeAllConnections();
	}

	keys(topic: string): string[] {
		return [...this.#newest(topic).keys()];
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	#topic(name: string): Topic {
		const topicState = this.#topics.get(name) ?? {records: [], first: 0, waiting: new Set<() => void>()};
		this.#topics.set(name, topicState);
		return topicState;
	}

	#newest(name: string): Newest {
		const {records, first} = this.#topic(name);
		const newest = new Map(this.#newestBefore.get(name));
		for (const [index, {key, value}] of records.entries()) {
			newest.delete(key);
			if (value.length > 0) {
				newest.set(key, {value, offset: first + index});
			}
		}

		return newest;
	}

	async #answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
		this.calls += 1;
		const url = new URL(request.url ?? '/', 'http://store');
		const body = await readAll(request);
		const fault = this.fault(url.pathname, request.headers.host ?? '');
		switch (fault) {
			case 'silent': {
				return;
			}

			case 'refuse': {
				response.writeHead(503, {'Store-Era': String(this.era)}).end();
				return;
			}

			case 'reset': {
				request.socket.resetAndDestroy();
				return;
			}

			case 'lose-answer': {
				void this.#handle(url, body, undefined);
				request.socket.destroy();
				return;
			}

			case 'execute-late': {
				setTimeout(() => {
					void this.#handle(url, body, undefined);
				}, lateMilliseconds);
				return;
			}

			case 'late': {
				await new Promise(resolve => {
					setTimeout(resolve, lateMilliseconds);
				});
				break;
			}

			case undefined: {
				break;
			}
		}

		await this.#handle(url, body, response);
	}

	async #handle(url: URL, body: Uint8Array, response: ServerResponse | undefined): Promise<void> {
		const reportedEra = this.saysEra(this.era);
		if (reportedEra !== undefined) {
			response?.setHeader('Store-Era', reportedEra);
		}

		const topic = url.searchParams.get('topic') ?? '';
		switch (url.pathname) {
			case '/v1/log-newest': {
				const topicState = this.#topic(topic);
				const items = [...this.#newest(topic)].map(([key, {value, offset}]) => ({key, value: Buffer.from(value).toString('base64'), offset}));
				response?.end(JSON.stringify({items, more: false, end: topicState.first + topicState.records.length}));
				return;
			}

			case '/v1/log-read': {
				await this.#read(url, response);
				return;
			}

			case '/v1/log-append': {
				this.#append(url, body, response);
				return;
			}

			default: {
				response?.writeHead(404).end();
			}
		}
	}

	/** Appends all records of a call, or none if the log does not end where the call names. */
	#append(url: URL, body: Uint8Array, response: ServerResponse | undefined): void {
		const topic = url.searchParams.get('topic') ?? '';
		const topicState = this.#topic(topic);
		const end = topicState.first + topicState.records.length;
		const at = url.searchParams.get('at');
		if (at !== null && Number(at) !== end) {
			response?.writeHead(412).end(JSON.stringify({end}));
			return;
		}

		const records = parseRecords(body);
		for (const {key, value} of records) {
			this.put(topic, key, value === '' ? undefined : this.rewrite(topic, key, JSON.parse(value)));
		}

		response?.end(JSON.stringify({offset: end, end: end + records.length}));
	}

	async #read(url: URL, response: ServerResponse | undefined): Promise<void> {
		const topicState = this.#topic(url.searchParams.get('topic') ?? '');
		const from = Number(url.searchParams.get('from'));
		if (from < topicState.first || from > topicState.first + topicState.records.length) {
			response?.writeHead(410).end(JSON.stringify({first: topicState.first}));
			return;
		}

		if (from >= topicState.first + topicState.records.length) {
			await waitForRecord(topicState.waiting, parseInteger(url.searchParams.get('waitMs')));
		}

		const offsets = Buffer.alloc(16);
		offsets.writeBigUInt64BE(BigInt(topicState.first + topicState.records.length), 0);
		offsets.writeBigUInt64BE(BigInt(topicState.first), 8);
		response?.end(Buffer.concat([offsets, ...topicState.records.slice(Math.max(0, from - topicState.first)).map(record => frameRecord(record))]));
	}
}

function frameRecord({key, value}: Stored): Uint8Array {
	const content = Buffer.concat([Buffer.from([Buffer.byteLength(key)]), Buffer.from(key), value]);
	const length = Buffer.alloc(4);
	length.writeUInt32BE(content.length);
	return Buffer.concat([length, content]);
}

/** Parses the records of an append: each is its length, the length of its key, its key and its value. */
function parseRecords(body: Uint8Array): Array<{readonly key: string; readonly value: string}> {
	const buffer = Buffer.from(body);
	const records = [];
	for (let position = 0; position < buffer.length;) {
		const start = position + 4;
		const end = start + buffer.readUInt32BE(position);
		const valueStart = start + 1 + (buffer[start] ?? 0);
		records.push({key: buffer.toString('utf8', start + 1, valueStart), value: buffer.toString('utf8', valueStart, end)});
		position = end;
	}

	return records;
}

/** Returns 0 for a wait that is not an integer, as the platform's store does. */
function parseInteger(text: string | null): number { // eslint-disable-line @typescript-eslint/no-restricted-types -- URLSearchParams.get() returns null
	return text !== null && /^\d+$/v.test(text) ? Number(text) : 0;
}

async function waitForRecord(waiting: Set<() => void>, milliseconds: number): Promise<void> {
	if (milliseconds === 0) {
		return;
	}

	await new Promise<void>(resolve => {
		const wake = (): void => {
			clearTimeout(timer);
			waiting.delete(wake);
			resolve();
		};

		// A read that its caller has given up must not keep the process of a test for as long as it asked to wait.
		const timer = setTimeout(wake, milliseconds).unref();
		waiting.add(wake);
	});
}

async function readAll(request: IncomingMessage): Promise<Uint8Array> {
	const parts: Uint8Array[] = [];
	for await (const part of request as AsyncIterable<Uint8Array>) {
		parts.push(part);
	}

	return Buffer.concat(parts);
}
