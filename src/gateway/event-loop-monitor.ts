import {performance} from 'node:perf_hooks';
import {type Metrics, type PartLogger} from '../telemetry/index.js';
import {type LatenessActivity} from './loop-lateness.js';
import {type QueueActivity} from './placement/index.js';

const summaryMilliseconds = 1000;
/**
 * At this utilization and above, the process is short of processor time: an arriving request waits until several others are
 * handled.
 */
const busyThreshold = 0.7;

type ActivitySources = {readonly queueActivity: () => QueueActivity; readonly lateness: () => LatenessActivity};

/**
 * Measures the utilization of the event loop and the duration of its turns, and logs one line a second while the process is
 * short of processor time. Everything that such an instance does is late: requests wait before any decision about them is logged,
 * and neither the queue nor the endpoints show the cause.
 */
export class EventLoopMonitor implements Disposable {
	/** `queueActivity` and `lateness` return statistics since their previous call. */
	static create(logger: PartLogger, metrics: Metrics, queueActivity: () => QueueActivity, lateness: () => LatenessActivity): EventLoopMonitor {
		return new EventLoopMonitor(logger, metrics, {queueActivity, lateness});
	}

	/** Utilization of the event loop in the last second, 0 to 1. */
	utilization = 0;
	readonly #logger: PartLogger;
	readonly #timer: NodeJS.Timeout;
	readonly #sources: ActivitySources;
	#previous = performance.eventLoopUtilization();
	#longestTurn = 0;
	#requests = 0;
	#wasBusy = false;

	private constructor(logger: PartLogger, metrics: Metrics, sources: ActivitySources) {
		this.#logger = logger;
		this.#sources = sources;
		metrics.observe('gateway_processor_busy', 'Share of the last second in which the event loop was busy.', () => this.utilization);
		this.#timer = setInterval(() => {
			this.#logSummary();
		}, summaryMilliseconds).unref();
	}

	[Symbol.dispose](): void {
		clearInterval(this.#timer);
	}

	/** Whether times that this process measures are those of what it measures: in the last second it had time to spare. */
	get measuresInTime(): boolean {
		return this.utilization < busyThreshold;
	}

	/** Records how long the turn of the event loop took in which a request was read. */
	recordTurn(milliseconds: number): void {
		this.#requests += 1;
		this.#longestTurn = Math.max(this.#longestTurn, milliseconds);
	}

	#logSummary(): void {
		const now = performance.eventLoopUtilization();
		this.utilization = performance.eventLoopUtilization(now, this.#previous).utilization;
		this.#previous = now;
		const isBusy = this.utilization >= busyThreshold;
		const activity = {...this.#sources.queueActivity(), ...this.#sources.lateness()};
		if (isBusy || this.#wasBusy) {
			this.#logger.info(isBusy ? 'The event loop is busy.' : 'The event loop is no longer busy.', {
				share: rounded(this.utilization), longestTurn: rounded(this.#longestTurn), requests: this.#requests, ...activity,
			});
		}

		this.#wasBusy = isBusy;
		this.#longestTurn = 0;
		this.#requests = 0;
	}
}

function rounded(value: number): number {
	return Math.round(value * 100) / 100;
}
