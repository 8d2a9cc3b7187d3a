import {type EngineEvent} from './engine-event.js';

/** Past so many events that nobody took, the connection is not read until the consumer comes. */
const pauseAtEvents = 256;

/** What a queue says to its consumer: events of one turn, the end, or that nothing came in time. */
export type Turn = {readonly type: 'events'; readonly events: EngineEvent[]} | {readonly type: 'ended'} | {readonly type: 'silent'};

/**
 * Events between the connection and the consumer. All that came in one turn of the event loop are
 * taken as one array, which keeps the cost of a hop off each single token.
 */
export class EventQueue {
	static create(): EventQueue {
		return new EventQueue();
	}

	#events: EngineEvent[] = [];
	#ended = false;
	#notify: (() => void) | undefined;

	private constructor() {
		// Made by `create` alone.
	}

	get isFull(): boolean {
		return this.#events.length >= pauseAtEvents;
	}

	get isEnded(): boolean {
		return this.#ended;
	}

	push(event: EngineEvent): void {
		if (this.#ended) {
			return;
		}

		this.#events.push(event);
		this.#wake();
	}

	/** Nothing is taken in after this; what is there can still be taken out. */
	end(): void {
		this.#ended = true;
		this.#wake();
	}

	async take(silenceMilliseconds: number): Promise<Turn> {
		if (this.#events.length === 0 && !this.#ended) {
			await this.#next(silenceMilliseconds);
		}

		if (this.#events.length > 0) {
			const events = this.#events;
			this.#events = [];
			return {type: 'events', events};
		}

		return this.#ended ? {type: 'ended'} : {type: 'silent'};
	}

	#next(silenceMilliseconds: number): Promise<void> {
		return new Promise<void>(resolve => {
			const timer = setTimeout(resolve, silenceMilliseconds);
			this.#notify = () => {
				clearTimeout(timer);
				resolve();
			};
		});
	}

	#wake(): void {
		this.#notify?.();
		this.#notify = undefined;
	}
}
