/**
 * Load pattern: demand above the capacity of the endpoints, and each of many instances has a queue of its own. A load
 * balancer spreads callers unevenly: where few requests arrive, drafts (requests of low urgency) take the capacity for
 * which confirmations (requests of high urgency) wait at other instances, and those confirmations are refused.
 *
 * Instances report to each other which urgencies wait. A request that is less urgent than one that waits at another
 * instance yields: it leaves endpoints and slots that the more urgent requests then fill. An endpoint that stays idle
 * nevertheless may take any request, so that no request is delayed for the sake of requests that can't use that
 * endpoint.
 */
import {compareUrgency, type UrgencyPair} from '../../routing/index.js';
import {isAtRisk} from './waiting-queue.js';

/** Number of waiting requests of one urgency. */
export type UrgencyCount = UrgencyPair & {readonly count: number};

/** Urgencies that wait at one instance for one service; empty once nothing waits. */
export type QueueReport = {readonly type: 'waiting'; readonly owner: string; readonly service: string; readonly urgencies: readonly UrgencyCount[]};

/**
 * Number of urgencies that one instance reports for a service. Those at risk come first, then the most urgent; the
 * remaining ones are tried after these anyway.
 */
const maxReportedUrgencies = 4;
/**
 * Shorter waits are not reported, since they occur without any shortage: two placement searches and the transit of a
 * message.
 */
const minReportedWaitMilliseconds = 40;
/**
 * Time between two reports while requests wait. They are sent in the messages of load, of which a busy instance sends
 * 15 to 60 a second.
 */
const reportIntervalMilliseconds = 100;
/** Time for which a report counts; two successive reports may be late without effect. */
const reportLifetimeMilliseconds = 300;

type ReceivedReport = {readonly urgencies: readonly UrgencyCount[]; readonly receivedAt: number};

/** Queues of the other instances, as last reported. */
export class PeerQueues {
	static create(): PeerQueues {
		return new PeerQueues();
	}

	readonly #reports = new Map<string, Map<string, ReceivedReport>>();

	update({owner, service, urgencies}: QueueReport, now: number): void {
		const byInstance = this.#reports.get(service) ?? new Map<string, ReceivedReport>();
		this.#reports.set(service, byInstance);
		if (urgencies.length === 0) {
			byInstance.delete(owner);
		} else {
			byInstance.set(owner, {urgencies, receivedAt: now});
		}
	}

	forget(owner: string): void {
		for (const byInstance of this.#reports.values()) {
			byInstance.delete(owner);
		}
	}

	/**
	 * Whether a more urgent request waits at another instance: one that is more urgent by workspace and by route, or
	 * one that is at risk and of a more urgent route. Where workspace and route disagree, a draft of a workspace with
	 * precedence does not make a confirmation of another workspace yield: the order of backlogs is sufficient there,
	 * and yielding would leave a route without any capacity.
	 */
	hasMoreUrgent(service: string, urgency: UrgencyPair, now: number): boolean {
		for (const {urgencies, receivedAt} of this.#reports.get(service)?.values() ?? []) {
			if (now - receivedAt < reportLifetimeMilliseconds && urgencies.some(other => other.route <= urgency.route && isMoreUrgent(other, urgency))) {
				return true;
			}
		}

		return false;
	}

	/** Number of requests at other instances that are tried before one of this urgency, or are of equal urgency. */
	countAhead(service: string, urgency: UrgencyPair, now: number): number {
		let ahead = 0;
		for (const {urgencies, receivedAt} of this.#reports.get(service)?.values() ?? []) {
			for (const {count, ...other} of now - receivedAt < reportLifetimeMilliseconds ? urgencies : []) {
				ahead += compareUrgency(other, urgency) <= 0 ? count : 0;
			}
		}

		return ahead;
	}
}

/** Whether `other` precedes `urgency`; an urgency without a workspace is compared by its route alone. */
function isMoreUrgent(other: UrgencyPair, urgency: UrgencyPair): boolean {
	return other.workspace === undefined ? other.route < urgency.route : compareUrgency(other, urgency) < 0;
}

/** A request that waits at this instance. */
export type LocalRequest = {readonly service: string; readonly urgency: UrgencyPair; readonly arrivedAt: number; readonly lastStartAt: number};

/** Counts the urgencies that have waited long enough to be reported, by service, in the order of reports. */
function countUrgencies(waiting: Iterable<LocalRequest>, now: number): Map<string, readonly UrgencyCount[]> {
	const services = new Map<string, UrgencyCount[]>();
	for (const request of waiting) {
		if (now - request.arrivedAt >= minReportedWaitMilliseconds) {
			const reported = isAtRisk(request, now) ? {...request.urgency, workspace: undefined} : request.urgency;
			services.set(request.service, addToCount(services.get(request.service) ?? [], reported));
		}
	}

	return new Map([...services].map(([service, urgencies]) => [service, urgencies.toSorted(byReportOrder).slice(0, maxReportedUrgencies)]));
}

/** Puts requests at risk, which are reported without a workspace, before all others. */
function byReportOrder(left: UrgencyPair, right: UrgencyPair): number {
	return Number(left.workspace !== undefined) - Number(right.workspace !== undefined) || compareUrgency(left, right);
}

function addToCount(urgencies: UrgencyCount[], urgency: UrgencyPair): UrgencyCount[] {
	const index = urgencies.findIndex(other => other.route === urgency.route && other.workspace === urgency.workspace);
	if (index === -1) {
		return [...urgencies, {...urgency, count: 1}];
	}

	urgencies[index] = {...urgencies[index]!, count: urgencies[index]!.count + 1};
	return urgencies;
}

/**
 * Decides when this instance reports its queues: at intervals while requests wait, and once when none waits any more.
 */
export class QueueReporter {
	static create(owner: string): QueueReporter {
		return new QueueReporter(owner);
	}

	readonly #owner: string;
	#reportedServices: ReadonlySet<string> = new Set();
	#reportedAt = -Infinity;

	private constructor(owner: string) {
		this.#owner = owner;
	}

	/** Whether a report may be due; checked at each scan of the queue, so that requests are counted only if it is. */
	isDue(isWaiting: boolean, now: number): boolean {
		return !isWaiting || now - this.#reportedAt >= reportIntervalMilliseconds;
	}

	/** Reports to send now; empty if none is due. */
	events(waiting: readonly LocalRequest[], now: number): QueueReport[] {
		if (!this.isDue(waiting.length > 0, now)) {
			return [];
		}

		const urgencies = countUrgencies(waiting, now);
		const ended = [...this.#reportedServices].filter(service => !urgencies.has(service));
		this.#reportedServices = new Set(urgencies.keys());
		this.#reportedAt = urgencies.size + ended.length > 0 ? now : this.#reportedAt;
		return [
			...[...urgencies].map(([service, ofService]): QueueReport => ({type: 'waiting', owner: this.#owner, service, urgencies: ofService})),
			...ended.map((service): QueueReport => ({type: 'waiting', owner: this.#owner, service, urgencies: []})),
		];
	}
}
