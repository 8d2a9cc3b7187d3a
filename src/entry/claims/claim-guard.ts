import {wait, type Body} from '../../concurrency/index.js';
import {createFailure, FailureKind, Verdict, type Failure} from '../../model/index.js';
import {type CachedResponse} from '../../policy/claims/index.js';
import {type ClaimManager, type ClaimOutcome, type ClaimRequest} from './claim-manager.js';

/** Why a request must not run under its idempotency key, with the result for its caller. */
export type ClaimStop
	/** The request that holds the key has finished; `response` is its cached response. */
	= | {readonly type: 'answer'; readonly response: CachedResponse}
		| {readonly type: 'failed'; readonly failure: Failure};

/** How long the refusal of a request whose time in queues is over waits for the release of its key. */
const minimumReleaseWaitMilliseconds = 250;

/**
 * The claim of one request with an idempotency key, from its arrival to its end. It is made while the request
 * waits in queues; the request body is sent only after `mayStart`.
 */
export class ClaimGuard {
	/** Claims at once; `onStop` is called if the claim fails. */
	static create(manager: ClaimManager, request: ClaimRequest, onStop: () => void): ClaimGuard {
		const guard = new ClaimGuard(manager);
		guard.#outcome = manager.claim(request).then(outcome => {
			guard.#stop = toClaimStop(outcome);
			if (guard.#stop) {
				onStop();
			}

			return outcome;
		});
		return guard;
	}

	readonly #manager: ClaimManager;
	#outcome!: Promise<ClaimOutcome>;
	#stop: ClaimStop | undefined;
	/** True once `mayStart` has allowed that the request body is sent. */
	#isStartAllowed = false;

	private constructor(manager: ClaimManager) {
		this.#manager = manager;
	}

	/** Set as soon as the claim has failed. */
	get stop(): ClaimStop | undefined {
		return this.#stop;
	}

	/** Waits for the claim and confirms that it is still valid. `undefined` if the request body may be sent now. */
	* mayStart(): Body<ClaimStop | undefined> {
		const outcome = yield * wait(this.#outcome);
		if (outcome.type !== 'won') {
			return this.#stop;
		}

		if (!(yield * wait(this.#manager.confirm(outcome.claimId)))) {
			return {type: 'failed', failure: createFailure(FailureKind.claimUnavailable, 'The claim of the key could not be confirmed.')};
		}

		this.#isStartAllowed = true;
		return undefined;
	}

	/** The request ran to its end at an endpoint. */
	* finished(endpoint: string, response?: CachedResponse): Body<void> {
		const outcome = yield * wait(this.#outcome);
		if (outcome.type === 'won') {
			this.#manager.finish(outcome.claimId, {endpoint, ...(response && {response})});
		}
	}

	/**
	 * Returns the verdict for the caller of a failed request. *Not run* is reported only once the release of the
	 * key is in the log: with the key still claimed, the caller's retry would be refused as *may have run*. The caller
	 * waits for that until `deadline`, the end of its request's time in queues on the clock of `performance.now()`,
	 * and at least `minimumReleaseWaitMilliseconds`. A release that takes longer continues in the background, and the
	 * verdict is *may have run*.
	 */
	* failed(verdict: Verdict, deadline: number): Body<Verdict> {
		if (verdict !== Verdict.notRun) {
			return verdict;
		}

		const waitMilliseconds = Math.max(minimumReleaseWaitMilliseconds, deadline - performance.now());
		const isReleased = yield * wait(releasedWithin(this.#release(), waitMilliseconds));
		return isReleased ? Verdict.notRun : Verdict.mayHaveRun;
	}

	/** The caller left; releases the key unless the request body may have been sent. */
	abandoned(): void {
		if (!this.#isStartAllowed) {
			void this.#release();
		}
	}

	/** True if the key was released, or was never held by this request. */
	async #release(): Promise<boolean> {
		const outcome = await this.#outcome;
		return outcome.type !== 'won' || this.#manager.release(outcome.claimId);
	}
}

/** The result of a release, or false after `milliseconds`. */
async function releasedWithin(release: Promise<boolean>, milliseconds: number): Promise<boolean> {
	return new Promise((resolve, reject) => {
		const timer = setTimeout(resolve, milliseconds, false).unref();
		release.then(resolve, reject).finally(() => {
			clearTimeout(timer);
		});
	});
}

function toClaimStop(outcome: ClaimOutcome): ClaimStop | undefined {
	switch (outcome.type) {
		case 'won': {
			return undefined;
		}

		case 'refused': {
			return {type: 'failed', failure: outcome.failure};
		}

		case 'lost': {
			if (outcome.response && outcome.sameRequest) {
				return {type: 'answer', response: outcome.response};
			}

			const reason = outcome.sameRequest ? `Request ${outcome.requestId} has this Idempotency-Key.` : 'This Idempotency-Key was used with another body.';
			return {type: 'failed', failure: createFailure(FailureKind.keyInUse, reason, {verdict: Verdict.mayHaveRun})};
		}
	}
}
