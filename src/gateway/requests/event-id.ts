import {areForwardable} from '../../model/index.js';

/** What an event follows: the id of the last one that the caller was sent, and whether the stream may go on after it elsewhere. */
export type EventContext = {readonly last: string | undefined; readonly isResumable: boolean};

/**
 * Whether an event of this id can be the next one of a stream. Numbers must be consecutive. A stream that may go on at another endpoint names its
 * last id there in a header: one that has become something else on the way, a letter or a control character, would end the instance that writes it,
 * or begin the stream again. Other ids are not checked.
 */
export function isNextEventId(id: string | undefined, {last, isResumable}: EventContext): boolean {
	if (id === undefined || (isResumable && !areForwardable(['Last-Event-Id', id]))) {
		return id === undefined;
	}

	if (last === undefined || !isNumber(last)) {
		return true;
	}

	return isNumber(id) ? Number(id) === Number(last) + 1 : !isResumable;
}

function isNumber(id: string): boolean {
	return /^\d+$/v.test(id);
}
