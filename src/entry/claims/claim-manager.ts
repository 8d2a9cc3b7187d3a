import {performance} from 'node:perf_hooks';
import {v7 as uuidv7} from 'uuid';
import {createFailure, FailureKind, Verdict, type Failure, type RequestId, type WorkspaceName} from '../../model/index.js';
import {type LogClient} from '../../platform/index.js';
import {
	claimPartitions, createResponseCache, findResponse, isInWindow, cacheResponse, createKeyExpiredFailure, parseClaimKey,
	type ClaimKey, type Holder, type CachedResponse, type ResponseCache,
} from '../../policy/claims/index.js';
import {type CommandResult} from './commands.js';
import {ClaimPartition} from './partition.js';

export type ClaimRequest = {
	readonly workspace: WorkspaceName;
	/** The `Idempotency-Key` as the caller sent it. */
	readonly key: string;
	readonly fingerprint: string;
	readonly requestId: RequestId;
	/** How long the claim may wait for the log; the manager's `waitMilliseconds` by default. */
	readonly waitMilliseconds?: number;
};

/** Whether the request may run under its key. */
export type ClaimOutcome
	= | {readonly type: 'won'; readonly claimId: string}
	/** Another request holds the key. `response` is set if that request finished and its response is in this instance's cache. */
		| {
			readonly type: 'lost'; readonly ownerInstance: string; readonly requestId: RequestId; readonly finished: boolean;
			/** False if the key was used with a different request body. */
			readonly sameRequest: boolean;
			/** The endpoint whose side may still have the response. */
			readonly endpoint?: string;
			readonly response?: CachedResponse;
		}
		| {readonly type: 'refused'; readonly failure: Failure};

export type ClaimManagerSettings = {
	readonly log: LogClient;
	readonly instance: string;
	/** How long a claim is valid after it was read from the log; after that, `confirm` reads it again. */
	readonly leaseMilliseconds?: number;
	/** How long a claim may wait for the log. */
	readonly waitMilliseconds?: number;
	/** Milliseconds since 1970. */
	wallClock?(): number;
	/** Monotonic milliseconds. */
	monotonicClock?(): number;
};

const defaultLeaseMilliseconds = 2000;
const defaultWaitMilliseconds = 2000;
const retryAfterMilliseconds = 1000;

/** Both clocks at the start of the command that last read the claim from the log. */
type ClockReadings = {readAt: number; readAtWall: number};
type HeldClaim = ClockReadings & {readonly key: ClaimKey};
type PendingClaim = {readonly request: ClaimRequest; readonly key: ClaimKey; readonly claimId: string; readonly startedAt: ClockReadings};

/**
 * Claims idempotency keys for the requests of one entry. A request may run only if `claim` returned `won` and
 * `confirm` returned true immediately before its body is sent.
 */
export class ClaimManager implements AsyncDisposable {
	static create(settings: ClaimManagerSettings): ClaimManager {
		return new ClaimManager(settings);
	}

	readonly #settings: Required<ClaimManagerSettings>;
	readonly #partitions: readonly ClaimPartition[];
	readonly #heldClaims = new Map<string, HeldClaim>();
	#responses: ResponseCache = createResponseCache();

	private constructor(settings: ClaimManagerSettings) {
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

	/** Numbers of appends and page reads so far. */
	get counts(): {appends: number; reads: number} {
		let appends = 0;
		let reads = 0;
		for (const {counts} of this.#partitions) {
			appends += counts.appends;
			reads += counts.reads;
		}

		return {appends, reads};
	}

	/** Claims a key. Never rejects: if the log is unavailable, the outcome is `refused`. */
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
		const result = await this.#submitClaim(request, key, claimId);
		return this.#outcome({request, key, claimId, startedAt}, result);
	}

