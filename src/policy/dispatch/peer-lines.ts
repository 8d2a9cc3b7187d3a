/**
 * Load pattern: demand above what the endpoints can do, and each of many instances has a line of its own. A balancer
 * spreads callers unevenly: where few come, drafts find the place that confirmations wait for elsewhere, and those are refused.
 *
 * Instances tell each other for how long the oldest of each urgency has waited. Whoever is less urgent than what waits at another
 * instance leaves endpoints a shorter backlog and some free slots, which the more urgent then fill. An endpoint
 * that falls idle all the same is taken by anyone: nobody stands still for a line that can't use it.
 */
import {compareUrgency, type UrgencyPair} from '../../routing/index.js';

/** The oldest of an urgency that waits at one instance. */
export type LineHead = {readonly urgency: UrgencyPair; readonly waitedMilliseconds: number};

/** What waits at one instance for one service: one head an urgency, empty once nothing waits. */
export type LineEvent = {readonly type: 'waiting'; readonly owner: string; readonly service: string; readonly heads: readonly LineHead[]};

/** Heads that one instance tells for a service, the most urgent first: the others come after these anyway. */
const mostHeads = 4;
/** A shorter wait is usual where nothing is short: two looks at the line, and a message's way. */
const leastWaitMilliseconds = 40;
/** Told again after so long while it lasts: it rides with messages of load, of which a busy instance sends 15 to 60 a second. */
const retellMilliseconds = 100;
/** Believed for so long: two tellings may be late. */
const believedMilliseconds = 300;

type Told = {readonly heads: readonly LineHead[]; readonly at: number};

/** What the other instances' lines are, as far as they told. */
export class PeerLines {
	static create(): PeerLines {
		return new PeerLines();
	}

	readonly #told = new Map<string, Map<string, Told>>();

	hear({owner, service, heads}: LineEvent, now: number): void {
		const ofService = this.#told.get(service) ?? new Map<string, Told>();
		this.#told.set(service, ofService);
		if (heads.length === 0) {
			ofService.delete(owner);
		} else {
			ofService.set(owner, {heads, at: now});
		}
	}

	forget(owner: string): void {
		for (const ofService of this.#told.values()) {
			ofService.delete(owner);
		}
	}

	/** Whether someone more urgent waits at another instance. */
	outranks(service: string, urgency: UrgencyPair, now: number): boolean {
		for (const {heads, at} of this.#told.get(service)?.values() ?? []) {
			if (now - at < believedMilliseconds && heads.some(head => compareUrgency(head.urgency, urgency) < 0)) {
				return true;
			}
		}

		return false;
	}
}

/** One that waits here. */
export type OwnWaiting = {readonly service: string; readonly urgency: UrgencyPair; readonly arrivedAt: number};

/** The oldest of each urgency that has waited long enough to be told, by service. */
export function headsOf(waiting: Iterable<OwnWaiting>, now: number): Map<string, readonly LineHead[]> {
	const services = new Map<string, LineHead[]>();
	for (const {service, urgency, arrivedAt} of waiting) {
		const waitedMilliseconds = Math.round(now - arrivedAt);
		if (waitedMilliseconds < leastWaitMilliseconds) {
			continue;
		}

		const heads = services.get(service) ?? [];
		services.set(service, heads);
		const index = heads.findIndex(head => compareUrgency(head.urgency, urgency) === 0);
		if (index === -1) {
			heads.push({urgency, waitedMilliseconds});
		} else if (heads[index]!.waitedMilliseconds < waitedMilliseconds) {
			heads[index] = {urgency, waitedMilliseconds};
		}
	}

	return new Map([...services].map(([service, heads]) => [service, heads.toSorted((left, right) => compareUrgency(left.urgency, right.urgency)).slice(0, mostHeads)]));
}

/** Decides when this instance tells of its lines: while something waits now and then, and once when nothing waits any more. */
export class LineTeller {
	static create(owner: string): LineTeller {
		return new LineTeller(owner);
	}

	readonly #owner: string;
	#told: ReadonlySet<string> = new Set();
	#at = -Infinity;

	private constructor(owner: string) {
		this.#owner = owner;
	}

	/** What there is to tell now. */
	events(waiting: readonly OwnWaiting[], now: number): LineEvent[] {
		if (waiting.length > 0 && now - this.#at < retellMilliseconds) {
			return [];
		}

		const heads = headsOf(waiting, now);
		const ended = [...this.#told].filter(service => !heads.has(service));
		this.#told = new Set(heads.keys());
		this.#at = heads.size + ended.length > 0 ? now : this.#at;
		return [
			...[...heads].map(([service, ofService]): LineEvent => ({type: 'waiting', owner: this.#owner, service, heads: ofService})),
			...ended.map((service): LineEvent => ({type: 'waiting', owner: this.#owner, service, heads: []})),
		];
	}
}
