import {type Body, sleep, spawn, wait} from '../concurrency/index.js';
import {type EndpointId, type InstanceId, type RequestSummary, type ZoneName} from '../model/index.js';
import {type CatalogueMessage, type Member, type MembershipClient, type QuarantineLedger} from '../platform/index.js';
import {type Choice, type Placement, type PlacementEvent} from '../policy/placement/index.js';
import {type PartLogger} from '../telemetry/index.js';
import {rankByRendezvous} from '../policy/hashing/index.js';
import {type QuarantineRecord} from '../policy/quarantine/index.js';
import {dial, type Message, protocolVersion, type Security} from '../wire/index.js';
import {EndpointLinks} from './endpoint-links.js';
import {SideLink, type SideLinkOwner} from './side-link.js';

const membershipPollMilliseconds = 1000;
const redialMilliseconds = 500;
/** How often the links are checked for due heartbeats. */
const heartbeatTickMilliseconds = 500;
/** How often the placement policy gets a `tick` event. */
const placementTickMilliseconds = 250;

export type FleetOptions<State> = {
	readonly instance: InstanceId;
	readonly zone: ZoneName;
	readonly security: Security;
	readonly membership: MembershipClient;
	readonly placement: Placement<State>;
	readonly logger: PartLogger;
	readonly random: () => number;
	readonly catalogueOffset: () => number;
	readonly onPeerMessage: (link: SideLink, message: CatalogueMessage) => void;
	/** Records of requests that crash endpoints. */
	readonly quarantine?: QuarantineLedger;
};

/**
 * The sides (sidecar processes, one per endpoint) that this entry knows: polls the membership list, maintains a
 * connection to each side and passes their state to the placement policy. Whether a side can be used is decided
 * first by the side's own state report, then by the loss of its connection, and last by the membership list.
 */
export class Fleet<State = unknown> implements AsyncDisposable, SideLinkOwner {
	static create<State>(options: FleetOptions<State>): Fleet<State> {
		const fleet = new Fleet(options);
		void spawn('membership', () => fleet.#followMembership());
		return fleet;
	}

	readonly #options: FleetOptions<State>;
	#placementState: State;
	#entries: ReadonlyMap<string, string> = new Map();
	#sideMembers = new Map<string, Member>();
	readonly #maintainedAddresses = new Set<string>();
	readonly #links = EndpointLinks.create();
	readonly #timers: NodeJS.Timeout[];
	#closed = false;

	private constructor(options: FleetOptions<State>) {
		this.#options = options;
		this.#placementState = options.placement.create({instance: options.instance, zone: options.zone});
		const heartbeat = setInterval(() => {
			this.#sendHeartbeats();
		}, heartbeatTickMilliseconds);
		const tick = setInterval(() => {
			this.observe({type: 'tick'});
		}, placementTickMilliseconds);
		this.#timers = [heartbeat, tick];
		options.quarantine?.addListener((records, from) => {
			if (from === 'process') {
				this.#broadcast({type: 'quarantine', records: [...records]});
			}
		});
	}

	/** The endpoints at which to reserve a slot, best first. */
	choose(summary: RequestSummary, excluded: ReadonlySet<EndpointId>): Choice {
		return this.#options.placement.choose(this.#placementState, summary, excluded, this.#options.random(), performance.now());
	}

	/**
	 * The only endpoint that may run a suspect request. Every entry that is connected to the same sides
	 * chooses the same one, so that the request can crash only one endpoint at a time.
	 */
	chooseForSuspect(summary: RequestSummary, excluded: ReadonlySet<EndpointId>): EndpointId | undefined {
		const serving = this.connected.filter(({identity, state}) => identity?.targets.includes(summary.target) && state?.phase === 'serving' && !excluded.has(identity.endpoint));
		return rankByRendezvous(summary.fingerprint, serving.map(({identity}) => identity!.endpoint))[0];
	}

	/** The open connection to an endpoint's side for new requests, if there is one. */
	link(endpoint: EndpointId): SideLink | undefined {
		return this.#links.linkTo(endpoint);
	}

	/**
	 * The live entries of the membership list. Key and value are both the address, because all entries use it as the
	 * name of an entry.
	 */
	get entries(): ReadonlyMap<string, string> {
		return this.#entries;
	}

	/** The connection of each endpoint for its new requests. */
	get connected(): readonly SideLink[] {
		return this.#links.current;
	}

	/** Passes an event of a request or a side to the placement policy. */
	observe(event: PlacementEvent): void {
		this.#placementState = this.#options.placement.step(this.#placementState, event, performance.now());
	}

	sideUpdated(link: SideLink): void {
		const endpoint = link.identity?.endpoint;
		if (endpoint === undefined || !link.isOpen) {
			return;
		}

		this.#links.add(endpoint, link);
		this.#observeSide(endpoint);
	}

	sideLost(link: SideLink): void {
		const endpoint = link.identity?.endpoint;
		if (endpoint !== undefined && this.#links.delete(endpoint, link)) {
			this.#observeSide(endpoint);
		}
	}

	quarantineReceived(records: readonly QuarantineRecord[]): void {
		this.#options.quarantine?.receiveRecords(records);
	}

	peerMessageReceived(link: SideLink, message: CatalogueMessage): void {
		this.#options.onPeerMessage(link, message);
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#closed = true;
		for (const timer of this.#timers) {
			clearInterval(timer);
		}

		for (const link of this.#links.all) {
			link.close('the entry is shutting down');
		}
	}

	/** Passes what is known of an endpoint's side to the placement policy: of the one that gets its new requests, or that there is none. */
	#observeSide(endpoint: EndpointId): void {
		const {identity, state} = this.#links.linkTo(endpoint) ?? {};
		if (identity === undefined) {
			this.observe({type: 'side-lost', endpoint});
			return;
		}

		this.observe({
			type: 'side-seen',
			side: {
				endpoint,
				zone: identity.zone,
				targets: identity.targets,
				connected: true,
				leaving: state !== undefined && state.phase !== 'serving',
				slots: state?.slots ?? 1,
				running: state?.running ?? 0,
				firm: state?.firm,
				waiting: state?.waiting ?? [],
				tokenMilliseconds: state?.tokenMilliseconds ?? 0,
			},
		});
	}

