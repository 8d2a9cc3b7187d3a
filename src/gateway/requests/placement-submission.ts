import {type Demand} from '../../policy/dispatch/index.js';
import {type Decision} from '../placement/index.js';
import {type PlacedDecision} from './attempt-state.js';
import {type ExchangeOptions} from './exchange-options.js';
import {placementRequestOf} from './placement-request.js';
import {type RequestEnd} from './request-end.js';
import {minRunMilliseconds} from './retry-progress.js';

export type PlacementSubmissionOptions = {readonly exchange: ExchangeOptions; readonly demand: Demand; readonly end: RequestEnd};

/** What the attempts of a request so far require of its next endpoint. */
export type NextAttempt = {readonly excluded: ReadonlySet<string>; readonly build: string | undefined; readonly isIdempotent: boolean; readonly hasAttempt?: boolean};

/** What one request asks of the dispatcher. */
export class PlacementSubmission {
	static create(options: PlacementSubmissionOptions): PlacementSubmission {
		return new PlacementSubmission(options);
	}

	readonly #options: PlacementSubmissionOptions;

	private constructor(options: PlacementSubmissionOptions) {
		this.#options = options;
	}

	/** Asks for a place under an id; the decision may come at once. */
	submit(id: string, next: NextAttempt, onDecision: (decision: Decision) => void): void {
		const {demand, end, exchange} = this.#options;
		const {dispatcher, caller, route, arrivedAt, codec} = exchange;
		const expectedDisconnectAt = caller.hasResponse ? Infinity : arrivedAt + codec.patienceMilliseconds(route);
		dispatcher.submit({
			...placementRequestOf(exchange, demand),
			...next,
			id,
			lastStartAt: Math.min(end.at - minRunMilliseconds, end.lastStartAt, expectedDisconnectAt),
			onDecision,
		});
	}

	/** Leaves the line. */
	cancel(id: string): void {
		this.#options.exchange.dispatcher.cancel(id);
	}

	/** Releases a place that is not used. */
	release({runId}: PlacedDecision): void {
		this.#options.exchange.dispatcher.recordEnd(runId);
	}
}
