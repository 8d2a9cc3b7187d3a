import {wait, type Body} from '../../concurrency/index.js';
import {createFailure, FailureKind, Verdict, type Failure} from '../../model/index.js';
import {type CachedResponse} from '../../policy/claims/index.js';
import {type ClaimManager, type ClaimOutcome, type ClaimRequest} from './keeper.js';

/** What the caller of a keyed request gets when it may not run. */
export type ClaimStop
	/** The key's request ran to its end, and this is its answer. */
	= | {readonly type: 'answer'; readonly answer: CachedResponse}
		| {readonly type: 'failed'; readonly failure: Failure};

/** How long the refusal of a request waits for its release: longer, and the caller is told *may have run*. */
const releaseMilliseconds = 250;

/**
 * The claim of one keyed request, from its arrival to its end. It is made while the request waits in
 * queues; the body leaves only after `mayStart`.
 */
export class ClaimGuard {
	/** Claims at once; `onStop` is called if the claim fails. */
	static create(keeper: ClaimManager, request: ClaimRequest, onStop: () => void): ClaimGuard {
		const guard = new ClaimGuard(keeper);
		guard.#outcome = keeper.claim(request).then(outcome => {
			guard.#stop = stopOf(outcome);
			if (guard.#stop) {
				onStop();
			}

			return outcome;
		});
		return guard;
	}

	readonly #keeper: ClaimManager;
	#outcome!: Promise<ClaimOutcome>;
	#stop: ClaimStop | undefined;
	#started = false;

	private constructor(keeper: ClaimManager) {
		this.#keeper = keeper;
	}

	/** Set as soon as the claim has failed. */
	get stop(): ClaimStop | undefined {
		return this.#stop;
	}

	/** Waits for the claim, and reads it again if that was long ago. `undefined`: the body may leave now. */
	* mayStart(): Body<ClaimStop | undefined> {
		const outcome = yield * wait(this.#outcome);
		if (outcome.type !== 'won') {
			return this.#stop;
		}

		if (!(yield * wait(this.#keeper.confirm(outcome.claimId)))) {
			return {type: 'failed', failure: createFailure(FailureKind.claimUnavailable, 'The claim of the key could not be confirmed.')};
		}

		this.#started = true;
		return undefined;
	}

	/** The request ran to its end at an endpoint. */
	* finished(endpoint: string, answer?: CachedResponse): Body<void> {
		const outcome = yield * wait(this.#outcome);
		if (outcome.type === 'won') {
			this.#keeper.finish(outcome.claimId, {endpoint, ...(answer && {answer})});
		}
	}

	/**
	 * The verdict that may be told. Failure: a request is refused as not run while its key is still
	 * claimed. Symptom: its caller sends it again, as told, and hears that it may have run. Not run is
	 * therefore said once the release is in the log; if that takes long, the release goes on without the caller.
	 */
	* failed(verdict: Verdict): Body<Verdict> {
		if (verdict !== Verdict.notRun) {
			return verdict;
		}

		const released = yield * wait(Promise.race([this.#release(), patience()]));
		return released ? Verdict.notRun : Verdict.mayHaveRun;
	}

	/** The caller left before any body did. */
	abandoned(): void {
		if (!this.#started) {
			void this.#release();
		}
	}

	/** True if the key is free for another request, or never was this one's. */
	async #release(): Promise<boolean> {
		const outcome = await this.#outcome;
		return outcome.type !== 'won' || this.#keeper.release(outcome.claimId);
	}
}

async function patience(): Promise<boolean> {
	return new Promise(resolve => {
		setTimeout(() => {
			resolve(false);
		}, releaseMilliseconds).unref();
	});
}

function stopOf(outcome: ClaimOutcome): ClaimStop | undefined {
	switch (outcome.type) {
		case 'won': {
			return undefined;
		}

		case 'refused': {
			return {type: 'failed', failure: outcome.failure};
		}

		case 'lost': {
			if (outcome.answer && outcome.sameRequest) {
				return {type: 'answer', answer: outcome.answer};
			}

			const reason = outcome.sameRequest ? `Request ${outcome.requestId} has this Idempotency-Key.` : 'This Idempotency-Key was used with another body.';
			return {type: 'failed', failure: createFailure(FailureKind.keyInUse, reason, {verdict: Verdict.mayHaveRun})};
		}
	}
}
