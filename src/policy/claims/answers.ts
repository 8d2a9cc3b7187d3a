/**
 * Finished answers of keyed requests. Load pattern: the answer of a ticket is lost on its way, and
 * the caller sends the key again. Without the kept answer it can only be told "may have run".
 */

/** How long an answer is kept: callers that lost one ask again within seconds. */
export const answerLifetimeMilliseconds = 2 * 60_000;
/** Bytes of answers kept: an eighth of the memory that a process may use at size. */
export const largestAnswersBytes = 32 * 1024 * 1024;

/** A whole answer, as it went to the first caller. */
export type CachedResponse = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: Uint8Array;
};

type Stored = {readonly answer: CachedResponse; readonly at: number};

/** Answers by claim, the oldest first. */
export type ResponseCache = {readonly stored: ReadonlyMap<string, Stored>; readonly bytes: number};

export function createResponseCache(): ResponseCache {
	return {stored: new Map(), bytes: 0};
}

/** Keeps an answer, and lets go of the oldest and of those past their time. */
export function cacheResponse(state: ResponseCache, claim: string, answer: CachedResponse, now: number): ResponseCache {
	const stored = new Map(state.stored);
	let bytes = state.bytes + answer.body.byteLength - (stored.get(claim)?.answer.body.byteLength ?? 0);
	stored.delete(claim);
	stored.set(claim, {answer, at: now});
	for (const [oldest, {answer: {body}, at}] of stored) {
		if (bytes <= largestAnswersBytes && now - at < answerLifetimeMilliseconds) {
			break;
		}

		stored.delete(oldest);
		bytes -= body.byteLength;
	}

	return {stored, bytes};
}

export function findResponse(state: ResponseCache, claim: string, now: number): CachedResponse | undefined {
	const stored = state.stored.get(claim);
	return stored && now - stored.at < answerLifetimeMilliseconds ? stored.answer : undefined;
}
