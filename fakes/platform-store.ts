import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';

/** What the stand-in does to a call instead of answering it. */
export type StoreFault = 'refuse' | 'reset' | 'silent' | 'late' | 'lose-answer';

/** Chooses a fault for a call by its path and the caller's address. */
export type ChooseFault = (path: string, caller: string) => StoreFault | undefined;

const noFault: ChooseFault = () => undefined;

type Stored = {readonly key: string; readonly value: Uint8Array};
type Topic = {records: Stored[]; first: number; waiting: Set<() => void>};
type Newest = Map<string, {value: Uint8Array; offset: number}>;

/** What the store held at one moment. */
export type StoreCopy = {readonly topics: ReadonlyMap<string, {readonly records: readonly Stored[]; readonly first: number}>; readonly newestBefore: ReadonlyMap<string, Newest>};

const lateMilliseconds = 1500;

/**
 * A stand-in for the platform's log store, as far as gateways use it: topics of keys with one
 * partition, long reads, the newest record of each key, lost history, coming back from a copy, and faults to be told to show.
 */
export class FakePlatformStore implements AsyncDisposable {
	static async create(): Promise<FakePlatformStore> {
		const store = new FakePlatformStore();
		store.#server.listen(0, '127.0.0.1');
		await once(store.#server, 'listening');
		return store;
	}

	fault: ChooseFault = noFault;
	calls = 0;
	/** How often it has come back from a copy, and one; what each answer says of it, where that isn't the truth. */
	era = 1;
	saysEra: (era: number) => string | undefined = String;
	readonly #topics = new Map<string, Topic>();
	readonly #server: Server = createServer((request, response) => {
		void this.#answer(request, response);
	});

	readonly #newestBefore = new Map<string, Newest>();

	get address(): string {
		return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	/** Writes a record as the operator or a worker does; without a value the key is dropped. */
	put(topic: string, key: string, value?: unknown): number {
		const held = this.#topic(topic);
		held.records.push({key, value: value === undefined ? new Uint8Array() : Buffer.from(JSON.stringify(value))});
		for (const wake of held.waiting) {
			wake();
		}

		return held.first + held.records.length - 1;
	}

	/** Drops the records of a topic; the newest of each key stays readable as such. */
	forget(topic: string): void {
		const held = this.#topic(topic);
		this.#newestBefore.set(topic, this.#newest(topic));
		held.first += held.records.length;
		held.records = [];
	}

	copy(): StoreCopy {
		return {
			topics: new Map([...this.#topics].map(([name, {records, first}]) => [name, {records: [...records], first}])),
			newestBefore: new Map([...this.#newestBefore].map(([name, newest]) => [name, new Map(newest)])),
		};
	}

	/** Goes back to a copy: what was written since is gone, its offsets are given out again, and every connection ends. */
	comeBackFrom({topics, newestBefore}: StoreCopy): void {
		this.era += 1;
		for (const [name, held] of this.#topics) {
			const copied = topics.get(name);
			held.records = [...copied?.records ?? []];
			held.first = copied?.first ?? 0;
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
		const held = this.#topics.get(name) ?? {records: [], first: 0, waiting: new Set<() => void>()};
		this.#topics.set(name, held);
		return held;
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
		const said = this.saysEra(this.era);
		if (said !== undefined) {
			response?.setHeader('Store-Era', said);
		}

		const topic = url.searchParams.get('topic') ?? '';
		switch (url.pathname) {
			case '/v1/log-newest': {
				const held = this.#topic(topic);
				const items = [...this.#newest(topic)].map(([key, {value, offset}]) => ({key, value: Buffer.from(value).toString('base64'), offset}));
				response?.end(JSON.stringify({items, more: false, end: held.first + held.records.length}));
				return;
			}

			case '/v1/log-read': {
				await this.#read(url, response);
				return;
			}

			case '/v1/log-append': {
				const length = body[4] ?? 0;
				const key = Buffer.from(body.subarray(5, 5 + length)).toString();
				const value = Buffer.from(body.subarray(5 + length)).toString();
				const offset = this.put(topic, key, value === '' ? undefined : JSON.parse(value));
				response?.end(JSON.stringify({offset, end: offset + 1}));
				return;
			}

			default: {
				response?.writeHead(404).end();
			}
		}
	}

	async #read(url: URL, response: ServerResponse | undefined): Promise<void> {
		const held = this.#topic(url.searchParams.get('topic') ?? '');
		const from = Number(url.searchParams.get('from'));
		if (from < held.first || from > held.first + held.records.length) {
			response?.writeHead(410).end(JSON.stringify({first: held.first}));
			return;
		}

		if (from >= held.first + held.records.length) {
			await wakeWithin(held.waiting, wholeNumber(url.searchParams.get('waitMs')));
		}

		const offsets = Buffer.alloc(16);
		offsets.writeBigUInt64BE(BigInt(held.first + held.records.length), 0);
		offsets.writeBigUInt64BE(BigInt(held.first), 8);
		response?.end(Buffer.concat([offsets, ...held.records.slice(Math.max(0, from - held.first)).map(record => framed(record))]));
	}
}

function framed({key, value}: Stored): Uint8Array {
	const content = Buffer.concat([Buffer.from([Buffer.byteLength(key)]), Buffer.from(key), value]);
	const length = Buffer.alloc(4);
	length.writeUInt32BE(content.length);
	return Buffer.concat([length, content]);
}

/** A wait that is no whole number is none, as at the platform's store. */
function wholeNumber(text: string | null): number { // eslint-disable-line @typescript-eslint/no-restricted-types -- what a missing query is
	return text !== null && /^\d+$/v.test(text) ? Number(text) : 0;
}

async function wakeWithin(waiting: Set<() => void>, milliseconds: number): Promise<void> {
	if (milliseconds === 0) {
		return;
	}

	await new Promise<void>(resolve => {
		const wake = (): void => {
			clearTimeout(timer);
			waiting.delete(wake);
			resolve();
		};

		const timer = setTimeout(wake, milliseconds);
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
