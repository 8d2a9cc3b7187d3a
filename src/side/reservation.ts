import {type Channel} from '../concurrency/index.js';
import {type Failure, type RequestSummary} from '../model/index.js';
import {type Message, type MessageOf} from '../wire/index.js';
import {type EntryLink} from './entry-link.js';

/** What a running request hears from its entry. */
export type RunInput = MessageOf<'body'> | MessageOf<'credit'> | MessageOf<'cancel'>;

/** Where a reservation stands. It only moves down this list, and leaves the side from any line. */
export type ReservationPhase
	= | {readonly type: 'waiting'}
		| {readonly type: 'offered'}
		| {
			readonly type: 'running';
			readonly input: Channel<RunInput>;
			readonly abort: AbortController;
			/** True while parts of the body are still to come. */
			isBodyOpen: boolean;
			stopped?: 'cancelled' | 'preempted';
		};
export type RunningPhase = Extract<ReservationPhase, {type: 'running'}>;

/** How a run at the endpoint ended. */
export type RunEnd
	= | {readonly type: 'whole'}
		| {readonly type: 'stopped'}
		| {readonly type: 'failed'; readonly failure: Failure};

/** One request at this side, from `reserve` until it was refused, withdrawn or finished. */
export type Reservation = {
	readonly id: string;
	readonly link: EntryLink;
	readonly stream: number;
	readonly summary: RequestSummary;
	phase: ReservationPhase;
	readonly arrivedAt: number;
	/** When the scheduler last heard of tokens, for the time between tokens. */
	progressedAt: number;
	/** Tokens since then. */
	unreportedTokens: number;
	/** True once the first token has been reported. */
	hasProgressed: boolean;
};

/** A message to the entry, without the stream and request that `toEntry` adds. */
type Unaddressed<Kind extends Message> = Kind extends {stream: number} ? Omit<Kind, 'stream' | 'request'> : never;

/** Sends a message about a reservation, with the two numbers that both ends check. */
export function toEntry(reservation: Reservation, message: Unaddressed<Message>): void {
	reservation.link.send({...message, stream: reservation.stream, request: reservation.summary.id});
}
