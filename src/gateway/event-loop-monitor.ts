import {performance} from 'node:perf_hooks';
import {type Metrics, type PartLogger} from '../telemetry/index.js';
import {type LineActivity} from './queue-meter.js';

const summaryMilliseconds = 1000;
/** From this share of its time on a process is short of it: what arrives waits for several others. */
const busyShare = 0.7;

/**
 * How much of its time the process is at work, and how long a turn of the event loop takes. Failure: an instance runs out of
 * processor time, and all that it does is late. Symptom: requests wait before any decision is logged, and neither the line nor the
 * endpoints explain it. One line a second tells so while it lasts.
 */
export class EventLoopMonitor implements Disposable {
	/** `line` tells what was done for requests that wait for a place since it was asked last. */
	static create(logger: PartLogger, metrics: Metrics, line: () => LineActivity): EventLoopMonitor {
		return new EventLoopMonitor(logger, metrics, line);
	}

	/** The part of the last second in which it was at work, 0 to 1. */
	busy = 0;
	readonly #logger: PartLogger;
	readonly #timer: NodeJS.Timeout;
	readonly #line: () => LineActivity;
	#before = performance.eventLoopUtilization();
	#longestTurn = 0;
	#requests = 0;
	#wasBusy = false;

	private constructor(logger: PartLogger, metrics: Metrics, line: () => LineActivity) {
		this.#logger = logger;
		this.#line = line;
		metrics.observe('gateway_processor_busy', 'Part of the last second in which the event loop was at work.', () => this.busy);
		this.#timer = setInterval(() => {
			this.#summarise();
		}, summaryMilliseconds).unref();
	}

	[Symbol.dispose](): void {
		clearInterval(this.#timer);
	}

	/** A request was read; its turn of the event loop took so long. */
	noteTurn(milliseconds: number): void {
		this.#requests += 1;
		this.#longestTurn = Math.max(this.#longestTurn, milliseconds);
	}

	#summarise(): void {
		const now = performance.eventLoopUtilization();
		this.busy = performance.eventLoopUtilization(now, this.#before).utilization;
		this.#before = now;
		const isBusy = this.busy >= busyShare;
		const line = this.#line();
		if (isBusy || this.#wasBusy) {
			this.#logger.info(isBusy ? 'Busy.' : 'No longer busy.', {share: rounded(this.busy), longestTurn: rounded(this.#longestTurn), requests: this.#requests, ...line});
		}

		this.#wasBusy = isBusy;
		this.#longestTurn = 0;
		this.#requests = 0;
	}
}

function rounded(value: number): number {
	return Math.round(value * 100) / 100;
}
