/**
 * Requests that lately ran to their end. Load pattern: many callers send one request at the same time, and several endpoints fail together. It was at
 * each of them, and would be refused for ten minutes although it runs wherever it is sent; once it is refused, no run could speak for it.
 */

/** When each request ran to its end the last times; the one that has not for longest comes first. */
export type Completions = Map<string, number[]>;

/** A run that ended this long before a crash still speaks for the request: it would have crashed an endpoint just then. */
const validMilliseconds = 2000;
/**
 * A part that ran this long ago was no cause then. A rack that fails with long answers, while none has ended for some seconds, would have the parts
 * of their prompts refused.
 */
const knownMilliseconds = 60_000;
/** Requests that are remembered: those of a few seconds at one instance. */
const maxCompletions = 2000;
/** Runs of one request that are remembered: as many as outweigh a few crashes. */
const maxTimes = 16;

/** Adds a completed run to the given completions, in place: every response does so for its request and each part of its prompt. */
export function addCompletion(completions: Completions, fingerprint: string, now: number): void {
	const times = completions.get(fingerprint);
	if (times === undefined) {
		completions.set(fingerprint, [now]);
		dropOldest(completions);
		return;
	}

	if (times.length === maxTimes) {
		times.shift();
	}

	times.push(now);
	completions.delete(fingerprint);
	completions.set(fingerprint, times);
}

function dropOldest(completions: Completions): void {
	if (completions.size > maxCompletions) {
		completions.delete(completions.keys().next().value!);
	}
}

/** Number of runs that speak against blaming a request for a crash at this time. */
export function countRunsBeside(completions: Completions, fingerprint: string, crashedAt: number): number {
	return (completions.get(fingerprint) ?? []).filter(time => time > crashedAt - validMilliseconds).length;
}

/** Whether a run of some time before a crash is remembered. */
export function hasRunBefore(completions: Completions, fingerprint: string, crashedAt: number): boolean {
	return (completions.get(fingerprint) ?? []).some(time => time > crashedAt - knownMilliseconds);
}