	/**
	 * True if the request body may be sent now. The process may have been paused for an unknown time since the claim.
	 * During the pause the key's window can end and the claim expire; if the body were sent then, a second request
	 * could run under the key. After a pause longer than the lease the stream is therefore read again. Only this
	 * manager releases the claim, so the result is valid until the body is sent.
	 */
	async confirm(claimId: string): Promise<boolean> {
		for (;;) {
			const held = this.#heldClaims.get(claimId);
			if (!held || !isInWindow(held.key.time, this.#settings.wallClock())) {
				return false;
			}

			if (this.#isFresh(held)) {
				return true;
			}

			const readings = this.#clocks();
			const result = await this.#submitConfirm(held.key);
			if (result.type !== 'read' || result.holder?.claim !== claimId) {
				return false;
			}

			Object.assign(held, readings);
		}
	}

	/**
	 * Releases the key. Only for a request that certainly did not run and will not run. True once the release is
	 * in the log. If false, the caller must get the verdict *may have run*; the release is appended when the log
	 * is available again.
	 */
	async release(claimId: string): Promise<boolean> {
		const held = this.#heldClaims.get(claimId);
		if (!held) {
			return false;
		}

		this.#heldClaims.delete(claimId);
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

	/**
	 * The request ran to its end. Caches the response for a caller that did not receive it; `endpoint` is recorded,
	 * so that other entries know which endpoint's side may have the response as well.
	 */
	finish(claimId: string, result: {response?: CachedResponse; endpoint?: string} = {}): void {
		const held = this.#heldClaims.get(claimId);
		if (!held) {
			return;
		}

		this.#heldClaims.delete(claimId);
		if (result.response) {
			this.#responses = cacheResponse(this.#responses, claimId, result.response, this.#settings.monotonicClock());
		}

		const {key} = held;
		const endpoint = result.endpoint === undefined ? {} : {endpoint: result.endpoint};
		this.#partition(key).submit({
			type: 'finish', item: {type: 'finish', key: key.id, keyTime: key.time, claim: claimId, ...endpoint}, deadline: this.#deadline(),
		});
	}

	/** Appends the remaining commands and the backlog, without waiting for a log that is unavailable. */
	async [Symbol.asyncDispose](): Promise<void> {
		await Promise.all(this.#partitions.map(partition => partition.close()));
	}

	#partition(key: ClaimKey): ClaimPartition {
		return this.#partitions[key.partition]!;
	}

	#deadline(waitMilliseconds = this.#settings.waitMilliseconds): number {
		return this.#settings.monotonicClock() + waitMilliseconds;
	}

	#clocks(): ClockReadings {
		return {readAt: this.#settings.monotonicClock(), readAtWall: this.#settings.wallClock()};
	}

	/** Checks both clocks, since one of them may stop while an instance is suspended. */
	#isFresh({readAt, readAtWall}: HeldClaim): boolean {
		const {leaseMilliseconds, monotonicClock, wallClock} = this.#settings;
		return monotonicClock() - readAt <= leaseMilliseconds && Math.abs(wallClock() - readAtWall) <= leaseMilliseconds;
	}

	async #submitClaim(request: ClaimRequest, key: ClaimKey, claimId: string): Promise<CommandResult> {
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

	async #submitConfirm(key: ClaimKey): Promise<CommandResult> {
		return new Promise(resolve => {
			const submitted = this.#partition(key).submit({type: 'confirm', key, deadline: this.#deadline(), settle: resolve});
			if (!submitted) {
				resolve({type: 'in-doubt', reason: 'too many claims wait for the log'});
			}
		});
	}

	#outcome(claim: PendingClaim, result: CommandResult): ClaimOutcome {
		switch (result.type) {
			case 'not-kept': {
				const message = `The key could not be claimed: ${result.reason}.`;
				return {type: 'refused', failure: createFailure(FailureKind.claimUnavailable, message, {retryAfterMilliseconds})};
			}

			case 'in-doubt': {
				const message = `It is unknown whether the key was claimed: ${result.reason}.`;
				return {type: 'refused', failure: createFailure(FailureKind.claimUnavailable, message, {verdict: Verdict.mayHaveRun, retryAfterMilliseconds})};
			}

			case 'read': {
				return this.#outcomeForHolder(claim, result.holder);
			}
		}
	}

	#outcomeForHolder({request, key, claimId, startedAt}: PendingClaim, holder: Holder | undefined): ClaimOutcome {
		if (!holder) {
			return {type: 'refused', failure: createKeyExpiredFailure()};
		}

		if (holder.claim === claimId) {
			this.#heldClaims.set(claimId, {key, ...startedAt});
			return {type: 'won', claimId};
		}

		const response = findResponse(this.#responses, holder.claim, this.#settings.monotonicClock());
		return {
			type: 'lost', ownerInstance: holder.instance, requestId: holder.request as RequestId, finished: holder.finished,
			sameRequest: holder.fingerprint === request.fingerprint,
			...(holder.endpoint !== undefined && {endpoint: holder.endpoint}),
			...(response && {response}),
		};
	}
}
