import {type Channel} from 'js-csp';
import {tryDeliver} from './operations.js';

/** What an alarm puts into its inbox. */
export type AlarmEvent = {readonly type: 'alarm'};

/**
 * The one timer of a request. Failure: an alarm that fired just before it was set anew still waits
 * in the inbox. Symptom: an attempt that makes progress is given up. `hasFired` is false again from
 * the moment that the alarm is set, so whoever takes the event can tell that it is stale.
 */
export class Alarm implements Disposable {
	static create(inbox: Channel<AlarmEvent>): Alarm {
		return new Alarm(inbox);
	}

	readonly #inbox: Channel<AlarmEvent>;
	#timer: NodeJS.Timeout | undefined;
	#milliseconds = 0;
	#fired = false;

	private constructor(inbox: Channel<AlarmEvent>) {
		this.#inbox = inbox;
	}

	get hasFired(): boolean {
		return this.#fired;
	}

	/** Fires so long from now, and no earlier; replaces what was set before. */
	set(milliseconds: number): void {
		this.#fired = false;
		if (this.#timer !== undefined && this.#milliseconds === milliseconds) {
			this.#timer.refresh();
			return;
		}

		clearTimeout(this.#timer);
		this.#milliseconds = milliseconds;
		this.#timer = setTimeout(() => {
			this.#fire();
		}, Math.max(0, milliseconds));
	}

	[Symbol.dispose](): void {
		clearTimeout(this.#timer);
		this.#timer = undefined;
	}

	#fire(): void {
		this.#fired = true;
		tryDeliver(this.#inbox, {type: 'alarm'});
	}
}
