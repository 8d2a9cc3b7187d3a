import {type Body, receive, sleep, spawn, wait} from '../concurrency/index.js';
import {decodeLoad, encodeLoad, flattenParts, type LoadEvent, tellingInterval, unflattenParts} from '../policy/dispatch/index.js';
import {type EndpointChange} from '../routing/index.js';
import {type PartLogger} from '../telemetry/index.js';
import {type Connection, dial, encodeFrame, type GatewayMessage, isGatewayMessage, Listener, type Message, protocolVersion, type Security} from '../wire/index.js';
import {type BeliefChange, type Beliefs} from './beliefs.js';
import {type KeptParts} from './kept-reader.js';

/** Another instance, as it announced itself. */
export type PeerRecord = {readonly instance: string; readonly address: string};

export type PeersOptions = {
	readonly instance: string;
	/** New at each start of the process. */
	readonly incarnation: string;
	readonly host: string;
	readonly port: number;
	readonly security: Security;
	/** Addresses to try before anyone has announced itself; they may be stale. */
	readonly seeds: readonly string[];
	readonly beliefs: Beliefs;
	readonly logger: PartLogger;
	readonly onLoad: (event: LoadEvent) => void;
	/** A peer read what an endpoint holds of prompts. */
	readonly onKept: (kept: KeptParts) => void;
	/** Live instances, this one included. */
	readonly onCount: (instances: number) => void;
};

/** How often missing peers are dialled, and heartbeats are looked at. */
const redialMilliseconds = 1000;
/**
 * Failure: an instance loses power, and no packet says so. Symptom: what it had placed counts on, so that
 * endpoints look full. Three heartbeats without a word are a loss; what it placed is then forgotten.
 */
const peerTimes = {heartbeatMilliseconds: 900, silenceMilliseconds: 2800};
/** A peer that does not answer is dialled ever more rarely, up to this. */
const longestRedialMilliseconds = 30_000;
/**
 * Peers that one instance keeps in touch with. Load is told to each, so cost grows with their number;
 * 32 covers the deployments known, and above it each one talks to its successors in the ring of names.
 */
const largestPeers = 32;

/**
 * Failure: each instance sends each new table to each other one. Symptom: ten changes in four seconds are
 * 25 x 15 kB each, both ways, which fills the link of a small instance; connections to endpoints then
 * take over 350 ms, and all of them look unreachable. Only the version is told. Who lacks it for longer
 * than the store needs asks one of those that have it: at once where it has no table at all.
 */
const pullMilliseconds = {withoutTable: 100, behind: 400, spread: 200};

type Link = {readonly connection: Connection; readonly instance: string; readonly incarnation: string; routingVersion: number};

/**
 * The other gateways. Failures: the store refuses this instance or is down while the operator
 * publishes; without peers it would go on with an old routing table, or start with none. And without
 * word of each other's load, a burst through several instances meets on the same idle endpoint.
 */
export class Peers implements AsyncDisposable {
	static async create(options: PeersOptions): Promise<Peers> {
		const peers = new Peers(options);
		peers.#listener = await Listener.create({
			host: options.host,
			port: options.port,
			security: options.security,
			onConnection(connection) {
				void spawn('peer', () => peers.#serve(connection));
			},
		});
		void spawn('dial peers', () => peers.#dialMissing());
		return peers;
	}

	readonly #options: PeersOptions;
	readonly #known = new Map<string, PeerRecord>();
	readonly #links = new Map<string, Link>();
	readonly #tries = new Map<string, {at: number; pause: number}>();
	#listener: Listener | undefined;
	#unsent: LoadEvent[] = [];
	#pull: NodeJS.Timeout | undefined;
	#isClosed = false;

	private constructor(options: PeersOptions) {
		this.#options = options;
		options.beliefs.onChange(change => {
			const message = messageOf(change);
			if (message !== undefined) {
				this.#broadcast(message);
			}
		});
	}

	get count(): number {
		return this.#links.size;
	}