	* #followMembership(): Body<void> {
		while (!this.#closed) {
			yield * this.#refreshMembers();
			yield * sleep(membershipPollMilliseconds);
		}
	}

	/** Reads the membership list. If that fails, the known members, the connections and the sides' reported states stay as they are. */
	* #refreshMembers(): Body<void> {
		let list: readonly Member[];
		try {
			list = yield * wait(this.#options.membership.list());
		} catch (error) {
			this.#options.logger.warn('The membership list cannot be read.', {error: String(error)});
			return;
		}

		this.#entries = new Map(list.filter(member => member.role === 'entry' && member.state === 'live').map(({address}) => [address, address]));
		this.#sideMembers = new Map(list.filter(member => member.role === 'side').map(member => [member.address, member]));
		for (const member of this.#sideMembers.values()) {
			if (!this.#maintainedAddresses.has(member.address) && member.state === 'live') {
				this.#maintainedAddresses.add(member.address);
				void spawn('side-link', () => this.#maintainLink(member.address));
			}
		}
	}

	/** Maintains a connection to one address for as long as it is in the membership list. */
	* #maintainLink(address: string): Body<void> {
		while (!this.#closed && this.#sideMembers.has(address)) {
			yield * this.#connect(address);
			yield * sleep(redialMilliseconds);
		}

		this.#maintainedAddresses.delete(address);
	}

	* #connect(address: string): Body<void> {
		try {
			const connection = yield * wait(dial(address, this.#options.security));
			const link = SideLink.create(connection);
			link.send({
				type: 'hello', protocol: protocolVersion, role: 'entry', instance: this.#options.instance, zone: this.#options.zone, catalogueOffset: this.#options.catalogueOffset(),
			});
			const records = this.#options.quarantine?.records() ?? [];
			if (records.length > 0) {
				link.send({type: 'quarantine', records: [...records]});
			}

			if (this.#closed) {
				link.close('the entry is shutting down');
			}

			yield * link.read(this);
			this.#options.logger.info('The connection to a side ended.', {address, reason: connection.closeReason});
		} catch (error) {
			this.#options.logger.debug('Could not connect to a side.', {address, error: String(error)});
		}
	}

	#sendHeartbeats(): void {
		const offset = this.#options.catalogueOffset();
		const links = this.#links.all;
		for (const link of links) {
			link.sendHeartbeatIfDue(offset, links.length);
		}
	}

	#broadcast(message: Message): void {
		for (const link of this.#links.all) {
			link.send(message);
		}
	}
}
