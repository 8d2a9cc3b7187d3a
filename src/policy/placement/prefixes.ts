import {type EndpointId} from '../../model/index.js';

/**
 * Load pattern: many requests begin with the same long prompt, and an engine that has it in its
 * cache skips most of the work until the first token. Without this module they spread evenly and
 * each engine computes, and caches, the same prefix. Engines publish cache events late and with
 * gaps, so the entry goes by what it sent itself.
 */

/** Prefixes remembered per endpoint: an engine's cache holds fewer long ones than this. */
export const rememberedPrefixes = 64;
/** A prefix unused for so long has likely been dropped by the engine. */
export const prefixLifetimeMilliseconds = 60_000;

/** When this entry last sent a prefix to each endpoint; the oldest goes first. */
export type PrefixMemory = ReadonlyMap<EndpointId, ReadonlyMap<string, number>>;

export function rememberPrefix(memory: PrefixMemory, endpoint: EndpointId, prefix: string, now: number): PrefixMemory {
	if (prefix === '') {
		return memory;
	}

	const prefixes = new Map(memory.get(endpoint));
	prefixes.delete(prefix);
	prefixes.set(prefix, now);
	for (const oldest of prefixes.keys()) {
		if (prefixes.size <= rememberedPrefixes) {
			break;
		}

		prefixes.delete(oldest);
	}

	return new Map(memory).set(endpoint, prefixes);
}

export function forgetPrefixes(memory: PrefixMemory, endpoint: EndpointId): PrefixMemory {
	const rest = new Map(memory);
	rest.delete(endpoint);
	return rest;
}

export function holdsPrefix(memory: PrefixMemory, endpoint: EndpointId, prefix: string, now: number): boolean {
	const sentAt = memory.get(endpoint)?.get(prefix);
	return sentAt !== undefined && now - sentAt < prefixLifetimeMilliseconds;
}
