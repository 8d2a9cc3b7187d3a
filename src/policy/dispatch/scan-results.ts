/**
 * Load pattern: a hundred requests wait at one instance, most of them of two or three urgencies. A look at all endpoints for one
 * of them costs as much processor time as passing on an event.
 *
 * Failure: each try of the line looks for each that waits. Symptom: the longer the line, the more rarely it is tried; places come
 * free and go to instances where few wait, which send drafts, while confirmations are refused where many do. What
 * an endpoint may take depends on the urgency alone, so one look that found none free is enough for all of a group.
 */
import {type UrgencyPair} from '../../routing/index.js';

/** Requests that the same endpoints are open to: of one service and urgency, and without tight pauses. */
export function groupKeyOf({service, urgency}: {readonly service: string; readonly urgency: UrgencyPair}): string {
	return `${service} ${urgency.workspace} ${urgency.route}`;
}

/**
 * Looks of a group that found something, but nothing that could be taken, for each of its service's endpoints: some wait for the
 * engine that holds their beginning, and chance gives some places to others.
 */
const missesEachEndpoint = 2;

/** What one try of the line has found; the next begins anew. */
export class ScanResults {
	static create(): ScanResults {
		return new ScanResults();
	}

	/** Until the best endpoint may take one of the group, in milliseconds. */
	readonly #closed = new Map<string, number>();
	readonly #misses = new Map<string, number>();

	/** How long a group has to wait, as one of it has found; undefined while looks are worth their time. */
	waitMilliseconds(group: string): number | undefined {
		return this.#closed.get(group);
	}

	/** No endpoint takes any of the group for so long. */
	recordFull(group: string, milliseconds: number): void {
		this.#closed.set(group, milliseconds);
	}

	/** One of the group found an endpoint, and didn't get it. */
	recordMiss(group: string, {endpoints, milliseconds}: {readonly endpoints: number; readonly milliseconds: number}): void {
		const misses = (this.#misses.get(group) ?? 0) + 1;
		this.#misses.set(group, misses);
		if (misses >= endpoints * missesEachEndpoint) {
			this.#closed.set(group, milliseconds);
		}
	}
}
