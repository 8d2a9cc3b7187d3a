import {Timeout} from '../concurrency/index.js';
import {type EngineEvent} from './engine-event.js';

/** With this many events in the queue, the connection is not read until the consumer takes them. */
const highWaterMarkEvents = 256;

/** What `take` returns: the events of one turn, the end of the stream, or that no event arrived in time. */
export type TakeResult = {readonly type: 'events'; readonly events: EngineEvent[]} | {readonly type: 'ended'} | {readonly type: 'silent'};

/**
 * Buffers events between the connection and the consumer. All events of one turn of the event loop are
 * taken as one array, so that the cost of waking the consumer is not paid for every token.
 */
export class EventQueue {
	static create(): EventQueue {
		return new EventQueue();
	}

	#events: EngineEvent[] = [];
	#ended = false;
	#resolveWait: (() => void) | undefined;

	private constructor() {
		// Use `create`.
	}

	get isFull(): boolean {
		return this.#events.length >= highWaterMarkEvents;
	}

	get isEnded(): boolean {
		return this.#ended;
	}

	push(event: EngineEvent): void {
		if (this.#ended) {
			return;
		}

		this.#events.push(event);
		this.#notify();
	}

	/** Ends the queue: later events are ignored, queued ones can still be taken. */
	end(): void {
		this.#ended = true;
		this.#notify();
	}

	async take(idleTimeoutMilliseconds: number): Promise<TakeResult> {
		if (this.#events.length === 0 && !this.#ended) {
			await this.#waitForChange(idleTimeoutMilliseconds);
		}

		if (this.#events.length > 0) {
			const events = this.#events;
			this.#events = [];
			return {type: 'events', events};
		}

		return this.#ended ? {type: 'ended'} : {type: 'silent'};
	}

	#waitForChange(idleTimeoutMilliseconds: number): Promise<void> {
		return new Promise<void>(resolve => {
			const timeout = Timeout.start(idleTimeoutMilliseconds, () => {
				resolve();
			});
			this.#resolveWait = () => {
				timeout[Symbol.dispose]();
				resolve();
			};
		});
	}

	#notify(): void {
		this.#resolveWait?.();
		this.#resolveWait = undefined;
	}
}
