import {type QuarantineLedger} from '../platform/index.js';
import {createClearedRecord, Suspicion, type FingerprintStatus} from '../policy/quarantine/index.js';
import {type Reservation} from './reservation.js';

/** What the gate asks of its side. */
export type SuspectGateOwner = {
	/** Puts the reservation into the queue. */
	admit(reservation: Reservation): void;
	/** Refuses a reservation whose body has not been passed to the endpoint. */
	refuseQuarantined(reservation: Reservation): void;
};

/**
 * Lets one suspect at a time into the queue. All entries send a suspect to the same side, so that
 * one endpoint at a time is risked for it across the fleet; and if that one dies with a single
 * suspect running, no other suspect is accused with it.
 */
export class SuspectGate {
	static create(ledger: QuarantineLedger, owner: SuspectGateOwner): SuspectGate {
		return new SuspectGate(ledger, owner);
	}

	readonly #ledger: QuarantineLedger;
	readonly #owner: SuspectGateOwner;
	/** The suspect that is in the queue or runs, and what was held against it when it came in. */
	#current: {readonly reservation: Reservation; readonly judgement: FingerprintStatus} | undefined;
	#waiting: Reservation[] = [];

	private constructor(ledger: QuarantineLedger, owner: SuspectGateOwner) {
		this.#ledger = ledger;
		this.#owner = owner;
	}

	/** Decides about a reservation that has come: into the queue, to wait for its turn, or refused. */
	arrived(reservation: Reservation): void {
		const judgement = this.#ledger.evaluate(reservation.summary.fingerprint);
		switch (judgement.suspicion) {
			case Suspicion.none: {
				this.#owner.admit(reservation);
				return;
			}

			case Suspicion.quarantined: {
				this.#owner.refuseQuarantined(reservation);
				return;
			}

			case Suspicion.suspect: {
				this.#arrivedSuspect(reservation, judgement);
			}
		}
	}

	/** True while the reservation waits here and the queue does not know it. */
	holds(reservation: Reservation): boolean {
		return this.#waiting.includes(reservation);
	}

	/** The reservation is no longer at this side; a suspect that ran to its end is cleared. */
	left(reservation: Reservation, ranWhole: boolean): void {
		this.#waiting = this.#waiting.filter(waiting => waiting !== reservation);
		if (this.#current?.reservation !== reservation) {
			return;
		}

		const {judgement} = this.#current;
		this.#current = undefined;
		if (ranWhole) {
			this.#ledger.addRecord(createClearedRecord(reservation.summary.fingerprint, judgement, Date.now()));
		}

		this.review([]);
	}

	/** The side takes no new work: the queue refuses what waited here. */
	open(): void {
		const waiting = this.#waiting;
		this.#waiting = [];
		for (const reservation of waiting) {
			this.#owner.admit(reservation);
		}
	}

	/** Judges again what has not begun, after news or when the gate is free. */
	review(notBegun: readonly Reservation[]): void {
		for (const reservation of notBegun) {
			if (this.#ledger.evaluate(reservation.summary.fingerprint).suspicion === Suspicion.quarantined) {
				this.#owner.refuseQuarantined(reservation);
			}
		}

		const waiting = this.#waiting;
		this.#waiting = [];
		for (const reservation of waiting) {
			this.arrived(reservation);
		}
	}

	#arrivedSuspect(reservation: Reservation, judgement: FingerprintStatus): void {
		if (this.#current) {
			this.#waiting.push(reservation);
			return;
		}

		this.#current = {reservation, judgement};
		this.#owner.admit(reservation);
	}
}
