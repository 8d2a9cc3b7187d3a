import {type Body, receive, sleep, spawn, wait} from '../../concurrency/index.js';
import {flattenParts, type LoadEvent, batchIntervalMilliseconds} from '../../policy/dispatch/index.js';
import {type FleetView} from '../../policy/sharing/index.js';
import {type Connection, dial, type GatewayMessage, isGatewayMessage, Listener, type MessageOf, protocolVersion, type Message} from '../../wire/index.js';
import {type CachedPromptParts} from '../endpoints/index.js';
import {InitialSync} from './initial-sync.js';
import {LoadBatch} from './load-batch.js';
import {createPeerLink, isPreferredLink, logDropped, type PeerLink, takes} from './peer-link.js';
import {encodeClasses, handleMessage, messageForChange} from './peer-messages.js';
import {type PeerRecord, PeerRoster} from './peer-roster.js';
import {PeerSender} from './peer-sender.js';
import {type PeersOptions} from './peers-options.js';
import {RoutingTablePuller} from './routing-table-puller.js';

/** Interval between dials of missing neighbours and between heartbeat checks. */
const maintenanceMilliseconds = 1000;
/**
 * A peer that is silent for three heartbeats counts as lost, and what it had placed is no longer counted. Without this, the
 * placements of an instance that lost power, which no packet reports, would make endpoints look full.
 */
const heartbeatTimes = {heartbeatMilliseconds: 900, silenceMilliseconds: 2800};
/** Shortest life of a dialled link. At the dial few instances may have been known, and whether the other one is a neighbour is certain only then. */
const minLinkMilliseconds = 10_000;

