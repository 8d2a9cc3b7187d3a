import {type Reservation} from './reservation.js';

/** How often the progress of one run is reported to the scheduler; slots are adapted over longer windows. */
const reportIntervalMilliseconds = 20;

/** Reports the first tokens of a run at once and later ones in batches, since the scheduler copies its state on each event. */
export class RunProgress {
	/** `onProgress` gets the tokens since the last report, and the time since then, in milliseconds. */
	static create(onProgress: (reservation: Reservation, tokens: number, milliseconds: number) => void): RunProgress {
		return new RunProgress(onProgress);
	}

	readonly #onProgress: (reservation: Reservation, tokens: number, milliseconds: number) => void;

	private constructor(onProgress: (reservation: Reservation, tokens: number, milliseconds: number) => void) {
		this.#onProgress = onProgress;
	}

	record(reservation: Reservation, tokens: number, now: number): void {
		reservation.unreportedTokens += tokens;
		if (!reservation.hasProgressed || now - reservation.progressedAt >= reportIntervalMilliseconds) {
			this.flush(reservation, now);
		}
	}

	/** Reports what has not been reported yet. */
	flush(reservation: Reservation, now: number): void {
		const {unreportedTokens, progressedAt} = reservation;
		if (unreportedTokens === 0) {
			return;
		}

		reservation.unreportedTokens = 0;
		reservation.hasProgressed = true;
		reservation.progressedAt = now;
		this.#onProgress(reservation, unreportedTokens, now - progressedAt);
	}
}
