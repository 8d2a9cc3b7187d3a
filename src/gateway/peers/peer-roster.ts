import {type ZoneName} from '../../model/index.js';
import {type SlackSharing} from '../../policy/dispatch/index.js';
import {countPossibleInstances, type InstanceEvent, type Member, type Neighbours, neighboursOf, noPossibleInstances, prunePossibleInstances, stepPossibleInstances} from '../../policy/sharing/index.js';

/** Another instance, as it announced itself. */
export type PeerRecord = {readonly instance: string; readonly address: string; readonly zone?: ZoneName | undefined};

/** Bounds of the exponential backoff for dialling a peer that does not respond. */
const redialPauseMilliseconds = {first: 1000, longest: 30_000};
/** After more consecutive failed dials than this, a peer counts as unreachable until one succeeds. */
const maxFailedDials = 3;

/**
 * An instance whose link is lost counts as present for this time. If it did not, an instance that is partitioned from its peers would take
 * their shares of an endpoint's rate limit while they still use them; a partition of minutes is noticed at both sides by then.
 */
const presentMilliseconds = 30_000;

type DialState = {at: number; pause: number; failures: number};

/** The instances that announced themselves, and which of them this one links to. */
export class PeerRoster {
	static create(own: Member): PeerRoster {
		return new PeerRoster(own);
	}

	readonly #own: Member;
	readonly #peers = new Map<string, PeerRecord>();
	/**
	 * Instances that were announced before this one started; this one dials them itself. Otherwise an instance that restarts
	 * within seconds would have no peers for as long again as it was down, because the instances that should dial it still wait for
	 * the end of their backoff.
	 */
	readonly #startedEarlier = new Set<string>();
	readonly #dials = new Map<string, DialState>();
	/** When the links of instances without one were lost. */
	readonly #lostAt = new Map<string, number>();
	#neighbours: Neighbours | undefined;
	#possibleInstances = noPossibleInstances;
	#hasSnapshot = false;

	private constructor(own: Member) {
		this.#own = own;
	}

