/**
 * The requests of one connection of a caller, in their order. Load pattern: a caller may send requests before the responses to earlier ones
 * (RFC 9112, 9.3.2), while a stop, a refusal or malformed bytes end the connection. If each response decided by itself that the connection closes, the
 * first one to do so would take with it the answers of those behind, which may have run. So it is decided here, once for the connection: the last
 * response that is owed closes it, and nothing is begun behind a response that has said so. A response that breaks off ends the connection at once; so
 * a request is begun only when none before it is open, unless all of them have safe methods and may run again (the same section asks for this).
 */

/**
 * Requests of one connection that may be open at a time. Callers send a few ahead; without a limit one connection could have as many requests held
 * and placed as its caller can write.
 */
export const maxOpenRequests = 32;

/** A request whose response is not complete. */
export type OwedRequest = {readonly number: number; readonly hasSafeMethod: boolean};

export type ConnectionState = {
	/** In the order of their arrival, which is that of their responses. */
	readonly open: readonly OwedRequest[];
	/** Whether the connection ends once no response is owed. */
	readonly isClosing: boolean;
	/** Whether a response has said that the connection closes. */
	readonly hasAnnounced: boolean;
	/** The status that is owed to malformed bytes behind the open requests. */
	readonly malformedStatus: number | undefined;
};

export type ConnectionEvent
	/** The headers of a request have arrived. */
	= | ({readonly type: 'request'} & OwedRequest)
	/** The headers of a response are about to be sent; `closes` if nothing can be read behind its request. */
		| {readonly type: 'head'; readonly number: number; readonly closes: boolean}
	/** A response is complete, or is given up. */
		| {readonly type: 'end'; readonly number: number}
	/** The instance stops. */
		| {readonly type: 'stop'}
	/** Bytes arrived that are no request. */
		| {readonly type: 'malformed'; readonly status: number};

/** What follows from an event. */
export type ConnectionAction
	= | {readonly type: 'none'}
		| {readonly type: 'serve'}
	/** Too many requests are open: this one is refused, and closes the connection. */
		| {readonly type: 'refuse'}
	/** A response has said that the connection closes, or malformed bytes came before: the request is neither begun nor answered, and its caller may send it again elsewhere. */
		| {readonly type: 'ignore'}
	/** The response says that the connection closes. */
		| {readonly type: 'announce'}
	/** The connection ends. */
		| {readonly type: 'close'}
	/** Malformed bytes are answered, and the connection ends. */
		| {readonly type: 'reject'; readonly status: number};

export type ConnectionStep = {readonly state: ConnectionState; readonly action: ConnectionAction};

export const newConnection: ConnectionState = {open: [], isClosing: false, hasAnnounced: false, malformedStatus: undefined};

const none: ConnectionAction = {type: 'none'};

/** What an event changes, and what follows from it. */
export function stepConnection(state: ConnectionState, event: ConnectionEvent): ConnectionStep {
	switch (event.type) {
		case 'request': {
			return addRequest(state, {number: event.number, hasSafeMethod: event.hasSafeMethod});
		}

		case 'head': {
			return sendHead(state, event);
		}

		case 'end': {
			return endResponse(state, event.number);
		}

		case 'stop': {
			return {state: {...state, isClosing: true}, action: none};
		}

		case 'malformed': {
			return addMalformed(state, event.status);
		}
	}
}

/** Numbers of the open requests that may be begun: the first, and all behind it while each has a safe method. */
export function begunRequests({open}: ConnectionState): readonly number[] {
	const firstUnsafe = open.findIndex(({hasSafeMethod}) => !hasSafeMethod);
	const safe = firstUnsafe === -1 ? open.length : firstUnsafe;
	return open.slice(0, Math.max(1, safe)).map(({number}) => number);
}

function addRequest(state: ConnectionState, request: OwedRequest): ConnectionStep {
	// The answer to malformed bytes is the last one; Node reads on behind headers that came too late.
	if (state.hasAnnounced || state.malformedStatus !== undefined) {
		return {state, action: {type: 'ignore'}};
	}

	const isRefused = state.open.length >= maxOpenRequests;
	return {
		state: {...state, open: [...state.open, request], isClosing: state.isClosing || isRefused},
		action: {type: isRefused ? 'refuse' : 'serve'},
	};
}

function sendHead(state: ConnectionState, {number, closes}: Extract<ConnectionEvent, {type: 'head'}>): ConnectionStep {
	const isClosing = state.isClosing || closes;
	const isLast = state.open.at(-1)?.number === number && state.malformedStatus === undefined;
	// Headers that wait behind other responses are not sent yet: what is read until then is still served, unless nothing can be read, or too many are open.
	const isSent = closes || state.open.length > maxOpenRequests || state.open[0]?.number === number;
	const announces = isClosing && isLast && isSent;
	return {state: {...state, isClosing, hasAnnounced: state.hasAnnounced || announces}, action: announces ? {type: 'announce'} : none};
}

function endResponse(state: ConnectionState, number: number): ConnectionStep {
	const next = {...state, open: state.open.filter(one => one.number !== number)};
	return {state: next, action: next.open.length > 0 ? none : lastAction(next)};
}

/** What happens once no response is owed any more. */
function lastAction({isClosing, malformedStatus}: ConnectionState): ConnectionAction {
	if (malformedStatus !== undefined) {
		return {type: 'reject', status: malformedStatus};
	}

	return isClosing ? {type: 'close'} : none;
}

function addMalformed(state: ConnectionState, status: number): ConnectionStep {
	if (state.hasAnnounced || state.malformedStatus !== undefined) {
		return {state, action: none};
	}

	const next = {...state, isClosing: true, malformedStatus: status};
	return {state: next, action: next.open.length > 0 ? none : lastAction(next)};
}
