import {type Body, channel, type Channel, receive, spawn, tryDeliver, wait} from '../concurrency/index.js';
import {type ServiceClient} from '../endpoint/index.js';
import {
	createFailure, type Failure, FailureKind, RequestError, Verdict,
} from '../model/index.js';
import {maximumPartBytes, type MessageOf} from '../wire/index.js';
import {BodyParts} from './body-parts.js';
import {CreditWindow} from './credit-window.js';
import {type Reservation, type RunEnd, type RunInput, type RunningPhase, toEntry} from './reservation.js';

/** Credits and a cancellation that may wait for the run; the entry's window bounds them. */
const controlCapacity = 1000;

/** One call of a plain service that is to run here. */
export type ServiceRun = {
	readonly service: ServiceClient;
	readonly reservation: Reservation;
	readonly phase: RunningPhase;
	readonly start: MessageOf<'start'>;
};

/**
 * Passes a call to the service and its answer to the entry, bodies in parts both ways, each way
 * within a window. The entry hears `end` only after the service's body ended cleanly.
 */
export function * runService(run: ServiceRun): Body<RunEnd> {
	const {service, reservation, phase, start} = run;
	const parts = BodyParts.create(taken => {
		toEntry(reservation, {type: 'credit', events: taken});
	});
	if (start.more) {
		parts.push(start.body);
	}

	const control = channel<RunInput>(controlCapacity);
	void spawn('service-input', () => sortInput(phase, parts, control));
	try {
		const answer = yield * wait(service.call({
			requestId: reservation.summary.id,
			method: start.method,
			path: start.path,
			headers: start.headers,
			body: start.more ? parts : start.body,
			idempotencyKey: start.headers['idempotency-key'],
			signal: phase.abort.signal,
		}));
		if (phase.stopped !== undefined) {
			return {type: 'stopped'};
		}

		if (answer.type === 'failed') {
			return answer;
		}

		toEntry(reservation, {type: 'head', status: answer.status, headers: answer.headers});
		return yield * passAnswer(run, answer.body, CreditWindow.create(start.credit, control));
	} finally {
		// Ends the input's process; the channel stays open, since a late credit is no fault of the entry.
		tryDeliver(phase.input, {type: 'cancel', stream: reservation.stream, request: reservation.summary.id});
	}
}

/** Sends body parts one way and everything else the other, until the run is cancelled or over. */
function * sortInput(phase: RunningPhase, parts: BodyParts, control: Channel<RunInput>): Body<void> {
	for (;;) {
		const message = yield * receive(phase.input);
		if (message?.type === 'body') {
			parts.push(message.bytes);
			if (message.last) {
				phase.isBodyOpen = false;
				parts.end('whole');
			}

			continue;
		}

		if (message !== undefined) {
			tryDeliver(control, message);
		}

		if (message === undefined || message.type === 'cancel') {
			parts.end('broken');
			return;
		}
	}
}

function * passAnswer({reservation, phase}: ServiceRun, body: AsyncGenerator<Uint8Array>, credit: CreditWindow): Body<RunEnd> {
	let count = 0;
	while (yield * credit.hasCredit()) {
		const next = yield * wait(nextPart(body));
		if (phase.stopped !== undefined) {
			break;
		}

		if (next.type === 'failed') {
			return next;
		}

		if (next.type === 'end') {
			toEntry(reservation, {type: 'end', count});
			return {type: 'whole'};
		}

		for (const bytes of split(next.bytes)) {
			toEntry(reservation, {type: 'data', index: count, bytes});
			credit.spend(1);
			count += 1;
		}
	}

	phase.abort.abort();
	return {type: 'stopped'};
}

type Part
	= | {readonly type: 'part'; readonly bytes: Uint8Array}
		| {readonly type: 'end'}
		| {readonly type: 'failed'; readonly failure: Failure};

async function nextPart(body: AsyncGenerator<Uint8Array>): Promise<Part> {
	try {
		const next = await body.next();
		return next.done ? {type: 'end'} : {type: 'part', bytes: next.value};
	} catch (error) {
		return {type: 'failed', failure: error instanceof RequestError ? error.failure : createFailure(FailureKind.endpointLost, 'The answer broke off.', {verdict: Verdict.mayHaveRun})};
	}
}

function * split(bytes: Uint8Array): Generator<Uint8Array<ArrayBuffer>> {
	for (let position = 0; position < bytes.length; position += maximumPartBytes) {
		yield bytes.subarray(position, position + maximumPartBytes) as Uint8Array<ArrayBuffer>;
	}
}
