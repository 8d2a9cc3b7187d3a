import {type Channel} from '../concurrency/index.js';
import {type Failure, type RequestSummary} from '../model/index.js';
import {type Outcome} from '../policy/scheduler/index.js';
import {type Message, type MessageOf} from '../wire/index.js';

/** The connection over which a reservation was made: the number that makes its id unique at this side, and the reservations made over it, by stream. */
export type ReservationLink = {
	readonly number: number;
	readonly reservations: Map<number, Reservation>;
	send(message: Message): void;
};

/** A message from the entry for a running request. */
export type RunInput = MessageOf<'body'> | MessageOf<'credit'> | MessageOf<'cancel'>;

/** The state of a reservation. It only advances down this list, and may end in any state. */
export type ReservationPhase
	= | {readonly type: 'waiting'}
		| {readonly type: 'offered'}
		| {
			readonly type: 'running';
			readonly input: Channel<RunInput>;
			readonly abort: AbortController;
			/** True while parts of the body are still expected. */
			isBodyOpen: boolean;
			stopped?: 'cancelled' | 'preempted';
		};
export type RunningPhase = Extract<ReservationPhase, {type: 'running'}>;

/** How a run at the endpoint ended; `whole` means that the response is complete. */
export type RunResult
	= | {readonly type: 'whole'}
		| {readonly type: 'stopped'}
		| {readonly type: 'failed'; readonly failure: Failure};

/** One request at this side, from `reserve` until it is refused, withdrawn or finished. */
export type Reservation = {
	readonly id: string;
	readonly link: ReservationLink;
	readonly stream: number;
	readonly summary: RequestSummary;
	phase: ReservationPhase;
	readonly arrivedAt: number;
	/** When tokens were last reported to the scheduler, for the time between tokens. */
	progressedAt: number;
	/** Tokens since `progressedAt`. */
	unreportedTokens: number;
	/** True once the first token has been reported. */
	hasProgressed: boolean;
};

/** A reservation that waits since now. */
export function createReservation(link: ReservationLink, {stream, summary}: MessageOf<'reserve'>, now: number): Reservation {
	return {
		id: `${link.number}:${stream}`, link, stream, summary: summary as RequestSummary, phase: {type: 'waiting'}, arrivedAt: now,
		progressedAt: 0, unreportedTokens: 0, hasProgressed: false,
	};
}

/** A message to the entry without `stream` and `request`, which `sendToEntry` adds. */
type MessageContent<Kind extends Message> = Kind extends {stream: number} ? Omit<Kind, 'stream' | 'request'> : never;

/** Sends a message about a reservation, with the stream number and the request id that both ends check. */
export function sendToEntry(reservation: Reservation, message: MessageContent<Message>): void {
	reservation.link.send({...message, stream: reservation.stream, request: reservation.summary.id});
}

/** The outcome of a run, as the scheduler counts it. */
export function outcomeOf(reservation: Reservation, end: RunResult): Outcome {
	switch (end.type) {
		case 'whole': {
			return 'whole';
		}

		case 'failed': {
			return 'failed';
		}

		case 'stopped': {
			return reservation.phase.type === 'running' && reservation.phase.stopped === 'preempted' ? 'preempted' : 'cancelled';
		}
	}
}
