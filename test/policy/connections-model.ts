import assert from 'node:assert/strict';
import {begunRequests, type ConnectionAction, type ConnectionEvent, type ConnectionState, maxOpenRequests, newConnection, stepConnection} from '../../src/policy/connections/index.js';

/** A connection, and what its caller and Node have seen of it: all that the rules are checked against. */
export type Checked = {
	readonly state: ConnectionState;
	/** Requests that have arrived. */
	readonly requests: number;
	/** Requests that are served or refused and whose response is not complete, in their order. */
	readonly owed: readonly number[];
	/** Those of them whose headers are not sent. */
	readonly unsent: readonly number[];
	/** Those of them that have an unsafe method. */
	readonly unsafe: readonly number[];
	readonly begun: readonly number[];
	readonly refused: number;
	readonly hasAnnounced: boolean;
	/** Whether anything has happened after which the connection must end. */
	readonly mustEnd: boolean;
	/** The status that malformed bytes have to get. */
	readonly malformedStatus: number | undefined;
	readonly isEnded: boolean;
};

export const newChecked: Checked = {
	state: newConnection, requests: 0, owed: [], unsent: [], unsafe: [], begun: [], refused: 0, hasAnnounced: false, mustEnd: false, malformedStatus: undefined, isEnded: false,
};

/** Whether Node can report the event: headers are sent once, responses end in their order, after their headers, and a connection that has ended reports nothing. */
export function canFollow({isEnded, owed, unsent}: Checked, event: ConnectionEvent): boolean {
	if (isEnded) {
		return false;
	}

	switch (event.type) {
		case 'head': {
			return unsent.includes(event.number);
		}

		case 'end': {
			return owed[0] === event.number && !unsent.includes(event.number);
		}

		case 'request':
		case 'stop':
		case 'malformed': {
			return true;
		}
	}
}

/** Takes one step and fails if it breaks a rule. A refused request sends its headers at once, as the server does; that it closes is the policy's to know. */
export function checkStep(checked: Checked, event: ConnectionEvent): Checked {
	const {state, action} = stepConnection(checked.state, event);
	const next = afterAction({...afterEvent(checked, event, action), state}, action);
	checkAction(checked, next, event, action);
	assert.equal(state.isClosing, next.mustEnd, 'the state says whether the connection ends');
	const begun = checkBegun(checked, next);
	const stepped = {...next, begun};
	return action.type === 'refuse' ? checkStep(stepped, {type: 'head', number: checked.requests, closes: false}) : stepped;
}

function afterEvent(checked: Checked, event: ConnectionEvent, action: ConnectionAction): Checked {
	switch (event.type) {
		case 'request': {
			return afterRequest(checked, event, action);
		}

		case 'head': {
			return {...checked, unsent: checked.unsent.filter(number => number !== event.number), mustEnd: checked.mustEnd || event.closes};
		}

		case 'end': {
			return {...checked, owed: checked.owed.slice(1), unsafe: checked.unsafe.filter(number => number !== event.number)};
		}

		case 'stop': {
			return {...checked, mustEnd: true};
		}

		case 'malformed': {
			return {...checked, mustEnd: true, malformedStatus: checked.malformedStatus ?? (checked.hasAnnounced ? undefined : event.status)};
		}
	}
}

function afterRequest(checked: Checked, {number, hasSafeMethod}: Extract<ConnectionEvent, {type: 'request'}>, {type}: ConnectionAction): Checked {
	assert.ok(type === 'serve' || type === 'refuse' || type === 'ignore', 'a request is served, refused or ignored');
	const requests = checked.requests + 1;
	if (type === 'ignore') {
		assert.ok(checked.hasAnnounced || checked.malformedStatus !== undefined, 'only what comes behind the last answer is ignored');
		return {...checked, requests};
	}

	assert.ok(!checked.hasAnnounced, 'nothing is served or refused behind an announced close');
	assert.equal(checked.malformedStatus, undefined, 'nothing is served or refused behind malformed bytes, whose answer is the last');
	assert.equal(type === 'refuse', checked.owed.length >= maxOpenRequests, 'a request is refused if and only if as many as may be are open');
	return {
		...checked, requests, owed: [...checked.owed, number], unsent: [...checked.unsent, number], unsafe: hasSafeMethod ? checked.unsafe : [...checked.unsafe, number],
		refused: checked.refused + (type === 'refuse' ? 1 : 0), mustEnd: checked.mustEnd || type === 'refuse',
	};
}

function afterAction(checked: Checked, {type}: ConnectionAction): Checked {
	return {...checked, hasAnnounced: checked.hasAnnounced || type === 'announce', isEnded: type === 'close' || type === 'reject'};
}

function checkAction(before: Checked, after: Checked, event: ConnectionEvent, action: ConnectionAction): void {
	if (action.type === 'announce') {
		assert.equal(event.type, 'head');
		assert.ok(!before.hasAnnounced, 'a close is announced once');
		assert.ok(after.mustEnd, 'a connection that need not end says no close');
		assert.equal(after.owed.at(-1), event.type === 'head' ? event.number : undefined, 'the last response announces the close');
		assert.equal(after.malformedStatus, undefined, 'no response announces the close before the answer to malformed bytes');
	}

	if (event.type === 'head' && after.mustEnd && after.malformedStatus === undefined && after.owed.at(-1) === event.number) {
		// Headers that wait behind other responses are not sent yet, and what is read until then is served: only what ends the reading is said there.
		const isSent = event.closes || after.owed.length > maxOpenRequests || after.owed[0] === event.number;
		assert.equal(action.type, isSent ? 'announce' : 'none', 'the last response says that its connection closes, when its headers are sent');
	}

	if (after.isEnded) {
		assert.deepEqual(after.owed, [], 'each request that was served or refused is answered before the connection ends');
		assert.ok(after.mustEnd, 'a connection that need not end is kept');
		assert.deepEqual(action, after.malformedStatus === undefined ? {type: 'close'} : {type: 'reject', status: after.malformedStatus}, 'malformed bytes are answered last, with their first status');
	}

	// A stop ends idle connections by itself, and later than at once: see CallerConnections.
	if (after.mustEnd && after.owed.length === 0 && event.type !== 'stop') {
		assert.ok(after.isEnded, 'a connection that must end does when nothing is owed');
	}
}

/** Checks which requests are begun, and returns them. */
function checkBegun(before: Checked, {state, owed, unsafe}: Checked): readonly number[] {
	assert.deepEqual(state.open.map(({number}) => number), owed, 'the open requests are those that are owed a response');
	assert.ok(owed.length <= maxOpenRequests + 1, 'no more than may be are open, and the one that is refused');
	const begun = begunRequests(state);
	assert.deepEqual(begun, owed.slice(0, begun.length), 'what is begun is a prefix');
	assert.ok(owed.length === 0 || begun.length > 0, 'the first is begun');
	assert.ok(begun.length <= 1 || begun.every(number => !unsafe.includes(number)), 'beside others only safe methods are begun');
	const safe = owed.findIndex(number => unsafe.includes(number));
	assert.equal(begun.length, Math.min(owed.length, Math.max(1, safe === -1 ? owed.length : safe)), 'safe methods in front are begun beside each other');
	assert.ok(before.begun.every(number => !owed.includes(number) || begun.includes(number)), 'what is begun stays so');
	return begun;
}
