import {type ReportOutcome} from '../../policy/duties/index.js';
import {type Counter, type Metrics} from '../../telemetry/index.js';

/** Metrics of the duties. */
export class DutyMetrics {
	static create(metrics: Metrics): DutyMetrics {
		return new DutyMetrics(metrics);
	}

	readonly #reports: Counter;
	#token = 0;

	private constructor(metrics: Metrics) {
		this.#reports = metrics.counter('gateway_usage_reports_total', 'Calls that reported the usage of a window, by outcome.', ['outcome']);
		metrics.observe('gateway_duty_token', 'Fencing token of the duties if this instance holds them, otherwise 0.', () => this.#token);
	}

	countReport(outcome: ReportOutcome): void {
		this.#reports.add(1, {outcome});
	}

	setHeld(token: number): void {
		this.#token = token;
	}
}
