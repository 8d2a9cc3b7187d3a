import {performance} from 'node:perf_hooks';
import {v7 as uuidv7} from 'uuid';
import {createFailure, FailureKind, Verdict, type Failure, type RequestId, type WorkspaceName} from '../../model/index.js';
import {type LogClient} from '../../platform/types.js';
import {
	claimPartitions, createResponseCache, findResponse, isInWindow, cacheResponse, createKeyExpiredFailure, parseClaimKey,
	type ClaimKey, type Holder, type CachedResponse, type ResponseCache,
} from '../../policy/claims/index.js';
import {type Settlement} from './commands.js';
import {ClaimPartition} from './partition.js';

export type ClaimRequest = {
	readonly workspace: WorkspaceName;
	/** The `Idempotency-Key` as the caller sent it. */
	readonly key: string;
	readonly fingerprint: string;
	readonly requestId: RequestId;
	/** How long the caller can wait for the log; the keeper's usual time if missing. */
	readonly waitMilliseconds?: number;
};

/** Whether the request may run under its key. */
export type ClaimOutcome
	= | {readonly type: 'won'; readonly claimId: string}
	/** Another request has the key. `answer` is there if it finished and this instance still has it. */
		| {
			readonly type: 'lost'; readonly ownerInstance: string; readonly requestId: RequestId; readonly finished: boolean;
			/** False if the key was used with another body. */
			readonly sameRequest: boolean;
			/** The endpoint whose side may still have the answer. */
			readonly endpoint?: string;
			readonly answer?: CachedResponse;
		}
		| {readonly type: 'refused'; readonly failure: Failure};

export type ClaimKeeperSettings = {
	readonly log: LogClient;
	readonly instance: string;
	/** How long a claim that was read counts as read; after a longer pause it is read again. */
	readonly leaseMilliseconds?: number;
	/** How long a claim may wait for the log. */
	readonly waitMilliseconds?: number;
	/** Milliseconds since 1970. */
	wallClock?(): number;
	/** Milliseconds that never go back. */
	monotonicClock?(): number;
};

const defaultLeaseMilliseconds = 2000;
const defaultWaitMilliseconds = 2000;
const retryAfterMilliseconds = 1000;

type Clocks = {readAt: number; readAtWall: number};
type Held = Clocks & {readonly key: ClaimKey};
type Claimed = {readonly request: ClaimRequest; readonly key: ClaimKey; readonly claimId: string; readonly startedAt: Clocks};

/**
 * Claims keys for the requests of one entry. A request may run only after `claim` said *won* and
 * `confirm` said true right before its body leaves.
 */
export class ClaimManager implements AsyncDisposable {
	static create(settings: ClaimKeeperSettings): ClaimManager {
		return new ClaimManager(settings);
	}

	readonly #settings: Required<ClaimKeeperSettings>;
	readonly #partitions: readonly ClaimPartition[];
	readonly #held = new Map<string, Held>();
	#answers: ResponseCache = createResponseCache();

