/**
 * Whether a request may have run. Every failure has a verdict. `notRun` is used only if it is
 * certain: no body was sent to any side (the sidecar process of one endpoint), or the only side that received it reports that it did not start.
 */
export const Verdict = {notRun: 'not-run', mayHaveRun: 'may-have-run', ran: 'ran'} as const;
export type Verdict = (typeof Verdict)[keyof typeof Verdict];

/** The combined verdict of two attempts of one request: the strongest of ran, may have run and not run. */
export function combineVerdicts(first: Verdict, second: Verdict): Verdict {
	if (first === Verdict.ran || second === Verdict.ran) {
		return Verdict.ran;
	}

	return first === Verdict.mayHaveRun || second === Verdict.mayHaveRun ? Verdict.mayHaveRun : Verdict.notRun;
}

/** True if the request certainly did not run, or if it may have run and is idempotent. A request that certainly ran is not retried. */
export function mayRetry(verdict: Verdict, idempotent: boolean): boolean {
	return verdict === Verdict.notRun || (verdict === Verdict.mayHaveRun && idempotent);
}
