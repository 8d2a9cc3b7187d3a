import {type Body, channel, type Channel, receive, spawn, tryDeliver, wait} from '../concurrency/index.js';
import {type ServiceClient} from '../endpoint/index.js';
import {
	createFailure, type Failure, FailureKind, RequestError, Verdict,
} from '../model/index.js';
import {maximumPartBytes, type MessageOf} from '../wire/index.js';
import {BodyParts} from './body-parts.js';
import {CreditWindow} from './credit-window.js';
import {type Reservation, type RunResult, type RunInput, type RunningPhase, sendToEntry} from './reservation.js';

/** Credits and a cancellation that may be queued for the run; the entry's window bounds them. */
const controlCapacity = 1000;

/** One call of a plain service to run at this endpoint. */
export type ServiceRun = {
	readonly service: ServiceClient;
	readonly reservation: Reservation;
	readonly phase: RunningPhase;
	readonly start: MessageOf<'start'>;
	/** Called when the service refuses the call and wants no other one for this time. */
	readonly onBackoff: (milliseconds: number) => void;
};

/**
 * Forwards a call to the service and its response to the entry; bodies are sent in parts, within a
 * flow-control window in each direction. `end` is sent to the entry only after the body is complete.
 */
export function * runService(run: ServiceRun): Body<RunResult> {
	const {service, reservation, phase, start} = run;
	const parts = BodyParts.create(taken => {
		sendToEntry(reservation, {type: 'credit', events: taken});
	});
	if (start.more) {
		parts.push(start.body);
	}

	const control = channel<RunInput>(controlCapacity);
	void spawn('service-input', () => dispatchInput(phase, parts, control));
	try {
		const response = yield * wait(service.call({
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

		if (response.type === 'failed') {
			return response;
		}

		if (response.backoffMilliseconds !== undefined) {
			run.onBackoff(response.backoffMilliseconds);
		}

		sendToEntry(reservation, {type: 'head', status: response.status, headers: response.headers});
		return yield * forwardResponse(run, response.body, CreditWindow.create(start.credit, control));
	} finally {
		// Ends the process that dispatches the input. The channel stays open, since credit may still arrive and is not an error of the entry.
		tryDeliver(phase.input, {type: 'cancel', stream: reservation.stream, request: reservation.summary.id});
	}
}

/** Sends body parts to `parts` and all other messages to `control`, until the run is cancelled or over. */
function * dispatchInput(phase: RunningPhase, parts: BodyParts, control: Channel<RunInput>): Body<void> {
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

function * forwardResponse({reservation, phase}: ServiceRun, body: AsyncGenerator<Uint8Array>, credit: CreditWindow): Body<RunResult> {
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
			sendToEntry(reservation, {type: 'end', count});
			return {type: 'whole'};
		}

		for (const bytes of split(next.bytes)) {
			sendToEntry(reservation, {type: 'data', index: count, bytes});
			credit.spend(1);
			count += 1;
		}
	}

	phase.abort.abort();
	return {type: 'stopped'};
}

type PartResult
	= | {readonly type: 'part'; readonly bytes: Uint8Array}
		| {readonly type: 'end'}
		| {readonly type: 'failed'; readonly failure: Failure};

async function nextPart(body: AsyncGenerator<Uint8Array>): Promise<PartResult> {
	try {
		const next = await body.next();
		return next.done ? {type: 'end'} : {type: 'part', bytes: next.value};
	} catch (error) {
		return {type: 'failed', failure: error instanceof RequestError ? error.failure : createFailure(FailureKind.endpointLost, 'The response was incomplete.', {verdict: Verdict.mayHaveRun})};
	}
}

function * split(bytes: Uint8Array): Generator<Uint8Array<ArrayBuffer>> {
	for (let position = 0; position < bytes.length; position += maximumPartBytes) {
		yield bytes.subarray(position, position + maximumPartBytes) as Uint8Array<ArrayBuffer>;
	}
}