	private constructor(settings: ClaimKeeperSettings) {
		this.#settings = {
			leaseMilliseconds: defaultLeaseMilliseconds,
			waitMilliseconds: defaultWaitMilliseconds,
			wallClock: () => Date.now(),
			monotonicClock: () => performance.now(),
			...settings,
		};
		this.#partitions = Array.from({length: claimPartitions}, (_, partition) => ClaimPartition.create({
			log: settings.log, instance: settings.instance, partition, now: this.#settings.monotonicClock,
		}));
	}

	/** Appends and page reads so far. */
	get counts(): {appends: number; reads: number} {
		let appends = 0;
		let reads = 0;
		for (const {counts} of this.#partitions) {
			appends += counts.appends;
			reads += counts.reads;
		}

		return {appends, reads};
	}

	/** Never rejects: a log that is down makes a refusal. */
	async claim(request: ClaimRequest): Promise<ClaimOutcome> {
		const parsed = parseClaimKey(request.workspace, request.key);
		if (parsed.type === 'refused') {
			return parsed;
		}

		const {key} = parsed;
		if (!isInWindow(key.time, this.#settings.wallClock())) {
			return {type: 'refused', failure: createKeyExpiredFailure()};
		}

		const claimId = uuidv7();
		const startedAt = this.#clocks();
		const settlement = await this.#submitClaim(request, key, claimId);
		return this.#outcome({request, key, claimId, startedAt}, settlement);
	}

	/**
	 * True if the body may leave now. Failure: the process is paused between its claim and its body, for
	 * longer than anyone knows, and wakes with a claim that has been forgotten with its key's window.
	 * Symptom: the key runs a second time. After a pause longer than the lease the stream is read again;
	 * nobody but this keeper releases the claim, so what the stream says holds until the body leaves.
	 */
	async confirm(claimId: string): Promise<boolean> {
		for (;;) {
			const held = this.#held.get(claimId);
			if (!held || !isInWindow(held.key.time, this.#settings.wallClock())) {
				return false;
			}

			if (this.#isFresh(held)) {
				return true;
			}

			const clocks = this.#clocks();
			const settlement = await this.#submitConfirm(held.key);
			if (settlement.type !== 'read' || settlement.holder?.claim !== claimId) {
				return false;
			}

			Object.assign(held, clocks);
		}
	}

	/**
	 * Frees the key. Only for a request that certainly did not run and never will. True once the log has
	 * it; on false the caller is told *may have run*, and the release is written when the log is back.
	 */
	async release(claimId: string): Promise<boolean> {
		const held = this.#held.get(claimId);
		if (!held) {
			return false;
		}

		this.#held.delete(claimId);
		const {key} = held;
		const deadline = this.#deadline();
		return new Promise(resolve => {
			const submitted = this.#partition(key).submit({
				type: 'release', item: {type: 'release', key: key.id, keyTime: key.time, claim: claimId}, deadline, settle: resolve,
			});
			if (!submitted) {
				resolve(false);
			}
		});
	}

	/** The request ran to its end. Keeps the answer for a caller that lost it; `endpoint` tells other entries who else has it. */
	finish(claimId: string, ended: {answer?: CachedResponse; endpoint?: string} = {}): void {
		const held = this.#held.get(claimId);
		if (!held) {
			return;
		}

		this.#held.delete(claimId);
		if (ended.answer) {
			this.#answers = cacheResponse(this.#answers, claimId, ended.answer, this.#settings.monotonicClock());
		}

		const {key} = held;
		const endpoint = ended.endpoint === undefined ? {} : {endpoint: ended.endpoint};
		this.#partition(key).submit({
			type: 'finish', item: {type: 'finish', key: key.id, keyTime: key.time, claim: claimId, ...endpoint}, deadline: this.#deadline(),
		});
	}

	/** Writes what is left, if the log allows it at once. */
	async [Symbol.asyncDispose](): Promise<void> {
		await Promise.all(this.#partitions.map(partition => partition.close()));
	}

	#partition(key: ClaimKey): ClaimPartition {
		return this.#partitions[key.partition]!;
	}

	#deadline(waitMilliseconds = this.#settings.waitMilliseconds): number {
		return this.#settings.monotonicClock() + waitMilliseconds;
	}

	#clocks(): Clocks {
		return {readAt: this.#settings.monotonicClock(), readAtWall: this.#settings.wallClock()};
	}

	/** Both clocks count: one of them may stand still while an instance is suspended. */
	#isFresh({readAt, readAtWall}: Held): boolean {
		const {leaseMilliseconds, monotonicClock, wallClock} = this.#settings;
		return monotonicClock() - readAt <= leaseMilliseconds && Math.abs(wallClock() - readAtWall) <= leaseMilliseconds;
	}

	async #submitClaim(request: ClaimRequest, key: ClaimKey, claimId: string): Promise<Settlement> {
		const {requestId, fingerprint} = request;
		return new Promise(resolve => {
			const submitted = this.#partition(key).submit({
				type: 'claim', key, deadline: this.#deadline(request.waitMilliseconds), settle: resolve,
				item: {type: 'claim', key: key.id, keyTime: key.time, claim: claimId, request: requestId, fingerprint},
			});
			if (!submitted) {
				resolve({type: 'not-kept', reason: 'too many claims wait for the log'});
			}
		});
	}

	async #submitConfirm(key: ClaimKey): Promise<Settlement> {
		return new Promise(resolve => {
			const submitted = this.#partition(key).submit({type: 'confirm', key, deadline: this.#deadline(), settle: resolve});
			if (!submitted) {
				resolve({type: 'in-doubt', reason: 'too many claims wait for the log'});
			}
		});
	}

	#outcome(claim: Claimed, settlement: Settlement): ClaimOutcome {
		switch (settlement.type) {
			case 'not-kept': {
				const message = `The key could not be claimed: ${settlement.reason}.`;
				return {type: 'refused', failure: createFailure(FailureKind.claimUnavailable, message, {retryAfterMilliseconds})};
			}

			case 'in-doubt': {
				const message = `It is not known whether the key was claimed: ${settlement.reason}.`;
				return {type: 'refused', failure: createFailure(FailureKind.claimUnavailable, message, {verdict: Verdict.mayHaveRun, retryAfterMilliseconds})};
			}

			case 'read': {
				return this.#outcomeOfRead(claim, settlement.holder);
			}
		}
	}

	#outcomeOfRead({request, key, claimId, startedAt}: Claimed, holder: Holder | undefined): ClaimOutcome {
		if (!holder) {
			return {type: 'refused', failure: createKeyExpiredFailure()};
		}

		if (holder.claim === claimId) {
			this.#held.set(claimId, {key, ...startedAt});
			return {type: 'won', claimId};
		}

		const answer = findResponse(this.#answers, holder.claim, this.#settings.monotonicClock());
		return {
			type: 'lost', ownerInstance: holder.instance, requestId: holder.request as RequestId, finished: holder.finished,
			sameRequest: holder.fingerprint === request.fingerprint,
			...(holder.endpoint !== undefined && {endpoint: holder.endpoint}),
			...(answer && {answer}),
		};
	}
}