	/** The other instances that announced themselves. */
	get names(): readonly string[] {
		return [...this.#known.keys()];
	}

	/** Tells all what an endpoint holds of prompts. */
	tellKept({endpoint, parts}: KeptParts): void {
		this.#broadcast({type: 'kept', endpoint, parts: flattenParts(parts)});
	}

	/** Takes announcements; the newest of an instance counts. */
	know(records: readonly PeerRecord[]): void {
		for (const record of records) {
			if (record.instance !== this.#options.instance) {
				this.#known.set(record.instance, record);
			}
		}
	}

	forget(instance: string): void {
		this.#known.delete(instance);
	}

	/** Tells the others, together with what else happens within a few milliseconds. */
	tellLoad(event: LoadEvent): void {
		if (this.#links.size === 0) {
			return;
		}

		if (this.#unsent.length === 0) {
			setTimeout(() => {
				const events = this.#unsent;
				this.#unsent = [];
				this.#broadcast({type: 'load', rows: encodeLoad(events)});
			}, tellingInterval(this.#links.size));
		}

		this.#unsent.push(event);
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#isClosed = true;
		clearTimeout(this.#pull);
		await this.#listener?.[Symbol.asyncDispose]();
		await Promise.all([...this.#links.values()].map(async ({connection}) => connection[Symbol.asyncDispose]()));
	}

	#broadcast(message: Message): void {
		if (this.#links.size === 0) {
			return;
		}

		const frame = encodeFrame(message);
		for (const {connection} of this.#links.values()) {
			connection.sendFrame(frame);
		}
	}

	* #dialMissing(): Body<void> {
		while (!this.#isClosed) {
			for (const address of this.#missing()) {
				void spawn('dial peer', () => this.#dial(address));
			}

			for (const {connection} of this.#links.values()) {
				if (connection.takeHeartbeat(this.#links.size)) {
					connection.send({type: 'heartbeat', catalogueOffset: 0});
				}
			}

			yield * sleep(redialMilliseconds);
		}
	}

	/** Of each pair the one with the smaller name dials; seeds only while nobody else is known. */
	#missing(): string[] {
		const now = performance.now();
		const names = [...this.#known.keys(), this.#options.instance].toSorted();
		const own = names.indexOf(this.#options.instance);
		const successors = [...names.slice(own + 1), ...names.slice(0, own)].slice(0, largestPeers);
		const isSmall = names.length <= largestPeers;
		const wanted = successors.filter(name => !this.#links.has(name) && (!isSmall || name > this.#options.instance)).map(name => this.#known.get(name)!.address);
		const addresses = this.#links.size === 0 ? [...wanted, ...this.#options.seeds.filter(seed => seed !== `${this.#options.host}:${this.#options.port}`)] : wanted;
		return [...new Set(addresses)].filter(address => {
			const tried = this.#tries.get(address);
			return tried === undefined || now - tried.at >= tried.pause;
		});
	}

	* #dial(address: string): Body<void> {
		const pause = Math.min(longestRedialMilliseconds, (this.#tries.get(address)?.pause ?? redialMilliseconds / 2) * 2);
		this.#tries.set(address, {at: performance.now(), pause});
		try {
			const connection = yield * wait(dial(address, this.#options.security));
			yield * this.#serve(connection, address);
		} catch (error) {
			this.#options.logger.debug('No connection to a peer.', {address, reason: String(error), pause});
		}
	}

	* #serve(connection: Connection, address?: string): Body<void> {
		connection.setBusy(true, peerTimes);
		connection.send({type: 'gateway-hello', protocol: protocolVersion, instance: this.#options.instance, incarnation: this.#options.incarnation});
		let link: Link | undefined;
		for (let turn = yield * receive(connection.incoming); turn !== undefined; turn = yield * receive(connection.incoming)) {
			for (const message of turn) {
				link = this.#take(message, connection, link);
			}
		}

		if (address !== undefined && link !== undefined) {
			this.#tries.delete(address);
		}

		this.#drop(link);
	}

	#take(message: Message, connection: Connection, link: Link | undefined): Link | undefined {
		if (message.type === 'heartbeat') {
			return link;
		}

		if (!isGatewayMessage(message)) {
			connection.close(`a peer sent ${message.type}`);
			return link;
		}

		if (message.type === 'gateway-hello') {
			return this.#greet(message, connection);
		}

		if (link === undefined) {
			connection.close('a peer sent no hello');
			return undefined;
		}

		this.#hear(message, link);
		return link;
	}

	#greet(hello: Extract<GatewayMessage, {type: 'gateway-hello'}>, connection: Connection): Link | undefined {
		const held = this.#links.get(hello.instance);
		if (hello.protocol !== protocolVersion || hello.instance === this.#options.instance || held?.incarnation === hello.incarnation) {
			connection.close('not a peer of this protocol version, or one that is connected already');
			return undefined;
		}

		held?.connection.close('the peer has started anew');
		const link = {connection, instance: hello.instance, incarnation: hello.incarnation, routingVersion: -Infinity};
		this.#links.set(hello.instance, link);
		this.#options.onCount(this.#links.size + 1);
		this.#options.logger.info('Peer connected.', {peer: hello.instance, incarnation: hello.incarnation, peers: this.#links.size});
		this.#sendBeliefs(connection);
		return link;
	}

	#sendBeliefs(connection: Connection): void {
		const {tableInput, directory} = this.#options.beliefs;
		if (tableInput !== undefined) {
			connection.send({type: 'routing-version', version: tableInput.version});
		}

		const changes = [...directory.entries.values()].map(({record, offset, endedAt}): EndpointChange => endedAt === undefined || record.isLeaving
			? {type: 'registered', offset, record}
			: {type: 'removed', offset, id: record.id});
		connection.send({type: 'endpoints', changes});
	}

	#hear(message: Exclude<GatewayMessage, {type: 'gateway-hello'}>, link: Link): void {
		const {connection, instance, incarnation} = link;
		switch (message.type) {
			case 'routing-version': {
				link.routingVersion = message.version;
				this.#pullLater();
				return;
			}

			case 'routing-wanted': {
				const {tableInput} = this.#options.beliefs;
				if (tableInput !== undefined) {
					connection.send({type: 'routing', table: tableInput});
				}

				return;
			}

			case 'routing': {
				this.#options.beliefs.offerTable(message.table, `instance ${instance}`);
				return;
			}

			case 'endpoints': {
				this.#options.beliefs.offerEndpoints(message.changes, `instance ${instance}`, performance.now());
				return;
			}

			case 'kept': {
				this.#options.onKept({endpoint: message.endpoint, parts: unflattenParts(message.parts)});
				return;
			}

			case 'load': {
				const events = decodeLoad(message.rows, incarnation);
				if (events === undefined) {
					connection.close('a peer sent load that can\'t be read');
				}

				for (const event of events ?? []) {
					this.#options.onLoad(event);
				}
			}
		}
	}

	/** Asks for a newer table if the store has not brought it by then, and again as long as it is not here. */
	#pullLater(): void {
		if (this.#pull !== undefined || this.#newer().length === 0) {
			return;
		}

		const least = this.#options.beliefs.table === undefined ? pullMilliseconds.withoutTable : pullMilliseconds.behind;
		this.#pull = setTimeout(() => {
			this.#pull = undefined;
			const newer = this.#newer();
			const asked = newer[Math.floor(Math.random() * newer.length)];
			if (asked !== undefined) {
				this.#options.logger.info('Asking a peer for its routing table.', {peer: asked.instance, version: asked.routingVersion, before: this.#options.beliefs.table?.version});
				asked.connection.send({type: 'routing-wanted'});
				this.#pullLater();
			}
		}, least + (Math.random() * pullMilliseconds.spread));
	}

	#newer(): Link[] {
		const version = this.#options.beliefs.table?.version ?? -Infinity;
		return [...this.#links.values()].filter(({routingVersion}) => routingVersion > version);
	}

	#drop(link: Link | undefined): void {
		if (link === undefined || this.#links.get(link.instance) !== link) {
			return;
		}

		this.#links.delete(link.instance);
		this.#options.onCount(this.#links.size + 1);
		this.#options.onLoad({type: 'owner-lost', owner: link.incarnation});
		this.#options.logger.warn('Peer lost.', {peer: link.instance, reason: link.connection.closeReason, peers: this.#links.size});
	}
}

function messageOf(change: BeliefChange): GatewayMessage | undefined {
	switch (change.type) {
		case 'table': {
			return {type: 'routing-version', version: change.input.version};
		}

		case 'endpoints': {
			return {type: 'endpoints', changes: [...change.changes]};
		}

		case 'reborn': {
			// Each instance sees it in the endpoints' records.
			return undefined;
		}
	}
}
