import {request as httpRequest, type Agent, type ClientRequest, type IncomingMessage} from 'node:http';
import {Timeout} from '../concurrency/index.js';
import {abortOnSignal, abortRequest, type AnswerWatch, watchAnswer, watchConnection} from '../platform/index.js';
import {createFailure, FailureKind, Verdict, type Failure} from '../model/index.js';

export type CallSettings = {
	readonly agent: Agent;
	/**
	 * The endpoint may close a keep-alive connection while a call is in flight, and the failure then
	 * looks like a lost response. A call that must not be repeated therefore gets a new connection, so
	 * that an endpoint that is down is reliably reported as `notRun`.
	 */
	readonly usesNewConnection: boolean;
	readonly url: string;
	readonly method: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly signal?: AbortSignal;
	/** How long to wait for the response headers. */
	readonly headerTimeoutMilliseconds: number;
	/** Writes the body and ends the request. */
	readonly write: (request: ClientRequest) => void;
};

/** A call whose response has begun. */
export type AnsweredCall = {readonly type: 'answered'; readonly response: IncomingMessage; readonly answer: AnswerWatch};

export type CallResult
	= | AnsweredCall
		| {readonly type: 'failed'; readonly failure: Failure};

/**
 * Sends a call to the endpoint and waits for the response headers. The verdict of a failure is
 * `notRun` only if no connection was established: Node writes nothing before that, so the endpoint
 * can't have received the call. After that, a lost response does not tell whether the call ran.
 */
export function openCall(settings: CallSettings): Promise<CallResult> {
	return new Promise<CallResult>(resolve => {
		const request = httpRequest(settings.url, {
			agent: settings.usesNewConnection ? false : settings.agent, method: settings.method, headers: settings.headers,
		});
		let hasTimedOut = false;
		const timeout = Timeout.start(settings.headerTimeoutMilliseconds, () => {
			hasTimedOut = true;
			abortRequest(request);
		});
		abortOnSignal(request, settings.signal);
		const connection = watchConnection(request);
		const answer = watchAnswer(request);
		// The listener is not removed: the response reports an error after the headers, and it must not be thrown here as well.
		request.on('error', error => {
			timeout[Symbol.dispose]();
			const cause = hasTimedOut ? Object.assign(new Error('no response in time'), {code: 'ETIMEDOUT'}) : error;
			resolve({type: 'failed', failure: createConnectionFailure(cause, connection.isEstablished, settings.signal)});
		});
		request.once('response', response => {
			timeout[Symbol.dispose]();
			resolve({type: 'answered', response, answer});
		});
		settings.write(request);
	});
}

/** The failure for a call whose connection broke or was never established. */
export function createConnectionFailure(error: Error, connected: boolean, signal: AbortSignal | undefined): Failure {
	const verdict = connected ? Verdict.mayHaveRun : Verdict.notRun;
	if (signal?.aborted) {
		return createFailure(FailureKind.cancelled, 'The request was cancelled.', {verdict});
	}

	const code = (error as NodeJS.ErrnoException).code ?? 'no code';
	return connected
		? createFailure(FailureKind.endpointLost, `The connection to the endpoint broke (${code}).`, {verdict})
		: createFailure(FailureKind.noEndpoint, `The endpoint does not accept connections (${code}).`, {verdict});
}
