/**
 * Load pattern: demand above what the endpoints can do, and each of many instances has a line of its own. A balancer
 * spreads callers unevenly: where few come, drafts find the place that confirmations wait for elsewhere, and those are refused.
 *
 * Instances tell each other which urgencies wait. Whoever is less urgent than what waits at another instance holds back, and
 * leaves endpoints and slots that the more urgent then fill. An endpoint that stays idle all the same is taken by anyone: nobody
 * stands still for a line that can't use it.
 */
import {compareUrgency, type UrgencyPair} from '../../routing/index.js';
import {isAtRisk} from './waiting-queue.js';

/** How many of one urgency wait. */
export type UrgencyCount = UrgencyPair & {readonly count: number};

/** Which urgencies wait at one instance for one service; none once nothing waits. */
export type QueueReport = {readonly type: 'waiting'; readonly owner: string; readonly service: string; readonly urgencies: readonly UrgencyCount[]};

/** Urgencies that one instance tells for a service, those at risk and then the most urgent first: the others come after these anyway. */
const mostUrgencies = 4;
/** A shorter wait is usual where nothing is short: two looks at the line, and a message's way. */
const leastWaitMilliseconds = 40;
/** Told again after so long while it lasts: it rides with messages of load, of which a busy instance sends 15 to 60 a second. */
const retellMilliseconds = 100;
/** Believed for so long: two tellings may be late. */
const believedMilliseconds = 300;

type Told = {readonly urgencies: readonly UrgencyCount[]; readonly at: number};

/** What the other instances' lines are, as far as they told. */
export class PeerQueues {
	static create(): PeerQueues {
		return new PeerQueues();
	}

	readonly #told = new Map<string, Map<string, Told>>();

	update({owner, service, urgencies}: QueueReport, now: number): void {
		const ofService = this.#told.get(service) ?? new Map<string, Told>();
		this.#told.set(service, ofService);
		if (urgencies.length === 0) {
			ofService.delete(owner);
		} else {
			ofService.set(owner, {urgencies, at: now});
		}
	}

	forget(owner: string): void {
		for (const ofService of this.#told.values()) {
			ofService.delete(owner);
		}
	}

	/**
	 * Whether someone waits at another instance who is more urgent by workspace and by route, or who is at risk and of a more urgent kind. Else, where
	 * the two differ, a draft of a workspace that goes first does not hold up a confirmation of one that doesn't: the order of backlogs is
	 * enough there, and holding back would end a kind of request.
	 */
	hasMoreUrgent(service: string, urgency: UrgencyPair, now: number): boolean {
		for (const {urgencies, at} of this.#told.get(service)?.values() ?? []) {
			if (now - at < believedMilliseconds && urgencies.some(other => other.route <= urgency.route && goesBefore(other, urgency))) {
				return true;
			}
		}

		return false;
	}

	/** How many wait at the other instances who would be tried before one of this urgency, or beside it. */
	ahead(service: string, urgency: UrgencyPair, now: number): number {
		let ahead = 0;
		for (const {urgencies, at} of this.#told.get(service)?.values() ?? []) {
			for (const {count, ...other} of now - at < believedMilliseconds ? urgencies : []) {
				ahead += compareUrgency(other, urgency) <= 0 ? count : 0;
			}
		}

		return ahead;
	}
}

/** A pair without a workspace counts by its kind alone. */
function goesBefore(other: UrgencyPair, urgency: UrgencyPair): boolean {
	return other.workspace === undefined ? other.route < urgency.route : compareUrgency(other, urgency) < 0;
}

/** One that waits here. */
export type OwnWaiting = {readonly service: string; readonly urgency: UrgencyPair; readonly arrivedAt: number; readonly lastStartAt: number};

/** The urgencies that have waited long enough to be told, by service, the most urgent first. */
function waitingUrgencies(waiting: Iterable<OwnWaiting>, now: number): Map<string, readonly UrgencyCount[]> {
	const services = new Map<string, UrgencyCount[]>();
	for (const one of waiting) {
		if (now - one.arrivedAt >= leastWaitMilliseconds) {
			const told = isAtRisk(one, now) ? {...one.urgency, workspace: undefined} : one.urgency;
			services.set(one.service, countOne(services.get(one.service) ?? [], told));
		}
	}

	return new Map([...services].map(([service, urgencies]) => [service, urgencies.toSorted(byKind).slice(0, mostUrgencies)]));
}

/** Those at risk are told first of all. */
function byKind(left: UrgencyPair, right: UrgencyPair): number {
	return Number(left.workspace !== undefined) - Number(right.workspace !== undefined) || compareUrgency(left, right);
}

function countOne(urgencies: UrgencyCount[], urgency: UrgencyPair): UrgencyCount[] {
	const index = urgencies.findIndex(other => other.route === urgency.route && other.workspace === urgency.workspace);
	if (index === -1) {
		return [...urgencies, {...urgency, count: 1}];
	}

	urgencies[index] = {...urgencies[index]!, count: urgencies[index]!.count + 1};
	return urgencies;
}

/** Decides when this instance tells of its lines: while something waits now and then, and once when nothing waits any more. */
export class QueueReporter {
	static create(owner: string): QueueReporter {
		return new QueueReporter(owner);
	}

	readonly #owner: string;
	#told: ReadonlySet<string> = new Set();
	#at = -Infinity;

	private constructor(owner: string) {
		this.#owner = owner;
	}

	/** Whether there may be anything to tell; asked at each look at the line, so that nobody is counted in vain. */
	isDue(isWaiting: boolean, now: number): boolean {
		return !isWaiting || now - this.#at >= retellMilliseconds;
	}

	/** What there is to tell now. */
	events(waiting: readonly OwnWaiting[], now: number): QueueReport[] {
		if (!this.isDue(waiting.length > 0, now)) {
			return [];
		}

		const urgencies = waitingUrgencies(waiting, now);
		const ended = [...this.#told].filter(service => !urgencies.has(service));
		this.#told = new Set(urgencies.keys());
		this.#at = urgencies.size + ended.length > 0 ? now : this.#at;
		return [
			...[...urgencies].map(([service, ofService]): QueueReport => ({type: 'waiting', owner: this.#owner, service, urgencies: ofService})),
			...ended.map((service): QueueReport => ({type: 'waiting', owner: this.#owner, service, urgencies: []})),
		];
	}
}
