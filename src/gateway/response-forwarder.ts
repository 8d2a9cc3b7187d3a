import {Verdict} from '../model/index.js';
import {type AttemptEvent} from './attempt.js';
import {type AttemptFollower, type Outcome} from './attempt-state.js';
import {type Caller} from './caller.js';
import {type RequestCodec} from './types.js';

export type AnswerPasserOptions = {
	readonly caller: Caller;
	readonly codec: RequestCodec;
	/** An attempt's first event came. */
	readonly onFirstEvent: (follower: AttemptFollower) => void;
	/** The caller has caught up with what was written. */
	readonly onDrained: () => void;
};

/** An answer up to this size is held until it is whole, so that one cut short can still be asked for again. */
const heldBytes = 512 * 1024;

/**
 * Passes what endpoints answer on to the caller: whole events as they come, other answers once they are whole or large. What it passes of
 * several attempts is one answer without a gap or a repeat.
 */
export class AnswerPasser {
	static create(options: AnswerPasserOptions): AnswerPasser {
		return new AnswerPasser(options);
	}

	/** When the caller's first event came, from whichever attempt. */
	firstEventAt: number | undefined;
	/** The last event that the caller has. */
	lastEventId: string | undefined;
	/** True while the caller reads too slowly, and its endpoint is held up. */
	isPaused = false;
	readonly #options: AnswerPasserOptions;

	private constructor(options: AnswerPasserOptions) {
		this.#options = options;
	}

	/** Takes what one attempt has met; an outcome ends the attempt. */
	take(follower: AttemptFollower, event: AttemptEvent): Outcome | undefined {
		switch (event.type) {
			case 'head': {
				return follower.head(event);
			}

			case 'data': {
				return this.#takeData(follower, event.bytes);
			}

			case 'end': {
				return this.#takeEnd(follower);
			}

			case 'broken': {
				return {type: 'failed', verdict: event.verdict, reason: event.reason, isUnsent: event.verdict === Verdict.notRun};
			}
		}
	}

	#takeData(follower: AttemptFollower, bytes: Uint8Array): Outcome | undefined {
		if (follower.isPassing) {
			this.#write(follower, bytes);
			return undefined;
		}

		if (follower.isStream) {
			return this.#takeEvents(follower, bytes);
		}

		follower.hold(bytes);
		if (follower.heldBytes > heldBytes) {
			this.#options.caller.head(follower.status, this.#options.codec.responseHeaders(follower.rawHeaders));
			this.#write(follower, follower.takeHeld());
			follower.isPassing = true;
		}

		return undefined;
	}

	#takeEvents(follower: AttemptFollower, bytes: Uint8Array): Outcome | undefined {
		const {caller, codec, onFirstEvent} = this.#options;
		let events;
		try {
			events = follower.splitter.push(bytes);
		} catch (error) {
			return {type: 'failed', verdict: Verdict.mayHaveRun, reason: String(error)};
		}

		for (const event of events) {
			const now = performance.now();
			if (follower.firstEventAt === undefined) {
				onFirstEvent(follower);
				this.firstEventAt ??= now;
			}

			follower.event(now);
			if (!isAfter(event.id, this.lastEventId)) {
				return {type: 'failed', verdict: Verdict.mayHaveRun, reason: `event ${event.id} after ${this.lastEventId}`};
			}

			if (!caller.hasAnswer) {
				caller.head(follower.status, codec.responseHeaders(follower.rawHeaders));
			}

			this.lastEventId = event.id ?? this.lastEventId;
			this.#write(follower, event.bytes);
		}

		return undefined;
	}

	#write(follower: AttemptFollower, bytes: Uint8Array): void {
		const hasRoom = this.#options.caller.write(bytes, this.#options.onDrained);
		if (!hasRoom && !this.isPaused) {
			this.isPaused = true;
			follower.attempt.pause();
		}
	}

	#takeEnd(follower: AttemptFollower): Outcome {
		const {caller, codec} = this.#options;
		if (follower.isPassing) {
			caller.end();
			return {type: 'done'};
		}

		if (follower.isStream) {
			return this.#endStream(follower);
		}

		const answer = {status: follower.status, headers: follower.rawHeaders, body: follower.takeHeld()};
		if (follower.isFailure) {
			return {type: 'failed', verdict: Verdict.ran, reason: `status ${follower.status}`, endpointAnswer: answer};
		}

		caller.head(answer.status, codec.responseHeaders(answer.headers));
		caller.end(answer.body);
		return {type: 'done'};
	}

	#endStream(follower: AttemptFollower): Outcome {
		const {caller, codec} = this.#options;
		if (follower.splitter.rest.length > 0) {
			return {type: 'failed', verdict: Verdict.mayHaveRun, reason: 'ended within an event'};
		}

		if (!caller.hasAnswer) {
			caller.head(follower.status, codec.responseHeaders(follower.rawHeaders));
		}

		caller.end();
		return {type: 'done'};
	}
}

/** Event ids that are numbers only rise; others say nothing. */
function isAfter(id: string | undefined, last: string | undefined): boolean {
	if (id === undefined || last === undefined || !/^\d+$/v.test(id) || !/^\d+$/v.test(last)) {
		return true;
	}

	return Number(id) === Number(last) + 1;
}
