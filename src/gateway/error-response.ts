import {Verdict} from '../model/index.js';
import {type Outcome} from './attempt-state.js';
import {type Caller} from './caller.js';
import {type RequestCodec, type RequestMetadata} from './types.js';

/** Whom to answer, and in whose words. */
export type Answering = {readonly caller: Caller; readonly codec: RequestCodec; readonly facts: RequestMetadata};

/** What is known of a request that ends without its endpoint's whole answer. */
export type Ending = {readonly verdict: Verdict; readonly hasBeenSent: boolean; readonly retryAfterMilliseconds: number};

/**
 * The last word to a caller that got no whole answer, at once: what has begun is broken off, an endpoint's own failure goes on, and else it is said
 * whether the request may have run. Only what certainly has not is told when to come back.
 */
export function answerFinally({caller, codec, facts}: Answering, outcome: Exclude<Outcome, {type: 'done' | 'left'}>, {verdict, hasBeenSent, retryAfterMilliseconds}: Ending): void {
	if (caller.hasAnswer) {
		caller.breakOff();
		return;
	}

	if (outcome.type === 'failed' && outcome.endpointAnswer !== undefined) {
		caller.head(outcome.endpointAnswer.status, codec.responseHeaders(outcome.endpointAnswer.headers));
		caller.end(outcome.endpointAnswer.body);
		return;
	}

	const mayHaveRun = verdict !== Verdict.notRun || (outcome.type === 'expired' && hasBeenSent);
	caller.answer(mayHaveRun
		? {status: outcome.type === 'expired' ? 504 : 502, message: 'The endpoint gave no whole answer; the request may have run.', headers: codec.gatewayResponseHeaders(facts)}
		: {status: 503, message: 'The request has not run.', headers: codec.gatewayResponseHeaders(facts), retryAfterMilliseconds});
}
