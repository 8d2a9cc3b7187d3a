/**
 * Requests that lately ran to their end. Load pattern: many callers send one request at the same time, and several endpoints fail together. It was at
 * each of them, and would be refused for ten minutes although it runs wherever it is sent; once it is refused, no run could clear it.
 */

/** When each request ran to its end last; the one that has not for longest comes first. */
export type Completions = Map<string, number>;

/** A run that ended this long before a crash still speaks for the request: it would have crashed an endpoint just then. */
const validMilliseconds = 2000;
/** Requests that are remembered: those of a few seconds at one instance. */
const maxCompletions = 2000;

/** Adds a completed run to the given completions. */
export function addCompletion(completions: Completions, fingerprint: string, now: number): void {
	completions.delete(fingerprint);
	completions.set(fingerprint, now);
	if (completions.size > maxCompletions) {
		const [oldest] = completions.keys();
		completions.delete(oldest!);
	}
}

/** Whether a run speaks against blaming a request for a crash at this time. */
export function isClearedByRun(completions: Completions, fingerprint: string, crashedAt: number): boolean {
	const completedAt = completions.get(fingerprint);
	return completedAt !== undefined && completedAt > crashedAt - validMilliseconds;
}
