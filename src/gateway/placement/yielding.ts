import {type LoadTracker, prefillMilliseconds, propagationMilliseconds, sendProbability, type Tuning} from '../../policy/dispatch/index.js';
import {type FleetView} from '../../policy/sharing/index.js';
import {type PlacementRequest} from './decision.js';
import {searchIntervalMilliseconds} from './scan-schedule.js';

export type YieldingOptions = {
	readonly loadTracker: LoadTracker;
	readonly tuning: Tuning;
	readonly random: () => number;
	readonly view: () => FleetView;
};

/** What this instance's requests leave to those that wait at other instances, by what these have told of their queues. */
export class Yielding {
	static create(options: YieldingOptions): Yielding {
		return new Yielding(options);
	}

	readonly #options: YieldingOptions;

	private constructor(options: YieldingOptions) {
		this.#options = options;
	}

	/** Whether a more urgent request waits at another instance. */
	isOutranked({service, urgency, demand}: PlacementRequest, now: number): boolean {
		const {tuning, loadTracker} = this.#options;
		return tuning.heedsLines && !demand.isLatencyCritical && loadTracker.peerQueues.hasMoreUrgent(service, urgency, now);
	}

	/**
	 * Whether to send a request to a free slot now. If other instances are likely to want the same slot, the result is random,
	 * so that not all of them take it.
	 */
	maySend({service, urgency, demand}: PlacementRequest, prefillTokens: number, candidates: number): boolean {
		if (demand.isLatencyCritical) {
			return true;
		}

		const {loadTracker, random, view} = this.#options;
		const {links, instances} = view();
		const fleetScale = links === 0 ? 1 : (instances - 1) / links;
		const probability = sendProbability({
			contenders: loadTracker.peerQueues.countAhead(service, urgency, performance.now()) * fleetScale / candidates,
			searchIntervalMilliseconds,
			prefillMilliseconds: prefillMilliseconds(loadTracker.prefillSpeed(service), prefillTokens),
			propagationMilliseconds: propagationMilliseconds(links),
		});
		return random() < probability;
	}
}