/**
 * Links to the other gateways. If the store refuses this instance or is down while the operator publishes, peers provide the
 * routing table; without them the instance would keep an old table, or start with none. Peers also report their load; otherwise,
 * if a burst arrives at several instances, all of them would place its requests at the same idle endpoint.
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
		void spawn('dial peers', () => peers.#maintainLinks());
		return peers;
	}

	/** The instances that announced themselves. */
	readonly roster: PeerRoster;
	readonly #options: PeersOptions;
	readonly #links = new Map<string, PeerLink>();
	readonly #sender = PeerSender.create();
	readonly #initialSync: InitialSync;
	readonly #tablePuller: RoutingTablePuller;
	readonly #loadBatch = LoadBatch.create(() => batchIntervalMilliseconds(this.#links.size), rows => {
		this.#broadcast({type: 'load', rows});
	});

	readonly #seeds: readonly string[];
	#listener: Listener | undefined;
	#isClosed = false;

	private constructor(options: PeersOptions) {
		this.#options = options;
		this.#initialSync = InitialSync.create(options, this.#sender);
		this.roster = PeerRoster.create({name: options.instance, zone: options.zone});
		this.#seeds = options.seeds.filter(seed => seed !== `${options.host}:${options.port}`);
		this.#tablePuller = RoutingTablePuller.create({
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
			const message = messageForChange(change);
			if (message !== undefined) {
				this.#broadcast(message);
			}
		});
	}

	/** Address at which other instances connect, with the port that the system chose if the options left it open (0). */
	get address(): string {
		return this.#listener!.address;
	}

	get count(): number {
		return this.#links.size;
	}

	/**
	 * In a full mesh the number of links is the number of live instances; an instance without links receives reports from no
	 * other one.
	 */
	get view(): FleetView {
		const links = this.#links.size;
		return {links, instances: (links === 0 || this.roster.isFullMesh ? links : Math.max(links, this.roster.reachableCount)) + 1};
	}

	get isApart(): boolean {
		return this.roster.hasUnreached(new Set(this.#links.keys()));
	}

	get sentBytes(): ReadonlyMap<string, number> {
		return this.#sender.sentBytes;
	}

	get linkedNames(): readonly string[] {
		return [...this.#links.keys()];
	}

	sendTo(instance: string, message: MessageOf<'stream-origins'>): void {
		this.#links.get(instance)?.connection.send(message);
	}

	/** Reports to all neighbours what an endpoint has cached. */
	broadcastPromptCache({endpoint, parts}: CachedPromptParts): void {
		this.#broadcast({type: 'kept', endpoint, parts: flattenParts(parts)});
	}

	/** Sends to all neighbours who holds the duties, what this instance has seen of an endpoint, or which shares it wants. */
	announce(message: MessageOf<'duty-holder' | 'endpoint-rate-limit' | 'rate-shares-wanted' | 'request-crashes'>): void {
		this.#broadcast(message);
	}

	/**
	 * Adds announced instances; the newest announcement of an instance counts. A snapshot names those that were announced
	 * before this one started.
	 */
	addPeers(records: readonly PeerRecord[], isSnapshot: boolean): void {
		this.roster.addPeers(records, isSnapshot, performance.now());
		this.#options.onView(this.view);
	}

	removePeer(instance: string): void {
		this.roster.removePeer(instance, performance.now());
		this.#options.onView(this.view);
	}

	/** Reports load to the neighbours, batched with other events of a few milliseconds, or what this instance has learned of engines. */
	broadcastLoad(event: LoadEvent): void {
		if (event.type === 'classes') {
			this.#broadcast(encodeClasses(event.statement));
		} else if (this.#links.size > 0) {
			this.#loadBatch.add(event);
		}
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#isClosed = true;
		this.#tablePuller[Symbol.dispose]();
		await this.#listener?.[Symbol.asyncDispose]();
		await Promise.all([...this.#links.values()].map(async ({connection}) => connection[Symbol.asyncDispose]()));
	}

	#broadcast(message: GatewayMessage): void {
		this.#sender.send(message, [...this.#links.values()].filter(link => takes(link, message)).map(({connection}) => connection));
	}

	* #maintainLinks(): Body<void> {
		while (!this.#isClosed) {
			for (const address of this.roster.addressesToDial(new Set(this.#links.keys()), this.#seeds, performance.now())) {
				void spawn('dial peer', () => this.#dial(address));
			}

			for (const link of this.#links.values()) {
				this.#maintainLink(link);
			}

			yield * sleep(maintenanceMilliseconds);
		}
	}

	/** Closes a link that this instance dialled to one that is no longer a neighbour; otherwise sends a heartbeat when one is due. */
	#maintainLink(link: PeerLink): void {
		const {connection, instance, isDialled, since} = link;
		logDropped({connection, instance}, this.#options.logger);
		this.#initialSync.complete(link, performance.now());
		if (isDialled && performance.now() - since > minLinkMilliseconds && !this.roster.neighbours.linked.has(instance)) {
			connection.close('no longer a neighbour');
		} else if (connection.takeHeartbeat(this.#links.size)) {
			connection.send({type: 'heartbeat', catalogueOffset: 0});
		}
	}

	* #dial(address: string): Body<void> {
		const pause = this.roster.recordDial(address, performance.now());
		try {
			const connection = yield * wait(dial(address, this.#options.security));
			yield * this.#serve(connection, address);
		} catch (error) {
			this.#options.logger.debug('Could not connect to a peer.', {address, reason: String(error), pause});
		}
	}

	* #serve(connection: Connection, address?: string): Body<void> {
		const {instance, incarnation, knowsEndpoints} = this.#options;
		connection.setBusy(true, heartbeatTimes);
		connection.send({type: 'gateway-hello', protocol: protocolVersion, instance, incarnation, knowsEndpoints: knowsEndpoints(), takesClasses: true});
		let link: PeerLink | undefined;
		for (let messages = yield * receive(connection.incoming); messages !== undefined; messages = yield * receive(connection.incoming)) {
			for (const message of messages) {
				link = this.#handleMessage(message, {connection, link, address});
			}
		}

		this.#removeLink(link);
	}

	#handleMessage(message: Message, {connection, link, address}: {connection: Connection; link: PeerLink | undefined; address: string | undefined}): PeerLink | undefined {
		if (message.type === 'heartbeat') {
			return link;
		}

		if (!isGatewayMessage(message)) {
			connection.close(`the peer sent ${message.type}`);
			return link;
		}

		if (message.type === 'gateway-hello') {
			return this.#handleHello(message, connection, address);
		}

		if (link === undefined) {
			connection.close('the peer sent no hello');
			return undefined;
		}

		handleMessage(message, {
			...this.#options, connection, instance: link.instance, incarnation: link.incarnation,
			onCrashesRead() {
				link.knowsCrashes = true;
			},
			onVersion: version => {
				link.routingVersion = version;
				this.#tablePuller.handlePeerVersion();
			},
		});
		return link;
	}

	#handleHello(hello: Extract<GatewayMessage, {type: 'gateway-hello'}>, connection: Connection, address: string | undefined): PeerLink | undefined {
		const existing = this.#links.get(hello.instance);
		const isDialled = address !== undefined;
		if (isDialled) {
			this.roster.recordConnected(address);
		}

		if (hello.protocol !== protocolVersion || hello.instance === this.#options.instance) {
			connection.close('not a peer of this protocol version');
			return undefined;
		}

		if (existing?.incarnation === hello.incarnation && !isPreferredLink(existing, isDialled, this.#options.instance)) {
			connection.close('already connected');
			return undefined;
		}

		if (existing !== undefined) {
			this.#replace(existing, hello.incarnation);
		}

		const link = createPeerLink(hello, {connection, isDialled, existing});
		this.#links.set(hello.instance, link);
		this.roster.recordLinked(hello.instance, performance.now());
		this.#options.onView(this.view);
		this.#options.logger.info('Peer connected.', {peer: hello.instance, incarnation: hello.incarnation, peers: this.#links.size});
		this.#initialSync.start(link, hello.knowsEndpoints);
		return link;
	}

	/**
	 * Replaces the link of a peer. If the peer restarted before its silence was noticed, the placements of its previous
	 * incarnation are dropped; they would make endpoints look full.
	 */
	#replace(existing: PeerLink, incarnation: string): void {
		if (existing.incarnation === incarnation) {
			existing.connection.close('replaced by another connection');
			return;
		}

		existing.connection.close('the peer has restarted');
		this.#options.onLoad({type: 'owner-lost', owner: existing.incarnation});
		this.#options.onLenderLost(existing.instance);
	}

	#removeLink(link: PeerLink | undefined): void {
		if (link === undefined || this.#links.get(link.instance) !== link) {
			return;
		}

		this.#links.delete(link.instance);
		this.roster.recordLost(link.instance, performance.now());
		this.#options.onView(this.view);
		this.#options.onLoad({type: 'owner-lost', owner: link.incarnation});
		this.#options.onLenderLost(link.instance);
		this.#options.logger.warn('Peer lost.', {peer: link.instance, reason: link.connection.closeReason, peers: this.#links.size});
	}
}
