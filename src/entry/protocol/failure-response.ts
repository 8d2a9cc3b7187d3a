import {type PipelinedResponse} from '../../connections/index.js';
import {type Failure, statusOfFailure, Verdict} from '../../model/index.js';
import {HeaderName} from './headers.js';

const millisecondsPerSecond = 1000;

/** The response body of a failure: an OpenAI error object with the verdict. */
export function failureBody(failure: Failure, requestId?: string): string {
	return JSON.stringify({
		error: {
			message: failure.message,
			type: errorType(statusOfFailure[failure.kind]),
			param: null,
			code: failure.kind,
			verdict: failure.verdict,
			...(requestId !== undefined && {request_id: requestId}),
		},
	});
}

/** The response headers of a failure. */
export function failureHeaders(failure: Failure, requestId?: string): Record<string, string> {
	const headers: Record<string, string> = {[HeaderName.verdict]: failure.verdict};
	if (requestId !== undefined) {
		headers[HeaderName.requestId] = requestId;
	}

	if (failure.retryAfterMilliseconds !== undefined) {
		headers[HeaderName.retryAfter] = String(Math.ceil(failure.retryAfterMilliseconds / millisecondsPerSecond));
		headers['Retry-After-Ms'] = String(Math.ceil(failure.retryAfterMilliseconds));
	}

	if (failure.verdict !== Verdict.notRun) {
		// Standard clients retry automatically after a 5xx, even if the request may have run, so that it would
		// run twice. They honour this header, which leaves the decision to retry to the application.
		headers['X-Should-Retry'] = 'false';
	}

	return headers;
}

/** Sends a failure as the response. If a response was already started or the caller has left, closes the connection. */
export function sendFailure(response: PipelinedResponse, failure: Failure, requestId?: string): void {
	if (response.headersSent || response.destroyed) {
		response.destroy();
		return;
	}

	response.writeHead(statusOfFailure[failure.kind], {...failureHeaders(failure, requestId), 'Content-Type': 'application/json'});
	// What is left of the body is read, so that the connection can be used again, or ends without a reset.
	response.req.resume();
	response.end(failureBody(failure, requestId));
}

function errorType(status: number): string {
	if (status === 401) {
		return 'authentication_error';
	}

	if (status === 429) {
		return 'rate_limit_error';
	}

	return status < 500 ? 'invalid_request_error' : 'server_error';
}
