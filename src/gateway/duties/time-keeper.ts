import {advanceTime, type ClockReadings, correctTime, createTimeEstimate, type DutyClock, estimatedTime, type TimeEstimate} from '../../policy/duties/index.js';
import {type PartLogger} from '../../telemetry/index.js';

/** A correction by more than this is logged. */
const loggedCorrectionMilliseconds = 1;

/** Reads the machine's clocks and keeps the estimate of the time. */
export class TimeKeeper {
	static create(logger: PartLogger, read: () => ClockReadings = readClocks): TimeKeeper {
		return new TimeKeeper(logger, read);
	}

	readonly #logger: PartLogger;
	readonly #read: () => ClockReadings;
	#estimate: TimeEstimate;

	private constructor(logger: PartLogger, read: () => ClockReadings) {
		this.#logger = logger;
		this.#read = read;
		this.#estimate = createTimeEstimate(read());
	}

	/** The clocks now. */
	clock(): DutyClock {
		this.#estimate = advanceTime(this.#estimate, this.#read());
		return {steady: this.#estimate.last.steady, lease: this.#estimate.lease, time: estimatedTime(this.#estimate)};
	}

	/** Takes how far the median of the instances is ahead of the estimate. */
	correct(aheadMilliseconds: number): void {
		const before = this.#estimate;
		this.#estimate = correctTime(before, aheadMilliseconds);
		if (Math.abs(this.#estimate.offset - before.offset) > loggedCorrectionMilliseconds) {
			this.#logger.warn('The time was corrected by what the other instances say.', {milliseconds: Math.round(aheadMilliseconds)});
		}
	}
}

function readClocks(): ClockReadings {
	return {steady: performance.now(), wall: Date.now()};
}
