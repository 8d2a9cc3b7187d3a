import {request as httpRequest, type Agent, type ClientRequest, type IncomingMessage} from 'node:http';
import {watchConnection} from '../platform/index.js';
import {createFailure, FailureKind, Verdict, type Failure} from '../model/index.js';

export type CallSettings = {
	readonly agent: Agent;
	/**
	 * A kept connection may have been closed by the endpoint while the call was on its way, and the
	 * failure then looks like a lost answer. A call that must not be repeated gets a connection of
	 * its own, so that an endpoint that is down is told as `notRun`, with certainty.
	 */
	readonly isFresh: boolean;
	readonly url: string;
	readonly method: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly signal?: AbortSignal;
	/** How long the head of the answer may take. */
	readonly headMilliseconds: number;
	/** Writes the body and ends the request. */
	readonly write: (sent: ClientRequest) => void;
};

export type OpenedCall
	= | {readonly type: 'answered'; readonly response: IncomingMessage}
		| {readonly type: 'failed'; readonly failure: Failure};

/**
 * Sends a call to the endpoint and waits for the head of its answer. The verdict of a failure is
 * `notRun` only while no connection stood: Node writes nothing before that, so the endpoint can't
 * have seen the call. After that a lost answer tells nothing.
 */
export function openCall(settings: CallSettings): Promise<OpenedCall> {
	return new Promise<OpenedCall>(resolve => {
		const sent = httpRequest(settings.url, {
			agent: settings.isFresh ? false : settings.agent, method: settings.method, headers: settings.headers, signal: settings.signal,
		});
		const timer = setTimeout(() => {
			sent.destroy(Object.assign(new Error('no answer in time'), {code: 'ETIMEDOUT'}));
		}, settings.headMilliseconds);
		const connection = watchConnection(sent);
		// The listener stays: an error after the answer began is reported by the response, and must not be thrown here.
		sent.on('error', error => {
			clearTimeout(timer);
			resolve({type: 'failed', failure: lostCall(error, connection.isEstablished, settings.signal)});
		});
		sent.once('response', response => {
			clearTimeout(timer);
			resolve({type: 'answered', response});
		});
		settings.write(sent);
	});
}

/** The failure of a call whose connection broke, or never came about. */
export function lostCall(error: Error, connected: boolean, signal: AbortSignal | undefined): Failure {
	const verdict = connected ? Verdict.mayHaveRun : Verdict.notRun;
	if (signal?.aborted) {
		return createFailure(FailureKind.cancelled, 'The request was cancelled.', {verdict});
	}

	const code = (error as NodeJS.ErrnoException).code ?? 'no code';
	return connected
		? createFailure(FailureKind.endpointLost, `The connection to the endpoint broke (${code}).`, {verdict})
		: createFailure(FailureKind.noEndpoint, `The endpoint takes no connection (${code}).`, {verdict});
}
