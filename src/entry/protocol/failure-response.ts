import {type ServerResponse} from 'node:http';
import {type Failure, statusOfFailure, Verdict} from '../../model/index.js';
import {HeaderName} from './headers.js';

const millisecondsPerSecond = 1000;

/** A failure in the OpenAI error shape, with the verdict. */
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

/** The headers of a failure. */
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
		// Failure: stock clients send again by themselves on a 5xx, also what may have run. Symptom: a
		// ticket is printed twice. They honour this header, so only the application can decide to repeat.
		headers['X-Should-Retry'] = 'false';
	}

	return headers;
}

/** Answers with a failure, if nothing has been answered yet and the caller is still there. */
export function sendFailure(response: ServerResponse, failure: Failure, requestId?: string): void {
	if (response.headersSent || response.destroyed) {
		response.destroy();
		return;
	}

	response.writeHead(statusOfFailure[failure.kind], {...failureHeaders(failure, requestId), 'Content-Type': 'application/json'});
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
