import {type Body, receive, sleep, spawn, wait} from '../concurrency/index.js';
import {flattenParts, type LoadEvent, batchIntervalMilliseconds} from '../policy/dispatch/index.js';
import {type FleetView} from '../policy/sharing/index.js';
import {type Connection, dial, encodeFrame, type GatewayMessage, isGatewayMessage, Listener, type Message, protocolVersion} from '../wire/index.js';
import {type KeptParts} from './prompt-cache-reader.js';
import {LoadBatch} from './load-batch.js';
import {initialMessages, hear, messageOf} from './peer-messages.js';
import {type PeerRecord, PeerRoster} from './peer-roster.js';
import {type PeersOptions} from './peers-options.js';
import {RoutingTablePuller} from './routing-table-puller.js';

/** How often missing neighbours are dialled, and heartbeats are looked at. */
const lookMilliseconds = 1000;
/**
 * Failure: an instance loses power, and no packet says so. Symptom: what it had placed counts on, so that
 * endpoints look full. Three heartbeats without a word are a loss; what it placed is then forgotten.
 */
const peerTimes = {heartbeatMilliseconds: 900, silenceMilliseconds: 2800};
/** A link that was made while few names were known is kept for so long, in which the others become known. */
const leastLinkMilliseconds = 10_000;

