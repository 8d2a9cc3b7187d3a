import {type EndpointId} from '../../model/index.js';

/**
 * Remembers which endpoint got which prompt prefix. Many requests begin with the same long prompt, and an
 * engine that has it in its cache skips most of the work before the first token. Without this module such
 * requests spread evenly, and each engine computes and caches the same prefix. Engines publish cache events
 * late and with gaps, so an entry relies on what it sent itself.
 */

/** Prefixes remembered per endpoint: an engine's cache holds fewer long ones than this. */
export const maximumPrefixes = 64;
/** A prefix that was not used for this long has probably been evicted from the engine's cache. */
export const prefixLifetimeMilliseconds = 60_000;

/** When this entry last sent a prefix to each endpoint, least recently used first, which is the order of eviction. */
export type PrefixMemory = ReadonlyMap<EndpointId, ReadonlyMap<string, number>>;

export function rememberPrefix(memory: PrefixMemory, endpoint: EndpointId, prefix: string, now: number): PrefixMemory {
	if (prefix === '') {
		return memory;
	}

	const prefixes = new Map(memory.get(endpoint));
	prefixes.delete(prefix);
	prefixes.set(prefix, now);
	for (const oldest of prefixes.keys()) {
		if (prefixes.size <= maximumPrefixes) {
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

export function hasPrefix(memory: PrefixMemory, endpoint: EndpointId, prefix: string, now: number): boolean {
	const sentAt = memory.get(endpoint)?.get(prefix);
	return sentAt !== undefined && now - sentAt < prefixLifetimeMilliseconds;
}
