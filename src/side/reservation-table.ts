import {type Reservation} from './reservation.js';

/** The reservations of one side, by id: queued, offered or running. */
export class ReservationTable {
	static create(): ReservationTable {
		return new ReservationTable();
	}

	readonly #reservations = new Map<string, Reservation>();
	#onIdle: (() => void) | undefined;

	private constructor() {
		// Starts empty.
	}

	get isEmpty(): boolean {
		return this.#reservations.size === 0;
	}

	/** Those that don't run. */
	get pending(): readonly Reservation[] {
		return [...this.#reservations.values()].filter(({phase}) => phase.type !== 'running');
	}

	/** Fingerprints of the requests that run at the endpoint. */
	get runningFingerprints(): readonly string[] {
		return [...this.#reservations.values()].filter(({phase}) => phase.type === 'running').map(({summary}) => summary.fingerprint);
	}

	get(id: string): Reservation | undefined {
		return this.#reservations.get(id);
	}

	has({id}: Reservation): boolean {
		return this.#reservations.has(id);
	}

	add(reservation: Reservation): void {
		reservation.link.reservations.set(reservation.stream, reservation);
		this.#reservations.set(reservation.id, reservation);
	}

	remove(reservation: Reservation): void {
		this.#reservations.delete(reservation.id);
		reservation.link.reservations.delete(reservation.stream);
	}

	/** Calls `idle`'s waiter if no request runs and no slot is offered any more. */
	notifyIfIdle(): void {
		if (this.#countBusy() === 0) {
			this.#onIdle?.();
		}
	}

	/** Resolves once no request runs and no slot is offered. */
	async idle(): Promise<void> {
		if (this.#countBusy() === 0) {
			return;
		}

		await new Promise<void>(resolve => {
			this.#onIdle = resolve;
		});
	}

	#countBusy(): number {
		return [...this.#reservations.values()].filter(({phase}) => phase.type !== 'waiting').length;
	}
}
