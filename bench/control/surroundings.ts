import {setTimeout as delay} from 'node:timers/promises';
import {catalogueStream, type Entry, type Operation} from '../../src/catalogue/index.js';
import {receive, spawn, type Body} from '../../src/concurrency/index.js';
import {HttpLogClient} from '../../src/platform/index.js';
import {dial, Listener, protocolVersion, type Connection, type Message} from '../../src/wire/index.js';
import {FakeEngine, FakeLog, FakeMembers} from '../../fakes/index.js';

/** The size of the fleet around the measured process, and its rate of catalogue changes. */
export type Setting = {
	readonly entries: number;
	readonly sides: number;
	readonly catalogueEntries: number;
	readonly changesPerSecond: number;
};

const models = 19;
const zones = ['lima-a', 'lima-b', 'lima-c', 'franken-a', 'franken-b', 'franken-c'];
/** The stand-ins send heartbeats at the interval of processes with this many connections, whatever their actual number. */
const heartbeatConnections = 350;
const heartbeatTickMilliseconds = 500;
const loopback = '127.0.0.1';
const entriesPerChange = 200;

/** Stand-ins for the platform and all other processes. They send handshakes and heartbeats in the product's protocol and nothing else. */
export class Surroundings implements AsyncDisposable {
	static async create(setting: Setting): Promise<Surroundings> {
		const surroundings = new Surroundings(setting, await FakeLog.create(), await FakeMembers.create(), await FakeEngine.create({models: ['model-0']}));
		await surroundings.#publishCatalogue();
		return surroundings;
	}

	readonly log: FakeLog;
	readonly members: FakeMembers;
	readonly engine: FakeEngine;
	readonly #setting: Setting;
	readonly #client: HttpLogClient;
	readonly #listeners: Listener[] = [];
	readonly #connections = new Set<Connection>();
	readonly #timer: NodeJS.Timeout;
	#revision = 0;
	#isClosed = false;

	private constructor(setting: Setting, log: FakeLog, members: FakeMembers, engine: FakeEngine) {
		this.#setting = setting;
		this.log = log;
		this.members = members;
		this.engine = engine;
		this.#client = HttpLogClient.create({baseUrl: log.url, timeoutMilliseconds: 5000});
		this.#timer = setInterval(() => {
			for (const connection of this.#connections) {
				if (connection.takeHeartbeat(heartbeatConnections)) {
					connection.send({type: 'heartbeat', catalogueOffset: this.#revision});
				}
			}
		}, heartbeatTickMilliseconds);
	}

	/** Number of frames exchanged between the measured process and the stand-ins. */
	get messages(): number {
		return [...this.#connections].reduce((total, {counts}) => total + counts.sentMessages + counts.receivedMessages, 0);
	}

	/** Adds the sides for a measured entry: each listens, sends its hello and state, and then heartbeats. */
	async addSides(): Promise<void> {
		for (let index = 0; index < this.#setting.sides; index++) {
			const zone = zones[index % zones.length]!;
			const target = `model-${index % models}`;
			const endpoint = `engine-${index}`;
			const listener = await Listener.create({
				host: loopback, port: 0, security: {type: 'plaintext'}, onConnection: connection => {
					this.#startConnection(connection, {type: 'hello', protocol: protocolVersion, role: 'side', instance: `side-${index}`, zone, endpoint, targets: [target], catalogueOffset: this.#revision});
					connection.send({type: 'state', phase: 'serving', slots: 8, running: 0, waiting: [0, 0, 0], tokenMilliseconds: 20});
				},
			});
			this.#listeners.push(listener);
			this.members.set({instance: `side-${index}`, role: 'side', address: listener.address, zone, state: 'live', endpoint, targets: [target]});
		}
	}

	/** Adds entries to the membership list that do not exist as processes. */
	listEntries(): void {
		for (let index = 0; index < this.#setting.entries; index++) {
			this.members.set({instance: `entry-${index}`, role: 'entry', address: `${loopback}:1`, zone: zones[index % zones.length]!, state: 'live'});
		}
	}

	/** Connects stand-in entries to a measured side. */
	async connectEntries(address: string): Promise<void> {
		for (let index = 0; index < this.#setting.entries; index++) {
			const connection = await dial(address, {type: 'plaintext'});
			this.#startConnection(connection, {type: 'hello', protocol: protocolVersion, role: 'entry', instance: `entry-${index}`, zone: zones[index % zones.length]!, catalogueOffset: this.#revision});
		}
	}

	/** Publishes catalogue changes at the configured rate for the given time. */
	async changeFor(milliseconds: number): Promise<void> {
		const interval = 1000 / this.#setting.changesPerSecond;
		const until = performance.now() + milliseconds;
		for (let left = milliseconds; left > 0; left = until - performance.now()) {
			await delay(Math.min(interval, left));
			if (interval < left) {
				await this.#append([{type: 'put', entry: modelEntry(models + this.#revision)}]);
			}
		}
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#isClosed = true;
		clearInterval(this.#timer);
		for (const connection of this.#connections) {
			connection.close('the bench ends');
		}

		await Promise.all([...this.#listeners, this.#client, this.log, this.members, this.engine].map(async part => part[Symbol.asyncDispose]()));
	}

	#startConnection(connection: Connection, hello: Message): void {
		if (this.#isClosed) {
			connection.close('the bench ends');
			return;
		}

		this.#connections.add(connection);
		connection.send(hello);
		void spawn('stand-in', () => this.#read(connection));
	}

	* #read(connection: Connection): Body<void> {
		while ((yield * receive(connection.incoming)) !== undefined) {
			// A stand-in ignores what it receives.
		}

		this.#connections.delete(connection);
	}

	async #publishCatalogue(): Promise<void> {
		const entries: Entry[] = Array.from({length: models}, (_, index) => modelEntry(index));
		for (let index = 0; entries.length < this.#setting.catalogueEntries; index++) {
			entries.push(...workspaceEntries(`workspace-${index}`));
		}

		for (let start = 0; start < entries.length; start += entriesPerChange) {
			await this.#append(entries.slice(start, start + entriesPerChange).map(entry => ({type: 'put', entry})));
		}
	}

	async #append(operations: Operation[]): Promise<void> {
		const result = await this.#client.append(catalogueStream, {
			type: 'change', id: `change-${this.#revision}`, author: 'bench', time: Date.now(), operations,
		});
		this.#revision = result.type === 'appended' ? result.offset : this.#revision;
	}
}

function modelEntry(index: number): Entry {
	return {kind: 'model', name: `model-${index}`, owner: 'bench', version: '1', replicas: 0, adapters: []};
}

/** A workspace with three classes. The four entries belong in one change, so that each change is valid. */
function workspaceEntries(name: string): Entry[] {
	const classes = ['answer', 'order', 'chart'].map((className, tier): Entry => ({
		kind: 'class', name: `${name}/${className}`, owner: 'bench', tier: tier as 0 | 1 | 2, firstTokenMilliseconds: 430, betweenTokensMilliseconds: 58,
		queueMilliseconds: 2000, idempotent: true, targets: [], limits: {requestsPerSecond: 50},
	}));
	return [{kind: 'workspace', name, owner: 'bench', weight: 1, keySha256: [], defaultClass: 'answer'}, ...classes];
}
