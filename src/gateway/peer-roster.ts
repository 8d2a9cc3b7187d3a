import {type ZoneName} from '../model/index.js';
import {type Member, type Neighbours, neighboursOf} from '../policy/sharing/index.js';

/** Another instance, as it announced itself. */
export type PeerRecord = {readonly instance: string; readonly address: string; readonly zone?: ZoneName | undefined};

/** A peer that does not answer is dialled ever more rarely, between these. */
const redialMilliseconds = {first: 1000, longest: 30_000};
/** After so many vain tries in a row it is taken for gone, until one succeeds. */
const vainTries = 3;

type Tries = {at: number; pause: number; vain: number};

/** The instances that announced themselves, and which of them this one is to be linked with. */
export class PeerRoster {
	static create(own: Member): PeerRoster {
		return new PeerRoster(own);
	}

	readonly #own: Member;
	readonly #known = new Map<string, PeerRecord>();
	/**
	 * Failure: an instance starts again after seconds, and who is to dial it has given up for now. Symptom: it has no peers for as long as it
	 * was away. It dials those that were there before it by itself.
	 */
	readonly #older = new Set<string>();
	readonly #tries = new Map<string, Tries>();
	#neighbours: Neighbours | undefined;

	private constructor(own: Member) {
		this.#own = own;
	}

	/** The other instances. */
	get instanceNames(): readonly string[] {
		return [...this.#known.keys()];
	}

	/** How many other instances there are, as far as is known. */
	get reachableCount(): number {
		return [...this.#known.values()].filter(({address}) => !this.#isGone(address)).length;
	}

	/** True where each instance is linked with all others. */
	get isMesh(): boolean {
		return this.neighbours.linked.size === this.reachableCount;
	}

	get neighbours(): Neighbours {
		const members = Array.from(this.#known.values(), ({instance, zone}): Member => ({name: instance, zone}));
		this.#neighbours ??= neighboursOf(this.#own, members, name => {
			const record = this.#known.get(name);
			return record === undefined || !this.#isGone(record.address);
		});
		return this.#neighbours;
	}

	/** Takes announcements; the newest of an instance counts. Those in a whole reading stood before this instance read it. */
	addPeers(records: readonly PeerRecord[], isWhole: boolean): void {
		for (const record of records.filter(({instance}) => instance !== this.#own.name)) {
			if (isWhole) {
				this.#older.add(record.instance);
			}

			if (this.#known.get(record.instance)?.address !== record.address) {
				this.#known.set(record.instance, record);
				this.#neighbours = undefined;
			}
		}
	}

	removePeer(instance: string): void {
		this.#known.delete(instance);
		this.#neighbours = undefined;
	}

	/** Addresses to dial now: missing neighbours, now and then who seemed gone, and seeds while nobody is linked. */
	addressesToDial(linked: ReadonlySet<string>, seeds: readonly string[], now: number): string[] {
		const {neighbours} = this;
		const wanted = [...this.#known.values()].filter(({instance, address}) => !linked.has(instance) && (
			neighbours.dials.includes(instance) || (neighbours.linked.has(instance) && this.#older.has(instance)) || (instance > this.#own.name && this.#isGone(address))
		));
		const addresses = new Set([...wanted.map(({address}) => address), ...(linked.size === 0 ? seeds : [])]);
		return [...addresses].filter(address => {
			const tried = this.#tries.get(address);
			return tried === undefined || now - tried.at >= tried.pause;
		});
	}

	/** An address is dialled; returns the pause until it is dialled again, in milliseconds. */
	recordDial(address: string, now: number): number {
		const before = this.#tries.get(address);
		const pause = Math.min(redialMilliseconds.longest, before === undefined ? redialMilliseconds.first : before.pause * 2);
		this.#note(address, {at: now, pause, vain: (before?.vain ?? 0) + 1});
		return pause;
	}

	/** A connection with an address stood. */
	recordConnected(address: string): void {
		if (this.#tries.delete(address)) {
			this.#neighbours = undefined;
		}
	}

	#note(address: string, tries: Tries): void {
		this.#tries.set(address, tries);
		if (tries.vain > vainTries) {
			this.#neighbours = undefined;
		}
	}

	#isGone(address: string): boolean {
		return (this.#tries.get(address)?.vain ?? 0) > vainTries;
	}
}
