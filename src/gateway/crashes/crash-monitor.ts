import {type CrashEvidence, type CrashSign, type DismissalReason, type EvidenceAction, type EvidenceEvent, isSettled, nextEvidenceAt, noEvidence, stepEvidence} from '../../policy/crashes/index.js';
import {isPart} from '../../policy/quarantine/index.js';
import {type EndpointRecord, incarnationOf} from '../../routing/index.js';
import {type PartLogger} from '../../telemetry/index.js';

/** What became of the evidence that a request crashed an endpoint. */
export type EvidenceVerdict = 'unanswered' | 'suspected' | 'crashed' | DismissalReason;

/** A crash of one incarnation of an endpoint, or the suspicion of one. */
export type CrashOf = {readonly crash: string; readonly record: EndpointRecord; readonly fingerprints: readonly string[]};

/** An attempt that ended without a response, or whose endpoint has been silent for longer than usual. */
export type UnansweredAttempt = {
	readonly record: EndpointRecord;
	/** That of the request, and those of the prompt parts that it shares. */
	readonly fingerprints: readonly string[];
	readonly sentAt: number;
	readonly sign: CrashSign;
};

export type CrashMonitorOptions = {
	readonly logger: PartLogger;
	/** Whether an incarnation's registration has ended without an announced shutdown. */
	readonly isLost: (record: EndpointRecord) => boolean;
	/** Called with what became of the evidence of a crash. */
	readonly onEvidence: (verdict: EvidenceVerdict) => void;
	readonly onSuspect: (suspicion: CrashOf) => void;
	readonly onCrash: (crash: CrashOf & {readonly at: number}) => void;
	readonly onDismiss: (dismissal: CrashOf) => void;
	readonly onRetract: (crash: CrashOf) => void;
};

type Watched = {readonly record: EndpointRecord; state: CrashEvidence; timer: NodeJS.Timeout | undefined};

/** Prompt parts that the line of one crash names. */
const maxLoggedParts = 40;

/** Notices which endpoints crash, and with which requests, from the attempts of this instance. Times are milliseconds of the monotonic clock. */
export class CrashMonitor implements Disposable {
	static create(options: CrashMonitorOptions): CrashMonitor {
		return new CrashMonitor(options);
	}

	readonly #options: CrashMonitorOptions;
	/** Incarnations of endpoints that may have crashed. */
	readonly #watched = new Map<string, Watched>();

	private constructor(options: CrashMonitorOptions) {
		this.#options = options;
	}

	/** True if an endpoint may have crashed, so that its responses count. */
	get isWatching(): boolean {
		return this.#watched.size > 0;
	}

	recordUnanswered({record, ...request}: UnansweredAttempt, now: number): void {
		const key = incarnationOf(record);
		const watched = this.#watched.get(key) ?? {record, state: noEvidence, timer: undefined};
		this.#watched.set(key, watched);
		this.#options.onEvidence('unanswered');
		if (watched.state.requests.length === 0) {
			this.#options.logger.info('Endpoint leaves a request unanswered.', {endpoint: record.id, service: record.service, fingerprints: request.fingerprints, sign: request.sign, sent: Math.round(now - request.sentAt)});
		}

		this.#step(watched, {type: 'unanswered', request: {...request, at: now}}, now);
		if (this.#options.isLost(record)) {
			this.#step(watched, {type: 'lost'}, now);
		}
	}

	/** Records that an endpoint has sent something to a request that was sent to it at `sentAt`. */
	recordResponse(record: EndpointRecord, sentAt: number, now: number): void {
		this.#stepIfWatched(record, {type: 'responded', sentAt}, now);
	}

	/** Records that the registration of an incarnation has ended or is back. */
	recordRegistration(record: EndpointRecord, now: number): void {
		this.#stepIfWatched(record, {type: this.#options.isLost(record) ? 'lost' : 'registered'}, now);
	}

	/** Records that an endpoint has restarted under its id: its earlier incarnations are gone. */
	recordRestart({id, bornAt}: EndpointRecord, now: number): void {
		for (const watched of this.#watched.values()) {
			if (watched.record.id === id && watched.record.bornAt !== bornAt) {
				this.#step(watched, {type: 'lost'}, now);
			}
		}
	}

	prune(now: number): void {
		for (const [key, {state}] of this.#watched) {
			if (isSettled(state, now)) {
				this.#watched.delete(key);
			}
		}
	}

	[Symbol.dispose](): void {
		for (const {timer} of this.#watched.values()) {
			clearTimeout(timer);
		}
	}

	#stepIfWatched(record: EndpointRecord, event: EvidenceEvent, now: number): void {
		const watched = this.#watched.get(incarnationOf(record));
		if (watched !== undefined) {
			this.#step(watched, event, now);
		}
	}

	#step(watched: Watched, event: EvidenceEvent, now: number): void {
		const {state, actions} = stepEvidence(watched.state, event, now);
		watched.state = state;
		for (const action of actions) {
			this.#perform(watched.record, action);
		}

		this.#schedule(watched, now);
	}

	#schedule(watched: Watched, now: number): void {
		clearTimeout(watched.timer);
		const next = nextEvidenceAt(watched.state);
		if (next < Infinity) {
			watched.timer = setTimeout(() => {
				this.#step(watched, {type: 'time'}, performance.now());
			}, Math.max(1, next - now)).unref();
		}
	}

	#perform(record: EndpointRecord, action: EvidenceAction): void {
		const {logger, onEvidence, onSuspect, onCrash, onDismiss, onRetract} = this.#options;
		const {fingerprints} = action;
		const crash: CrashOf = {crash: incarnationOf(record), record, fingerprints};
		const fields = {endpoint: record.id, service: record.service, requests: fingerprints.filter(one => !isPart(one)).length};
		switch (action.type) {
			case 'suspect': {
				onEvidence('suspected');
				logger.info('Endpoint may have crashed.', fields);
				onSuspect(crash);
				return;
			}

			case 'crash': {
				onEvidence('crashed');
				logger.info('Endpoint crashed.', {...fields, parts: fingerprints.filter(one => isPart(one)).slice(0, maxLoggedParts), sign: action.sign});
				onCrash({...crash, at: action.at});
				return;
			}

			case 'dismiss': {
				onEvidence(action.reason);
				logger.info('Endpoint has not crashed.', {...fields, reason: action.reason});
				onDismiss(crash);
				return;
			}

			case 'retract': {
				onEvidence(action.reason);
				logger.warn('Endpoint that was taken for crashed lives.', {...fields, reason: action.reason});
				onRetract(crash);
			}
		}
	}
}
