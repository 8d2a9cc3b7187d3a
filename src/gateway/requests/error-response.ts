import {Verdict} from '../../model/index.js';
import {type RequestCodec, type RequestMetadata} from '../adapter/index.js';
import {type Outcome} from './attempt-state.js';
import {type Caller} from './caller.js';

/** Where an error response is sent, and how it is encoded. */
export type ErrorResponseTarget = {readonly caller: Caller; readonly codec: RequestCodec; readonly facts: RequestMetadata};

/** State of a request that ends without a complete response of an endpoint. */
export type RequestProgress = {readonly verdict: Verdict; readonly hasBeenSent: boolean; readonly retryAfterMilliseconds: number};

/**
 * Sends the final response at once where the endpoint gave no complete one. A response that has begun is aborted, an
 * endpoint's own error response is forwarded, and otherwise the response says whether the request may have run. Only if it has
 * certainly not run, the response says when to retry.
 */
export function sendErrorResponse(
	{caller, codec, facts}: ErrorResponseTarget,
	outcome: Exclude<Outcome, {type: 'done' | 'left'}>,
	{verdict, hasBeenSent, retryAfterMilliseconds}: RequestProgress,
): void {
	if (caller.hasResponse) {
		caller.abort();
		return;
	}

	if (outcome.type === 'failed' && outcome.endpointResponse !== undefined) {
		caller.writeHead(outcome.endpointResponse.status, codec.responseHeaders(outcome.endpointResponse.headers));
		caller.end(outcome.endpointResponse.body);
		return;
	}

	const mayHaveRun = verdict !== Verdict.notRun || (outcome.type === 'expired' && hasBeenSent);
	caller.respond(mayHaveRun
		? {status: outcome.type === 'expired' ? 504 : 502, message: 'The endpoint gave no whole answer; the request may have run.', headers: codec.gatewayResponseHeaders(facts)}
		: {status: 503, message: 'The request has not run.', headers: codec.gatewayResponseHeaders(facts), retryAfterMilliseconds});
}
