/**
 * Load pattern: one beginning is suddenly in many requests. The one engine that is preferred for it prefills their own
 * parts one after the other; requests either queue there or are placed wherever there is room, and have the beginning
 * prefilled on most engines, each time at the cost of what was kept there.
 *
 * Demand for a beginning is the time that its requests take of an engine each millisecond: their rate times the prefill
 * of their own parts. It determines the number of copies; as it falls, the last copies are no longer preferred and
 * yield to what is used. All instances count the same reports, so that they compute almost the same number.
 */
import {type Demand} from './demand.js';
import {type Run} from './load-event.js';
import {type PromptPart} from './prompt-part.js';

/** Demand is averaged over this time: a few times what it takes to prefill the beginnings at one more engine each. */
const windowMilliseconds = 4000;
/** Share of an engine's time that the requests of one beginning may take before another engine keeps it as well. */
const fullShare = 0.4;
/** Copies beyond this number displace more than they save. */
const maxCopies = 8;
/** Beginnings whose demand is known at a time; the one asked for least recently is dropped. */
const maxPrefixes = 2048;

type Demanded = {tokens: number; at: number};

/** The part that identifies the beginning of a prompt: the last one that it shares with others. */
export function lastSharedPart(parts: readonly PromptPart[]): PromptPart | undefined {
	return parts.at(-2);
}

/** Demand for each beginning, in tokens of the requests' own parts. */
export class PrefixDemand {
	static create(): PrefixDemand {
		return new PrefixDemand();
	}

	/** Services whose engines have been short of memory. */
	readonly #shortServices = new Set<string>();
	readonly #demanded = new Map<number, Demanded>();

	/** Records that a request was placed, and whether running requests hold much of the memory of its engine. */
	record({parts, service}: Run, {now, isMemoryShort}: {now: number; isMemoryShort: boolean}): void {
		if (isMemoryShort) {
			this.#shortServices.add(service);
		}

		if (!this.#shortServices.has(service)) {
			return;
		}

		const id = lastSharedPart(parts)?.id;
		if (id === undefined) {
			return;
		}

		const tokens = decayedTokens(this.#demanded.get(id), now) + (parts.at(-1)?.tokens ?? 0);
		this.#demanded.delete(id);
		this.#demanded.set(id, {tokens, at: now});
		if (this.#demanded.size > maxPrefixes) {
			this.#demanded.delete(this.#demanded.keys().next().value!);
		}
	}

	/**
	 * Number of engines that should keep the beginning of a prompt, at this speed of an engine and this share of visible
	 * requests; one while the engines of its service are not short of memory.
	 */
	copies({parts, service}: Pick<Demand, 'parts' | 'service'>, {now, tokensPerMillisecond, visibleShare}: {now: number; tokensPerMillisecond: number; visibleShare: number}): number {
		if (!this.#shortServices.has(service)) {
			return 1;
		}

		const demanded = this.#demanded.get(lastSharedPart(parts)?.id ?? -1);
		const timeShare = decayedTokens(demanded, now) / windowMilliseconds / tokensPerMillisecond / visibleShare;
		return Math.min(maxCopies, Math.max(1, Math.ceil(timeShare / fullShare)));
	}
}

function decayedTokens(demanded: Demanded | undefined, now: number): number {
	return demanded === undefined ? 0 : demanded.tokens * Math.exp(-(now - demanded.at) / windowMilliseconds);
}
