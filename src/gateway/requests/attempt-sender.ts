import {type Channel, tryDeliver} from '../../concurrency/index.js';
import {RouteKind} from '../../routing/index.js';
import {Attempt, type AttemptEvent} from './attempt.js';
import {AttemptState, type Outcome, type PlacedDecision} from './attempt-state.js';
import {outcomeAtEnd} from './attempt-timeouts.js';
import {type ExchangeEvent, type ExchangeOptions} from './exchange-options.js';
import {reportResponse} from './outcome-report.js';
import {type RequestEnd} from './request-end.js';
import {type ResponseForwarder} from './response-forwarder.js';

export type AttemptSenderOptions = {readonly exchange: ExchangeOptions; readonly end: RequestEnd; readonly forwarder: ResponseForwarder; readonly inbox: Channel<ExchangeEvent>};

/** One attempt that is to be sent: where, as which of its request's attempts, and for how long. */
export type NewAttempt = {readonly decision: PlacedDecision; readonly number: number; readonly remainingMilliseconds: number};

/** Sends a request to the endpoints that are chosen for it, and forwards what they answer. What ends an attempt goes to the inbox of the request's process. */
export class AttemptSender {
	static create(options: AttemptSenderOptions): AttemptSender {
		return new AttemptSender(options);
	}

	readonly #options: AttemptSenderOptions;

	private constructor(options: AttemptSenderOptions) {
		this.#options = options;
	}

	/** Sends the request to the endpoint that was chosen for it. */
	send({decision, number, remainingMilliseconds}: NewAttempt): AttemptState {
		const {exchange, forwarder} = this.#options;
		const {dispatcher, connectionPools, codec, facts, rawHeaders, workspace, route, table, crashes, responseMemory, request: {method, path, body}} = exchange;
		const {record, fetch} = decision;
		const attempt = Attempt.start({
			address: record.address,
			method,
			path,
			headers: codec.requestHeaders({
				rawHeaders, bodyBytes: body?.length, endpoint: record.id, workspace,
				remainingMilliseconds: Math.floor(remainingMilliseconds), resumeAfter: forwarder.lastEventId, fetchFrom: fetch?.address, route,
			}),
			body,
			mayRunAgain: route.kind === RouteKind.safe || (route.kind === RouteKind.stream && route.resumable),
			connectionPool: connectionPools.forEndpoint(record, table.service(record.service)?.largestConnections),
			onEvent: event => {
				this.#passEvent(state, event);
			},
		});
		const state: AttemptState = AttemptState.create({attempt, number, decision, isStream: route.kind === RouteKind.stream, requestId: facts.id, codec, memory: responseMemory, onHead(response) {
			reportResponse(dispatcher, crashes, state, response);
		}});
		return state;
	}

	/** An error here would be thrown into Node's reading of the connection, which ends the program; it is thrown in the process of this request instead. */
	#passEvent(state: AttemptState, event: AttemptEvent): void {
		try {
			this.#handleEvent(state, event);
		} catch (error) {
			state.attempt.cancel();
			tryDeliver(this.#options.inbox, {type: 'error', error});
		}
	}

	/** Forwards what an attempt brings in the turn of the event loop in which it arrives. */
	#handleEvent(state: AttemptState, event: AttemptEvent): void {
		const {forwarder, end, exchange: {caller, crashes: {monitor}}} = this.#options;
		if (event.type === 'data' && monitor.isWatching) {
			monitor.recordResponse(state.decision.record, state.startedAt, performance.now());
		}

		const outcome = forwarder.handle(state, event);
		if (outcome !== undefined) {
			this.#endAttempt(state, outcome);
		} else if (caller.hasResponse && outcomeAtEnd(end, performance.now()) !== undefined) {
			setImmediate(() => {
				this.#endIfOver(state);
			});
		}
	}

	/**
	 * Ends an answer that has begun behind the turn of the event loop that reads beyond its time: in a late loop the alarm comes several turns later. The
	 * rest of what that turn reads may be the end of the answer.
	 */
	#endIfOver(state: AttemptState): void {
		const {end, exchange: {caller}} = this.#options;
		const outcome = state.hasOutcome ? undefined : outcomeAtEnd(end, performance.now());
		if (outcome !== undefined) {
			this.#endAttempt(state, outcome);
			// The request's process takes the outcome in a later turn.
			caller.abort();
		}
	}

	#endAttempt(state: AttemptState, outcome: Outcome): void {
		state.attempt.cancel();
		state.hasOutcome = true;
		tryDeliver(this.#options.inbox, {type: 'outcome', number: state.number, outcome});
	}
}
