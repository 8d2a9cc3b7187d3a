import {Verdict, withoutLength} from '../../model/index.js';
import {type RequestCodec} from '../adapter/index.js';
import {type AttemptEvent} from './attempt.js';
import {type AttemptState, type Outcome, type PaceWindow, type PauseCircumstances} from './attempt-state.js';
import {type Caller} from './caller.js';
import {isNextEventId} from './event-id.js';
import {type StreamEvent} from './event-splitter.js';

export type ResponseForwarderOptions = {
	readonly caller: Caller;
	readonly codec: RequestCodec;
	/** Whether a stream may go on at another endpoint, after the last event that its caller was sent. */
	readonly isResumable: boolean;
	/** Called at the first event of an attempt. */
	readonly onFirstEvent: (state: AttemptState) => void;
	/** Called with what the events of an attempt show of its endpoint's pace. */
	readonly onPace: (state: AttemptState, window: PaceWindow) => void;
	/** Asked when a pause is the longest of its attempt. */
	readonly pauseCircumstances: (state: AttemptState) => PauseCircumstances;
	/** Called when the caller has read what was written. */
	readonly onDrained: () => void;
};

/** A response up to this size is buffered until it is complete, so that the request can still be retried if it is truncated. */
const maxBufferedBytes = 512 * 1024;
const longestLoggedId = 64;

/**
 * Forwards the responses of endpoints to the caller: each event of a stream once it is complete, other responses once they are
 * complete or exceed the size limit of the buffer. The caller receives the output of several attempts as one response without gaps
 * or repeated events.
 */
export class ResponseForwarder {
	static create(options: ResponseForwarderOptions): ResponseForwarder {
		return new ResponseForwarder(options);
	}

	/** When the caller got its first event, from any attempt. */
	firstEventAt: number | undefined;
	/** Id of the last event that the caller was sent. */
	lastEventId: string | undefined;
	/** True while the caller reads too slowly and the endpoint's stream is paused. */
	isPaused = false;
	readonly #options: ResponseForwarderOptions;

	private constructor(options: ResponseForwarderOptions) {
		this.#options = options;
	}

	/** Handles an event of an attempt; a returned outcome ends the attempt. */
	handle(state: AttemptState, event: AttemptEvent): Outcome | undefined {
		switch (event.type) {
			case 'head': {
				return state.handleHead(event) ?? this.#failureAfterBegin(state);
			}

			case 'data': {
				return this.#handleData(state, event.bytes);
			}

			case 'end': {
				return this.#handleEnd(state);
			}

			case 'broken': {
				return {type: 'failed', verdict: event.verdict, reason: event.reason, connection: event.verdict === Verdict.notRun ? 'none' : 'broken'};
			}
		}
	}

	/** An answer that is no stream cannot follow the events that the caller was sent: its status would be a second one, at which Node throws. */
	#failureAfterBegin({isStream, status}: AttemptState): Outcome | undefined {
		return this.#options.caller.hasResponse && !isStream
			? {type: 'failed', verdict: Verdict.ran, reason: `status ${status} after the response had begun`}
			: undefined;
	}

	#handleData(state: AttemptState, bytes: Uint8Array): Outcome | undefined {
		if (state.isStream) {
			return this.#handleEvents(state, bytes);
		}

		state.recordSign(performance.now());
		if (state.isForwarding) {
			this.#write(state, bytes);
			return undefined;
		}

		state.buffer(bytes);
		if (state.bufferedBytes > maxBufferedBytes || state.holdsTooMuch) {
			this.#options.caller.writeHead(state.status, this.#options.codec.responseHeaders(state.rawHeaders));
			this.#write(state, state.takeBuffered());
			state.isForwarding = true;
		}

		return undefined;
	}

	#handleEvents(state: AttemptState, bytes: Uint8Array): Outcome | undefined {
		let events;
		try {
			events = state.splitEvents(bytes);
		} catch (error) {
			return {type: 'failed', verdict: Verdict.mayHaveRun, reason: String(error)};
		}

		for (const event of events) {
			this.#recordEvent(state);
			if (!isNextEventId(event.id, {last: this.lastEventId, isResumable: this.#options.isResumable})) {
				return {type: 'failed', verdict: Verdict.mayHaveRun, reason: `event ${JSON.stringify(event.id?.slice(0, longestLoggedId))} after ${this.lastEventId}`};
			}

			this.#forwardEvent(state, event);
		}

		return state.holdsTooMuch ? {type: 'failed', verdict: Verdict.mayHaveRun, reason: 'no memory for an event that does not end'} : undefined;
	}

	/** Records that an event arrived, and what it shows of the endpoint's pace. */
	#recordEvent(state: AttemptState): void {
		const now = performance.now();
		if (state.firstEventAt === undefined) {
			this.#options.onFirstEvent(state);
			this.firstEventAt ??= now;
		}

		const pace = state.recordEvent(now, () => this.#options.pauseCircumstances(state));
		if (pace !== undefined) {
			this.#options.onPace(state, pace);
		}
	}

	#forwardEvent(state: AttemptState, {id, bytes}: StreamEvent): void {
		this.#beginStream(state);
		this.lastEventId = id ?? this.lastEventId;
		this.#write(state, bytes);
	}

	/** A stream may go on at another endpoint, so that what the first one says of its length holds for its own part at most. */
	#beginStream({status, rawHeaders}: AttemptState): void {
		const {caller, codec} = this.#options;
		if (!caller.hasResponse) {
			caller.writeHead(status, codec.responseHeaders(withoutLength(rawHeaders)));
		}
	}

	#write(state: AttemptState, bytes: Uint8Array): void {
		const canWriteMore = this.#options.caller.write(bytes, this.#options.onDrained);
		if (!canWriteMore && !this.isPaused) {
			this.isPaused = true;
			state.skipPace();
			state.attempt.pause();
		}
	}

	#handleEnd(state: AttemptState): Outcome {
		const {caller, codec} = this.#options;
		if (state.isForwarding) {
			caller.end();
			return {type: 'done'};
		}

		if (state.isStream) {
			return this.#endStream(state);
		}

		const response = {status: state.status, headers: state.rawHeaders, body: state.takeBuffered()};
		if (state.isServerError) {
			return {type: 'failed', verdict: Verdict.ran, reason: `status ${state.status}`, endpointResponse: response};
		}

		caller.writeHead(response.status, codec.responseHeaders(response.headers));
		caller.end(response.body);
		return {type: 'done'};
	}

	#endStream(state: AttemptState): Outcome {
		if (state.unfinishedBytes > 0) {
			return {type: 'failed', verdict: Verdict.mayHaveRun, reason: 'ended within an event'};
		}

		this.#beginStream(state);
		this.#options.caller.end();
		return {type: 'done'};
	}
}
