/**
 * Completed responses of requests with an idempotency key. Load pattern: the response to a request is lost in transit, and
 * the caller sends the key again. Without the cached response the verdict can only be "may have run".
 */

/** How long a response is cached: callers that lost one retry within seconds. */
export const responseLifetimeMilliseconds = 2 * 60_000;
/** Limit on the bytes of cached responses: an eighth of the memory that a process may use in a full-size fleet. */
export const maxResponseCacheBytes = 32 * 1024 * 1024;

/** A complete response, as it was sent to the first caller. */
export type CachedResponse = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: Uint8Array;
};

type CacheEntry = {readonly response: CachedResponse; readonly storedAt: number};

/** Responses by claim, the oldest first. Times are milliseconds. */
export type ResponseCache = {readonly entries: ReadonlyMap<string, CacheEntry>; readonly bytes: number};

export function createResponseCache(): ResponseCache {
	return {entries: new Map(), bytes: 0};
}

/** Caches a response, and evicts expired ones and the oldest beyond the size limit. */
export function cacheResponse(state: ResponseCache, claim: string, response: CachedResponse, now: number): ResponseCache {
	const entries = new Map(state.entries);
	let bytes = state.bytes + response.body.byteLength - (entries.get(claim)?.response.body.byteLength ?? 0);
	entries.delete(claim);
	entries.set(claim, {response, storedAt: now});
	for (const [oldest, {response: {body}, storedAt}] of entries) {
		if (bytes <= maxResponseCacheBytes && now - storedAt < responseLifetimeMilliseconds) {
			break;
		}

		entries.delete(oldest);
		bytes -= body.byteLength;
	}

	return {entries, bytes};
}

/** The cached response of a claim, if it has not expired. */
export function findResponse(state: ResponseCache, claim: string, now: number): CachedResponse | undefined {
	const entry = state.entries.get(claim);
	return entry && now - entry.storedAt < responseLifetimeMilliseconds ? entry.response : undefined;
}
