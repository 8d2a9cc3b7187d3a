import {type Failure, type RequestId, type RequestSummary} from '../model/index.js';
import {type Choice} from '../policy/placement/index.js';
import {
	type Counter, type DecisionDetail, type DecisionJournal, type Gauge, type Latency, type Metrics, ReasonCode,
} from '../telemetry/index.js';
import {type CallEnd} from './call-end.js';

/** Telemetry of an entry's requests: a journal record with the reason of each decision, and metrics per tier. */
export class EntryTelemetry {
	static create(metrics: Metrics, journal: DecisionJournal): EntryTelemetry {
		return new EntryTelemetry(metrics, journal);
	}

	readonly journal: DecisionJournal;
	readonly #ended: Counter;
	readonly #tokens: Counter;
	readonly #retries: Counter;
	readonly #inTime: Counter;
	readonly #firstToken: Latency;
	readonly #active: Gauge;

	private constructor(metrics: Metrics, journal: DecisionJournal) {
		this.journal = journal;
		this.#ended = metrics.counter('requests_total', 'Requests that ended, by tier, outcome and reason.', ['tier', 'outcome', 'reason']);
		this.#inTime = metrics.counter('requests_in_time_total', 'Whole answers whose first token met the class target, by tier.', ['tier']);
		this.#tokens = metrics.counter('tokens_total', 'Tokens passed to callers, by tier.', ['tier']);
		this.#retries = metrics.counter('retries_total', 'Attempts after the first, by reason.', ['reason']);
		this.#firstToken = metrics.latency('first_token', 'From arrival to the first token, by tier.');
		this.#active = metrics.gauge('active_requests', 'Requests in progress.');
	}

	active(count: number): void {
		this.#active.set(count);
	}

	record(request: RequestId, code: ReasonCode, detail: DecisionDetail = {}): void {
		this.journal.record(request, code, detail);
	}

	classified(summary: RequestSummary): void {
		const {className, tier, target, workspace, queueMilliseconds, firstTokenMilliseconds} = summary;
		this.record(summary.id, ReasonCode.classified, {workspace, class: className, tier, target, firstTokenMilliseconds, queueMilliseconds});
	}

	/** Records the endpoints that placement considered, their order and the reasons. */
	ranked(summary: RequestSummary, choice: Choice): void {
		const considered = choice.reasons.map(({endpoint, reason}) => `${endpoint}: ${reason}`).join('; ');
		this.record(summary.id, ReasonCode.ranked, {chosen: choice.endpoints.join(', '), looked: considered});
	}

	/** Records a failed attempt that is retried. */
	retried(summary: RequestSummary, {kind, message, verdict}: Failure): void {
		this.#retries.add(1, {reason: kind});
		this.record(summary.id, ReasonCode.retried, {reason: kind, message, verdict});
	}

	/** Records a request that failed before or without a model call. */
	refused(request: RequestId, {kind, message, verdict}: Failure): void {
		this.#ended.add(1, {tier: 'none', outcome: 'failed', reason: kind});
		this.record(request, ReasonCode.failed, {reason: kind, message, verdict});
	}

	ended(summary: RequestSummary, end: CallEnd): void {
		const tier = String(summary.tier);
		this.#ended.add(1, {tier, outcome: end.type, reason: end.type === 'failed' ? end.failure.kind : 'none'});
		this.#tokens.add(end.tokens, {tier});
		if (end.type === 'whole') {
			this.#recordComplete(summary, tier, end.firstTokenMilliseconds);
		}

		this.record(summary.id, reasonCodeOf(end), detailOf(end));
	}

	#recordComplete(summary: RequestSummary, tier: string, milliseconds = 0): void {
		this.#firstToken.for({tier}).record(milliseconds);
		if (milliseconds <= summary.firstTokenMilliseconds) {
			this.#inTime.add(1, {tier});
		}
	}
}

function reasonCodeOf(end: CallEnd): ReasonCode {
	switch (end.type) {
		case 'whole': {
			return ReasonCode.finished;
		}

		case 'failed': {
			return ReasonCode.failed;
		}

		case 'caller-left': {
			return ReasonCode.cancelled;
		}
	}
}

function detailOf(end: CallEnd): DecisionDetail {
	const {tokens, attempts} = end;
	return end.type === 'failed' ? {tokens, attempts, reason: end.failure.kind, verdict: end.failure.verdict, message: end.failure.message} : {tokens, attempts};
}