	/** Names of the other instances. */
	get instanceNames(): readonly string[] {
		return [...this.#peers.keys()];
	}

	/** Names of the other instances that may serve: announced, and neither unreachable nor lost for long. */
	presentNames(now: number): readonly string[] {
		return [...this.#peers.values()].filter(peer => this.#isPresent(peer, now)).map(({instance}) => instance);
	}

	/** Number of other instances that are known and not unreachable. */
	get reachableCount(): number {
		return [...this.#peers.values()].filter(({address}) => !this.#isUnreachable(address)).length;
	}

	/** True if the neighbours of this instance are all reachable instances, so that the links form a full mesh. */
	get isFullMesh(): boolean {
		return this.neighbours.linked.size === this.reachableCount;
	}

	/**
	 * How many instances may be serving, linked or not, once a snapshot of the announcements was read; one that shuts down counts for
	 * `shutdownMilliseconds` more.
	 */
	slackSharing(shutdownMilliseconds: number, now: number): SlackSharing {
		if (!this.#hasSnapshot) {
			return {type: 'unknown'};
		}

		this.#possibleInstances = prunePossibleInstances(this.#possibleInstances, shutdownMilliseconds, now);
		return {type: 'known', instances: countPossibleInstances(this.#possibleInstances, shutdownMilliseconds, now)};
	}

	/** Whether an announced instance may be out of reach: a neighbour without a link, or one that does not respond to dials. */
	hasUnreached(linked: ReadonlySet<string>): boolean {
		return [...this.#peers.values()].some(({instance, address}) => !linked.has(instance) && (this.neighbours.linked.has(instance) || this.#isUnreachable(address)));
	}

	get neighbours(): Neighbours {
		const members = Array.from(this.#peers.values(), ({instance, zone}): Member => ({name: instance, zone}));
		this.#neighbours ??= neighboursOf(this.#own, members, name => {
			const record = this.#peers.get(name);
			return record === undefined || !this.#isUnreachable(record.address);
		});
		return this.#neighbours;
	}

	/**
	 * Adds announced instances; the newest announcement of an instance counts. Those of a snapshot were announced before this
	 * instance started.
	 */
	addPeers(records: readonly PeerRecord[], isSnapshot: boolean, now: number): void {
		this.#hasSnapshot ||= isSnapshot;
		for (const record of records.filter(({instance}) => instance !== this.#own.name)) {
			this.#recordSign({type: 'announced', instance: record.instance}, now);
			if (isSnapshot) {
				this.#startedEarlier.add(record.instance);
			}

			if (this.#peers.get(record.instance)?.address !== record.address) {
				this.#peers.set(record.instance, record);
				this.#neighbours = undefined;
			}
		}
	}

	removePeer(instance: string, now: number): void {
		this.#recordSign({type: 'withdrawn', instance}, now);
		this.#peers.delete(instance);
		this.#lostAt.delete(instance);
		this.#neighbours = undefined;
	}

	/** Addresses to dial now: missing neighbours, unreachable instances from time to time, and seeds while there is no link. */
	addressesToDial(linked: ReadonlySet<string>, seeds: readonly string[], now: number): string[] {
		const {neighbours} = this;
		const wanted = [...this.#peers.values()].filter(({instance, address}) => !linked.has(instance) && (
			neighbours.dials.includes(instance) || (neighbours.linked.has(instance) && this.#startedEarlier.has(instance)) || (instance > this.#own.name && this.#isUnreachable(address))
		));
		const addresses = new Set([...wanted.map(({address}) => address), ...(linked.size === 0 ? seeds : [])]);
		return [...addresses].filter(address => {
			const dialState = this.#dials.get(address);
			return dialState === undefined || now - dialState.at >= dialState.pause;
		});
	}

	/** Records a dial and returns the pause before the next one, in milliseconds. */
	recordDial(address: string, now: number): number {
		const previous = this.#dials.get(address);
		const pause = Math.min(redialPauseMilliseconds.longest, previous === undefined ? redialPauseMilliseconds.first : previous.pause * 2);
		this.#setDialState(address, {at: now, pause, failures: (previous?.failures ?? 0) + 1}, now);
		return pause;
	}

	/** Records that there is a link to an instance. */
	recordLinked(instance: string, now: number): void {
		this.#recordSign({type: 'linked', instance}, now);
		this.#lostAt.delete(instance);
	}

	/** Records the end of a link. A link to an instance that is no longer a neighbour ends without a loss. */
	recordLost(instance: string, now: number): void {
		const isNeighbour = this.neighbours.linked.has(instance);
		this.#recordSign({type: isNeighbour || !this.#peers.has(instance) ? 'lost' : 'unlinked', instance}, now);
		if (isNeighbour) {
			this.#lostAt.set(instance, now);
		}
	}

	/** Resets the backoff of an address that a connection was established with. */
	recordConnected(address: string): void {
		if (this.#dials.delete(address)) {
			this.#neighbours = undefined;
		}
	}

	#setDialState(address: string, dialState: DialState, now: number): void {
		this.#dials.set(address, dialState);
		if (dialState.failures <= maxFailedDials) {
			return;
		}

		this.#neighbours = undefined;
		for (const {instance} of [...this.#peers.values()].filter(peer => peer.address === address)) {
			this.#recordSign({type: 'lost', instance}, now);
		}
	}

	/** Records a sign of another instance; this one is counted without, and may read what it has written itself. */
	#recordSign(event: InstanceEvent, now: number): void {
		if (event.instance !== this.#own.name) {
			this.#possibleInstances = stepPossibleInstances(this.#possibleInstances, event, now);
		}
	}

	#isPresent({instance, address}: PeerRecord, now: number): boolean {
		const lostAt = this.#lostAt.get(instance);
		if (lostAt !== undefined && now - lostAt < presentMilliseconds) {
			return true;
		}

		return !this.#isUnreachable(address) && (lostAt === undefined || !this.neighbours.linked.has(instance));
	}

	#isUnreachable(address: string): boolean {
		return (this.#dials.get(address)?.failures ?? 0) > maxFailedDials;
	}
}
