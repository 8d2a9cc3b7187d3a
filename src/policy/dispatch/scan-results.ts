/**
 * Load pattern: a hundred requests wait at one instance, most of them of two or three urgencies. A placement search
 * over all endpoints for one of them costs as much processor time as forwarding an event.
 *
 * If each scan of the queue searched for each waiting request, a longer queue would be scanned more rarely. Capacity
 * that becomes free would go to instances with few waiting requests, which send drafts (requests of low urgency), while
 * confirmations (requests of high urgency) are refused at instances with many. What an endpoint may take depends on the
 * urgency alone, and where memory is short on the prompt, so one search that found no available endpoint is enough for
 * a whole group.
 */
import {type UrgencyPair} from '../../routing/index.js';
import {type MemoryShortage} from './demand.js';
import {type PromptPart, tokensOf} from './prefix-cache.js';

/**
 * Key of the group of requests that the same endpoints may take: those of one service and urgency that are not
 * latency-critical.
 */
export function groupKeyOf({service, urgency}: {readonly service: string; readonly urgency: UrgencyPair}): string {
	return `${service} ${urgency.workspace} ${urgency.route}`;
}

/**
 * Searches of a group, for each endpoint of its service, that may find an available endpoint without placing the
 * request before the group is taken to wait: some requests wait for the engine that has their prefix cached, and some
 * are not sent because a random draw leaves the endpoint to other instances.
 */
const maxUnplacedSearchesPerEndpoint = 2;

/** Results of one scan of the queue; the next scan starts without any. */
export class ScanResults {
	static create(): ScanResults {
		return new ScanResults();
	}

	/** Milliseconds until the best endpoint may take a request of the group. */
	readonly #waits = new Map<string, number>();
	readonly #unplacedSearches = new Map<string, number>();
	/** Of the requests for which no engine had room in its memory: the fewest tokens, and what that request lacked. */
	readonly #shortages = new Map<string, {readonly tokens: number; readonly memory: MemoryShortage}>();

	/**
	 * Time a group has to wait, as a search for one of its requests has found; undefined while further searches are
	 * worthwhile.
	 */
	waitMilliseconds(group: string): number | undefined {
		return this.#waits.get(group);
	}

	/**
	 * The room that a request of the group lacks, as a search for another one has found. It depends on the size and the
	 * prefix of a prompt: a shorter one, or one with a prefix that an engine holds, may have room where the other has
	 * none.
	 */
	shortage(group: string, parts: readonly PromptPart[]): MemoryShortage | undefined {
		const shortage = this.#shortages.size === 0 ? undefined : this.#shortages.get(roomKeyOf(group, parts));
		return shortage !== undefined && tokensOf(parts) >= shortage.tokens ? shortage.memory : undefined;
	}

	/** Records that no engine has room in its memory for a request of the group with this prompt. */
	recordShortage(group: string, parts: readonly PromptPart[], memory: MemoryShortage): void {
		const key = roomKeyOf(group, parts);
		const tokens = tokensOf(parts);
		if (tokens < (this.#shortages.get(key)?.tokens ?? Infinity)) {
			this.#shortages.set(key, {tokens, memory});
		}
	}

	/**
	 * Records why a search found no endpoint. Full endpoints are not recorded for a request with excluded ones: it has fewer candidates than
	 * the others of its group.
	 */
	recordWait(group: string, {isDeferral, milliseconds, endpoints, hasExcluded}: {readonly isDeferral: boolean; readonly milliseconds: number; readonly endpoints: number; readonly hasExcluded: boolean}): void {
		if (isDeferral) {
			this.recordMiss(group, {endpoints, milliseconds});
		} else if (!hasExcluded) {
			this.recordFull(group, milliseconds);
		}
	}

	/** Records that no endpoint takes a request of the group for this time. */
	recordFull(group: string, milliseconds: number): void {
		this.#waits.set(group, milliseconds);
	}

	/**
	 * Records that a search for a request of the group found an available endpoint, but the request was not placed
	 * there.
	 */
	recordMiss(group: string, {endpoints, milliseconds}: {readonly endpoints: number; readonly milliseconds: number}): void {
		const unplacedSearches = (this.#unplacedSearches.get(group) ?? 0) + 1;
		this.#unplacedSearches.set(group, unplacedSearches);
		if (unplacedSearches >= endpoints * maxUnplacedSearchesPerEndpoint) {
			this.#waits.set(group, milliseconds);
		}
	}
}

/** Key of the requests of a group that share the beginning of their prompts. */
function roomKeyOf(group: string, parts: readonly PromptPart[]): string {
	return parts.length > 1 ? `${group} ${parts[0]!.id}` : group;
}