type Link = {readonly connection: Connection; readonly instance: string; readonly incarnation: string; readonly isDialled: boolean; readonly since: number; routingVersion: number};

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
		void spawn('dial peers', () => peers.#keepLinks());
		return peers;
	}

	readonly #options: PeersOptions;
	readonly #roster: PeerRoster;
	readonly #links = new Map<string, Link>();
	readonly #pull: RoutingTablePuller;
	readonly #load = LoadBatch.create(() => batchIntervalMilliseconds(this.#links.size), rows => {
		this.#broadcast({type: 'load', rows});
	});

	readonly #seeds: readonly string[];
	#listener: Listener | undefined;
	#isClosed = false;

	private constructor(options: PeersOptions) {
		this.#options = options;
		this.#roster = PeerRoster.create({name: options.instance, zone: options.zone});
		this.#seeds = options.seeds.filter(seed => seed !== `${options.host}:${options.port}`);
		this.#pull = RoutingTablePuller.create({
			ownVersion: () => options.routingState.table?.version,
			holders: () => [...this.#links.values()].map(({instance, routingVersion, connection}) => ({
				instance,
				version: routingVersion,
				requestTable() {
					connection.send({type: 'routing-wanted'});
				},
			})),
			logger: options.logger,
			onStaleTable: options.onStaleTable,
		});
		options.routingState.onChange(change => {
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
	get instanceNames(): readonly string[] {
		return this.#roster.instanceNames;
	}

	/** In a mesh the links tell how many are live; an instance without links knows of nobody who would tell it anything. */
	get view(): FleetView {
		const links = this.#links.size;
		return {links, instances: (links === 0 || this.#roster.isMesh ? links : Math.max(links, this.#roster.reachableCount)) + 1};
	}

	/** Tells all neighbours what an endpoint holds of prompts. */
	broadcastPromptCache({endpoint, parts}: KeptParts): void {
		this.#broadcast({type: 'kept', endpoint, parts: flattenParts(parts)});
	}

	/** Takes announcements; the newest of an instance counts. A whole reading names those that stood before it. */
	addPeers(records: readonly PeerRecord[], isWhole: boolean): void {
		this.#roster.addPeers(records, isWhole);
		this.#options.onView(this.view);
	}

	removePeer(instance: string): void {
		this.#roster.removePeer(instance);
		this.#options.onView(this.view);
	}

	/** Tells the neighbours, together with what else happens within a few milliseconds. */
	broadcastLoad(event: LoadEvent): void {
		if (this.#links.size === 0) {
			return;
		}

		this.#load.add(event);
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#isClosed = true;
		this.#pull[Symbol.dispose]();
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

	* #keepLinks(): Body<void> {
		while (!this.#isClosed) {
			for (const address of this.#roster.addressesToDial(new Set(this.#links.keys()), this.#seeds, performance.now())) {
				void spawn('dial peer', () => this.#dial(address));
			}

			for (const link of this.#links.values()) {
				this.#keepLink(link);
			}

			yield * sleep(lookMilliseconds);
		}
	}

	/** Whoever dialled a link that is no neighbour's any more ends it; else it says that it is there. */
	#keepLink({connection, instance, isDialled, since}: Link): void {
		if (isDialled && performance.now() - since > leastLinkMilliseconds && !this.#roster.neighbours.linked.has(instance)) {
			connection.close('no neighbour any more');
		} else if (connection.takeHeartbeat(this.#links.size)) {
			connection.send({type: 'heartbeat', catalogueOffset: 0});
		}
	}

	* #dial(address: string): Body<void> {
		const pause = this.#roster.recordDial(address, performance.now());
		try {
			const connection = yield * wait(dial(address, this.#options.security));
			yield * this.#serve(connection, address);
		} catch (error) {
			this.#options.logger.debug('No connection to a peer.', {address, reason: String(error), pause});
		}
	}

	* #serve(connection: Connection, address?: string): Body<void> {
		const {instance, incarnation, knowsEndpoints} = this.#options;
		connection.setBusy(true, peerTimes);
		connection.send({type: 'gateway-hello', protocol: protocolVersion, instance, incarnation, knowsEndpoints: knowsEndpoints()});
		let link: Link | undefined;
		for (let turn = yield * receive(connection.incoming); turn !== undefined; turn = yield * receive(connection.incoming)) {
			for (const message of turn) {
				link = this.#take(message, {connection, link, address});
			}
		}

		this.#drop(link);
	}

	#take(message: Message, {connection, link, address}: {connection: Connection; link: Link | undefined; address: string | undefined}): Link | undefined {
		if (message.type === 'heartbeat') {
			return link;
		}

		if (!isGatewayMessage(message)) {
			connection.close(`a peer sent ${message.type}`);
			return link;
		}

		if (message.type === 'gateway-hello') {
			return this.#greet(message, connection, address);
		}

		if (link === undefined) {
			connection.close('a peer sent no hello');
			return undefined;
		}

		const {routingState: beliefs, onLoad, onPromptCache: onKept} = this.#options;
		const {instance, incarnation} = link;
		hear(message, {
			beliefs, connection, instance, incarnation, onLoad, onKept,
			onVersion: version => {
				link.routingVersion = version;
				this.#pull.handlePeerVersion();
			},
		});
		return link;
	}

	#greet(hello: Extract<GatewayMessage, {type: 'gateway-hello'}>, connection: Connection, address: string | undefined): Link | undefined {
		const held = this.#links.get(hello.instance);
		const isDialled = address !== undefined;
		if (isDialled) {
			this.#roster.recordConnected(address);
		}

		if (hello.protocol !== protocolVersion || hello.instance === this.#options.instance) {
			connection.close('not a peer of this protocol version');
			return undefined;
		}

		if (held?.incarnation === hello.incarnation && !this.#isBetter(held, isDialled)) {
			connection.close('connected already');
			return undefined;
		}

		if (held !== undefined) {
			this.#replace(held, hello.incarnation);
		}

		const link = {connection, instance: hello.instance, incarnation: hello.incarnation, isDialled, since: performance.now(), routingVersion: held?.incarnation === hello.incarnation ? held.routingVersion : -Infinity};
		this.#links.set(hello.instance, link);
		this.#options.onView(this.view);
		this.#options.logger.info('Peer connected.', {peer: hello.instance, incarnation: hello.incarnation, peers: this.#links.size});
		for (const message of initialMessages(this.#options.routingState, {knowsEndpoints: hello.knowsEndpoints, now: performance.now()})) {
			connection.send(message);
		}

		return link;
	}

	/**
	 * Failure: a peer is killed and back before its silence shows. Symptom: what its earlier incarnation had placed counts on, and endpoints
	 * look full.
	 */
	#replace(held: Link, incarnation: string): void {
		if (held.incarnation === incarnation) {
			held.connection.close('another connection took its place');
			return;
		}

		held.connection.close('the peer has started anew');
		this.#options.onLoad({type: 'owner-lost', owner: held.incarnation});
	}

	/**
	 * Failure: two instances dial each other at one moment, and each ends the other's connection. Symptom: they stay unlinked. Both keep the
	 * one that the smaller name dialled; of two by the same the newer one, since nobody dials who has a link.
	 */
	#isBetter(held: Link, isDialled: boolean): boolean {
		return held.isDialled === isDialled || isDialled === (this.#options.instance < held.instance);
	}

	#drop(link: Link | undefined): void {
		if (link === undefined || this.#links.get(link.instance) !== link) {
			return;
		}

		this.#links.delete(link.instance);
		this.#options.onView(this.view);
		this.#options.onLoad({type: 'owner-lost', owner: link.incarnation});
		this.#options.logger.warn('Peer lost.', {peer: link.instance, reason: link.connection.closeReason, peers: this.#links.size});
	}
}
