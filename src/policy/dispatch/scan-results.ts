/**
 * Load pattern: a hundred requests wait at one instance, most of them of two or three urgencies. A placement search
 * over all endpoints for one of them costs as much processor time as forwarding an event.
 *
 * If each scan of the queue searched for each waiting request, a longer queue would be scanned more rarely; places that
 * come free would go to instances where few requests wait, which send drafts, while confirmations are refused where
 * many wait. What an endpoint may take depends on the urgency alone, so one search that found no available endpoint is
 * enough for a whole group.
 */
import {type UrgencyPair} from '../../routing/index.js';

/**
 * Key of the group of requests to which the same endpoints are open: those of one service and urgency that are not
 * latency-critical.
 */
export function groupKeyOf({service, urgency}: {readonly service: string; readonly urgency: UrgencyPair}): string {
	return `${service} ${urgency.workspace} ${urgency.route}`;
}

/**
 * Searches of a group that may find an endpoint without getting it, for each endpoint of its service: some requests
 * wait for the engine that has their prefix cached, and some places go to others by the random draw.
 */
const missesPerEndpoint = 2;

/** Results of one scan of the queue; the next scan starts without any. */
export class ScanResults {
	static create(): ScanResults {
		return new ScanResults();
	}

	/** Milliseconds until the best endpoint may take a request of the group. */
	readonly #waits = new Map<string, number>();
	readonly #misses = new Map<string, number>();

	/**
	 * Time a group has to wait, as a search for one of its requests has found; undefined while further searches are
	 * worthwhile.
	 */
	waitMilliseconds(group: string): number | undefined {
		return this.#waits.get(group);
	}

	/** Records that no endpoint takes a request of the group for this time. */
	recordFull(group: string, milliseconds: number): void {
		this.#waits.set(group, milliseconds);
	}

	/** Records that a request of the group found an endpoint and didn't get it. */
	recordMiss(group: string, {endpoints, milliseconds}: {readonly endpoints: number; readonly milliseconds: number}): void {
		const misses = (this.#misses.get(group) ?? 0) + 1;
		this.#misses.set(group, misses);
		if (misses >= endpoints * missesPerEndpoint) {
			this.#waits.set(group, milliseconds);
		}
	}
}
