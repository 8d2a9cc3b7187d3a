import {type LoadEvent} from './load.js';
import {flattenParts, unflattenParts} from './prefix-cache.js';
import {type UrgencyCount} from './peer-queues.js';

/** Longer names than this come from nobody that keeps the protocol. */
const longestName = 256;
const mostParts = 64;

/**
 * Load that came within this time leaves in one message: the shorter, the fewer instances send a prompt
 * to the same endpoint; the longer, the fewer messages. Each peer costs two milliseconds of it, so that an
 * instance sends and reads no more than about 500 messages a second, some 2% of a core.
 */
const batchMilliseconds = {least: 15, eachPeer: 2, most: 60};
/** A message's own way: coding, a millisecond or two between availability zones, and the turn of the event loop. */
const wayMilliseconds = 5;

/** How long load is collected before it goes to so many peers. */
export function batchIntervalMilliseconds(peers: number): number {
	return Math.min(batchMilliseconds.most, Math.max(batchMilliseconds.least, peers * batchMilliseconds.eachPeer));
}

/** Until one instance hears what another has placed, at the longest. */
export function propagationMilliseconds(peers: number): number {
	return batchIntervalMilliseconds(peers) + wayMilliseconds;
}

const RowKind = {placed: 0, firstEvent: 1, ended: 2, waiting: 3} as const;
/** Values of one urgency in a row, and of all. */
const urgencyLength = 3;
const mostUrgencyValues = 16 * urgencyLength;

/**
 * Load as it travels between instances: rows without names, since it is by far the most frequent message
 * and goes to each of them. A row names a run by its number at the sender; its owner is whoever sent it.
 * `[0, number, endpoint, service, unread tokens, 1 if tight, part, tokens, ...]`, `[1, number]`, `[2, number]`, and `[3, service, workspace's urgency or null, route's urgency,
 * how many, ...]`.
 */
export type LoadRow = readonly unknown[];

/** Rows of this instance's own events; others' are not passed on. */
export function encodeLoad(events: readonly LoadEvent[]): LoadRow[] {
	return events.map(event => encodeEvent(event)).filter(row => row !== undefined);
}

function encodeEvent(event: LoadEvent): LoadRow | undefined {
	switch (event.type) {
		case 'placed': {
			const {id, endpoint, service, prefillTokens, isLatencyCritical, parts} = event.run;
			return [RowKind.placed, numberOf(id), endpoint, service, prefillTokens, isLatencyCritical ? 1 : 0, ...flattenParts(parts)];
		}

		case 'first-event': {
			return [RowKind.firstEvent, numberOf(event.id)];
		}

		case 'ended': {
			return [RowKind.ended, numberOf(event.id)];
		}

		case 'waiting': {
			return [RowKind.waiting, event.service, ...event.urgencies.flatMap(({workspace, route, count}) => [workspace ?? null, route, count])];
		}

		case 'owner-lost':
		case 'endpoint-restarted':
		case 'kept': {
			return undefined;
		}
	}
}

/** The events of a peer, or `undefined` if a row is none. Checked by hand: schemas cost several times as much. */
export function decodeLoad(rows: readonly unknown[], owner: string): LoadEvent[] | undefined {
	const events: LoadEvent[] = [];
	for (const row of rows) {
		const event = Array.isArray(row) ? decodeRow(row, owner) : undefined;
		if (event === undefined) {
			return undefined;
		}

		events.push(event);
	}

	return events;
}

function decodeRow(row: readonly unknown[], owner: string): LoadEvent | undefined {
	const [kind, number] = row;
	if (kind === RowKind.waiting) {
		return decodeWaiting(row, owner);
	}

	if (!isCount(number)) {
		return undefined;
	}

	const id = runId(owner, number);
	switch (kind) {
		case RowKind.placed: {
			return decodePlaced(row, {id, owner});
		}

		case RowKind.firstEvent: {
			return {type: 'first-event', id};
		}

		case RowKind.ended: {
			return {type: 'ended', id};
		}

		default: {
			return undefined;
		}
	}
}

function decodePlaced(row: readonly unknown[], {id, owner}: {id: string; owner: string}): LoadEvent | undefined {
	const [endpoint, service, prefillTokens, tight, ...partValues] = row.slice(2);
	if (!isName(endpoint) || !isName(service) || !isCount(prefillTokens) || partValues.length % 2 !== 0 || partValues.length > mostParts * 2 || !partValues.every(value => isCount(value))) {
		return undefined;
	}

	return {type: 'placed', run: {id, owner, endpoint, service, prefillTokens, isLatencyCritical: tight === 1, parts: unflattenParts(partValues)}};
}

function decodeWaiting(row: readonly unknown[], owner: string): LoadEvent | undefined {
	const [service, ...values] = row.slice(1);
	if (!isName(service) || values.length % urgencyLength !== 0 || values.length > mostUrgencyValues) {
		return undefined;
	}

	const urgencies: UrgencyCount[] = [];
	for (let index = 0; index < values.length; index += urgencyLength) {
		const [workspace, route, count] = values.slice(index, index + urgencyLength);
		if ((workspace !== null && !isNumber(workspace)) || !isNumber(route) || !isCount(count)) {
			return undefined;
		}

		urgencies.push({route, workspace: workspace ?? undefined, count});
	}

	return {type: 'waiting', owner, service, urgencies};
}

/** The name of a run, unique over all instances. */
export function runId(owner: string, number: number): string {
	return `${owner}/${number}`;
}

function numberOf(id: string): number {
	return Number(id.slice(id.lastIndexOf('/') + 1));
}

function isName(value: unknown): value is string {
	return typeof value === 'string' && value.length > 0 && value.length <= longestName;
}

function isCount(value: unknown): value is number {
	return typeof value === 'number' && value >= 0;
}

function isNumber(value: unknown): value is number {
	return typeof value === 'number' && Number.isFinite(value);
}
