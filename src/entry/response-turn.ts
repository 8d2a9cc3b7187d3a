/** What a request waits for, and hears of, from the connection that its response is sent on. */
import {type Body, wait} from '../concurrency/index.js';
import {type PipelinedResponse} from '../connections/index.js';
import {createFailure, FailureKind, RequestError} from '../model/index.js';

/**
 * Waits until the responses before this one on its connection are complete. A call that ran before would have run for
 * nothing if one of them breaks off and takes the connection with it.
 */
export function * awaitTurn(response: PipelinedResponse): Body<void> {
	yield * wait(response.turn);
	if (response.destroyed) {
		throw RequestError.create(createFailure(FailureKind.cancelled, 'The caller left before its request was begun.'));
	}
}

/**
 * Waits until all that was read together with a request is parsed. In a stop the last response that is owed closes its connection: one that is sent from
 * the parser, by the headers alone, would close it before the requests behind it are known, and they would be ignored.
 */
export function * awaitParsed(): Body<void> {
	yield * wait(Promise.resolve());
}

/** Calls the listener once the connection has closed before the response was sent, also if that is so already. */
export function onCallerLeft(response: PipelinedResponse, listener: () => void): void {
	if (response.destroyed) {
		listener();
		return;
	}

	response.once('close', () => {
		if (!response.writableFinished) {
			listener();
		}
	});
}
