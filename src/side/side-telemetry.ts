import {type Outcome} from '../policy/scheduler/index.js';
import {
	type Counter, type DecisionDetail, type DecisionJournal, type Latency, type Metrics, ReasonCode,
} from '../telemetry/index.js';
import {type Reservation} from './reservation.js';

/** Records what happens in a side's queue and runs: a reason for each decision, and metrics per tier. */
export class SideTelemetry {
	static create(metrics: Metrics, journal: DecisionJournal): SideTelemetry {
		return new SideTelemetry(metrics, journal);
	}

	readonly journal: DecisionJournal;
	readonly #ended: Counter;
	readonly #refused: Counter;
	readonly #tokens: Counter;
	readonly #queueWait: Latency;

	private constructor(metrics: Metrics, journal: DecisionJournal) {
		this.journal = journal;
		this.#ended = metrics.counter('runs_total', 'Runs at the endpoint that ended, by tier and outcome.', ['tier', 'outcome']);
		this.#refused = metrics.counter('refusals_total', 'Reservations refused, by tier and reason.', ['tier', 'reason']);
		this.#tokens = metrics.counter('tokens_total', 'Tokens that the endpoint produced, by tier.', ['tier']);
		this.#queueWait = metrics.latency('queue_wait', 'From reservation to offer, by tier.');
	}

	record(reservation: Reservation, code: ReasonCode, detail: DecisionDetail = {}): void {
		this.journal.record(reservation.summary.id, code, detail);
	}

	offered(reservation: Reservation, waitedMilliseconds: number): void {
		this.#queueWait.for({tier: String(reservation.summary.tier)}).record(waitedMilliseconds);
		this.record(reservation, ReasonCode.offered, {waitedMilliseconds: Math.round(waitedMilliseconds)});
	}

	refused(reservation: Reservation, reason: string, message: string): void {
		this.#refused.add(1, {tier: String(reservation.summary.tier), reason});
		this.record(reservation, ReasonCode.refused, {reason, message});
	}

	preempted(reservation: Reservation, forRequest: string): void {
		this.record(reservation, ReasonCode.preempted, {forRequest});
	}

	progressed(reservation: Reservation, tokens: number): void {
		this.#tokens.add(tokens, {tier: String(reservation.summary.tier)});
	}

	ended(reservation: Reservation, outcome: Outcome, reason: string): void {
		this.#ended.add(1, {tier: String(reservation.summary.tier), outcome});
		this.record(reservation, outcome === 'whole' ? ReasonCode.finished : ReasonCode.failed, {outcome, reason});
	}
}
