import {type QuarantineLedger} from '../platform/index.js';
import {createClearedRecord, Suspicion, type FingerprintStatus} from '../policy/quarantine/index.js';
import {type Reservation} from './reservation.js';

/** Executes the decisions of the gate; implemented by `RequestExecutor`. */
export type SuspectGateHandler = {
	/** Puts the reservation into the queue. */
	admit(reservation: Reservation): void;
	/** Refuses a reservation whose body has not been sent to the endpoint. */
	refuseQuarantined(reservation: Reservation): void;
};

/**
 * Admits one suspect at a time to the queue; a suspect is a request that ran at an endpoint when it crashed.
 * All entries send the same suspect to the same side, so that across the fleet it can crash only one endpoint
 * at a time. And if an endpoint crashes with a single suspect running, no other suspect is blamed for it.
 */
export class SuspectGate {
	static create(ledger: QuarantineLedger, handler: SuspectGateHandler): SuspectGate {
		return new SuspectGate(ledger, handler);
	}

	readonly #ledger: QuarantineLedger;
	readonly #handler: SuspectGateHandler;
	/** The suspect that is queued or running, and the status of its fingerprint when it was admitted. */
	#current: {readonly reservation: Reservation; readonly status: FingerprintStatus} | undefined;
	#waiting: Reservation[] = [];

	private constructor(ledger: QuarantineLedger, handler: SuspectGateHandler) {
		this.#ledger = ledger;
		this.#handler = handler;
	}

	/** Decides on a new reservation: it is admitted to the queue, waits for its turn, or is refused. */
	arrived(reservation: Reservation): void {
		const status = this.#ledger.evaluate(reservation.summary.fingerprint);
		switch (status.suspicion) {
			case Suspicion.none: {
				this.#handler.admit(reservation);
				return;
			}

			case Suspicion.quarantined: {
				this.#handler.refuseQuarantined(reservation);
				return;
			}

			case Suspicion.suspect: {
				this.#admitOrHold(reservation, status);
			}
		}
	}

	/** True while the reservation waits at the gate and is not in the queue. */
	isWaiting(reservation: Reservation): boolean {
		return this.#waiting.includes(reservation);
	}

	/** The reservation has been removed from this side; a suspect that ran to completion is cleared. */
	removed(reservation: Reservation, ranToCompletion: boolean): void {
		this.#waiting = this.#waiting.filter(waiting => waiting !== reservation);
		if (this.#current?.reservation !== reservation) {
			return;
		}

		const {status} = this.#current;
		this.#current = undefined;
		if (ranToCompletion) {
			this.#ledger.addRecord(createClearedRecord(reservation.summary.fingerprint, status, Date.now()));
		}

		this.reevaluate([]);
	}

	/** Admits all waiting reservations. Used when the side takes no new requests, so that the queue refuses them. */
	admitAll(): void {
		const waiting = this.#waiting;
		this.#waiting = [];
		for (const reservation of waiting) {
			this.#handler.admit(reservation);
		}
	}

	/** Re-evaluates reservations that are not running: after new quarantine records, or when the gate is free. */
	reevaluate(pending: readonly Reservation[]): void {
		for (const reservation of pending) {
			if (this.#ledger.evaluate(reservation.summary.fingerprint).suspicion === Suspicion.quarantined) {
				this.#handler.refuseQuarantined(reservation);
			}
		}

		const waiting = this.#waiting;
		this.#waiting = [];
		for (const reservation of waiting) {
			this.arrived(reservation);
		}
	}

	#admitOrHold(reservation: Reservation, status: FingerprintStatus): void {
		if (this.#current) {
			this.#waiting.push(reservation);
			return;
		}

		this.#current = {reservation, status};
		this.#handler.admit(reservation);
	}
}
