import {type Channel} from 'js-csp';
import {tryDeliver} from './operations.js';

/** The event that an `Alarm` puts into its inbox when it fires. */
export type AlarmEvent = {readonly type: 'alarm'};

/**
 * The single timer of a request. If the timer fires just before it is reset, its event is still queued in
 * the inbox, and acting on it would abort an attempt that makes progress. `set` therefore clears `hasFired`,
 * so that the receiver of the event can tell that it is stale.
 *
 * Timers run before the sockets are read: in a late loop the answer that the alarm is set for may lie in the kernel when its time is over. The alarm
 * therefore fires a turn of the event loop later, and what was read in that turn comes first.
 */
export class Alarm implements Disposable {
	static create(inbox: Channel<AlarmEvent>): Alarm {
		return new Alarm(inbox);
	}

	readonly #inbox: Channel<AlarmEvent>;
	#timer: NodeJS.Timeout | undefined;
	#lastTurn: NodeJS.Timeout | undefined;
	#milliseconds = 0;
	#fired = false;

	private constructor(inbox: Channel<AlarmEvent>) {
		this.#inbox = inbox;
	}

	get hasFired(): boolean {
		return this.#fired;
	}

	/** Starts or restarts the timer, which then fires after `milliseconds`, never earlier; a previous setting is replaced. */
	set(milliseconds: number): void {
		this.#fired = false;
		clearTimeout(this.#lastTurn);
		if (this.#timer !== undefined && this.#milliseconds === milliseconds) {
			this.#timer.refresh();
			return;
		}

		clearTimeout(this.#timer);
		this.#milliseconds = milliseconds;
		this.#timer = setTimeout(() => {
			this.#awaitLastTurn();
		}, Math.max(0, milliseconds));
	}

	[Symbol.dispose](): void {
		clearTimeout(this.#timer);
		clearTimeout(this.#lastTurn);
		this.#timer = undefined;
	}

	#awaitLastTurn(): void {
		this.#lastTurn = setTimeout(() => {
			this.#fire();
		}, 0);
	}

	#fire(): void {
		this.#fired = true;
		tryDeliver(this.#inbox, {type: 'alarm'});
	}
}
