import {type Channel, tryDeliver} from '../../concurrency/index.js';
import {type EndpointRecord} from '../../routing/index.js';
import {type Decision} from '../placement/index.js';
import {type PlacedDecision} from './attempt-state.js';
import {type ExchangeEvent} from './exchange-options.js';
import {type NextAttempt, type PlacementSubmission} from './placement-submission.js';

/** A place at the next endpoint, and how long the request waited for it beside its attempt. */
export type Successor = {readonly decision: PlacedDecision; readonly waitedMilliseconds: number};

type SearchState
	= | {readonly type: 'none' | 'refused'}
		| {readonly type: 'waiting'; readonly id: string; readonly since: number}
		| {readonly type: 'placed'; readonly successor: Successor};

export type SuccessorSearchOptions = {readonly submission: PlacementSubmission; readonly inbox: Channel<ExchangeEvent>};

/**
 * The search of a stream that has begun for its next endpoint, while the attempt at a silent one goes on. An attempt that ended first would leave the stream
 * in the line, where its time or the instance's stop ends it, although the endpoint might still have gone on.
 */
export class SuccessorSearch {
	static create(options: SuccessorSearchOptions): SuccessorSearch {
		return new SuccessorSearch(options);
	}

	readonly #options: SuccessorSearchOptions;
	#state: SearchState = {type: 'none'};

	private constructor(options: SuccessorSearchOptions) {
		this.#options = options;
	}

	/** What the search has come to; an event tells the request's process each time that it is decided. */
	get progress(): SearchState['type'] {
		return this.#state.type;
	}

	/** The endpoint of the place that was found, if one was. */
	get record(): EndpointRecord | undefined {
		return this.#state.type === 'placed' ? this.#state.successor.decision.record : undefined;
	}

	/** Asks for a place under an id, which the request uses for nothing else meanwhile. */
	begin(id: string, next: NextAttempt): void {
		const since = performance.now();
		this.#state = {type: 'waiting', id, since};
		this.#options.submission.submit(id, next, decision => {
			this.#handle(decision, since);
		});
	}

	/** Hands over the place that was found, if one was. */
	take(): Successor | undefined {
		if (this.#state.type !== 'placed') {
			return undefined;
		}

		const {successor} = this.#state;
		this.#state = {type: 'none'};
		return successor;
	}

	/** Leaves the line, and releases a place that nobody takes. */
	cancel(): void {
		const state = this.#state;
		this.#state = {type: 'none'};
		if (state.type === 'waiting') {
			this.#options.submission.cancel(state.id);
		} else if (state.type === 'placed') {
			this.#options.submission.release(state.successor.decision);
		}
	}

	#handle(decision: Decision, since: number): void {
		this.#state = decision.type === 'placed'
			? {type: 'placed', successor: {decision, waitedMilliseconds: performance.now() - since}}
			: {type: 'refused'};
		tryDeliver(this.#options.inbox, {type: 'successor'});
	}
}
