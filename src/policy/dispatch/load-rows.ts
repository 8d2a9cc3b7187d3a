import {EndpointSign, type LoadEvent, type Run} from './load-event.js';
import {type PromptPart} from './prompt-part.js';
import {type UrgencyCount} from './peer-queues.js';

/** Longer names are rejected: no instance that follows the protocol sends them. */
const maxNameLength = 256;
const maxParts = 64;
/** Ids of parts are hashes of 32 bits. */
const firstOutputId = 2 ** 32;

/**
 * Load events within this interval are sent in one message. The shorter it is, the fewer instances send a prompt to the
 * same endpoint at once; the longer, the fewer messages are sent. Each peer adds two milliseconds, so that an instance
 * sends and receives no more than about 500 messages a second, some 2% of a core.
 */
const batchBounds = {least: 15, perPeer: 2, most: 60};
/**
 * Transit time of a message: encoding and decoding, a millisecond or two between availability zones, and an iteration
 * of the event loop.
 */
const transitMilliseconds = 5;

/** Time for which load events are collected before they are sent to this many peers. */
export function batchIntervalMilliseconds(peers: number): number {
	return Math.min(batchBounds.most, Math.max(batchBounds.least, peers * batchBounds.perPeer));
}

/** Propagation delay: the longest time until one instance receives the report of what another has placed. */
export function propagationMilliseconds(peers: number): number {
	return batchIntervalMilliseconds(peers) + transitMilliseconds;
}

const RowKind = {placed: 0, firstEvent: 1, ended: 2, waiting: 3} as const;
const SignCode = {[EndpointSign.response]: 1, [EndpointSign.silence]: 2} as const;
const signsByCode: ReadonlyMap<unknown, EndpointSign> = new Map(Object.values(EndpointSign).map(sign => [SignCode[sign], sign]));
/** Index of the first part in the row of a placed run. */
const firstPartIndex = 6;
/** Number of values for one urgency in a row, and the limit for all of them. */
const valuesPerUrgency = 3;
const maxUrgencyValues = 16 * valuesPerUrgency;

/**
 * Load as instances exchange it: rows without field names, since it is by far the most frequent message and goes to each
 * instance. A row names a run by its number at the sender, which is the owner of the run.
 *
 * - placed: `[0, number, endpoint, service, prefill tokens, 1 if latency-critical, part, tokens, ..., output, tokens]`
 * - first event: `[1, number]`
 * - ended: `[2, number, 1 after a response or 2 after silence, nothing if neither is known]`
 * - waiting: `[3, service, workspace's urgency or null, route's urgency, count, ...]`
 */
export type LoadRow = readonly unknown[];

/** Rows of this instance's own events; events of other instances are not passed on. */
export function encodeLoad(events: readonly LoadEvent[]): LoadRow[] {
	return events.map(event => encodeEvent(event)).filter(row => row !== undefined);
}

function encodeEvent(event: LoadEvent): LoadRow | undefined {
	switch (event.type) {
		case 'placed': {
			const {id, endpoint, service, prefillTokens, isLatencyCritical, parts} = event.run;
			const row: Array<string | number> = [RowKind.placed, numberOf(id), endpoint, service, prefillTokens, isLatencyCritical ? 1 : 0];
			for (const part of parts) {
				row.push(part.id, part.tokens);
			}

			row.push(...encodeOutput(event.run));
			return row;
		}

		case 'first-event': {
			return [RowKind.firstEvent, numberOf(event.id)];
		}

		case 'ended': {
			return event.sign === undefined ? [RowKind.ended, numberOf(event.id)] : [RowKind.ended, numberOf(event.id), SignCode[event.sign]];
		}

		case 'waiting': {
			return [RowKind.waiting, event.service, ...event.urgencies.flatMap(({workspace, route, count}) => [workspace ?? null, route, count])];
		}

		case 'owner-lost':
		case 'endpoint-restarted':
		case 'classes':
		case 'kept': {
			return undefined;
		}
	}
}

/**
 * The expected output as a last part, with an id above those of parts that tells the urgency of the run. Instances of
 * an older build take it for a part of another prompt, which changes nothing for theirs; a value of another form would
 * make them reject the message. A prompt with as many parts as a row may have leaves no place for it.
 */
function encodeOutput({outputTokens, urgency, parts}: Run): number[] {
	return parts.length >= maxParts || (outputTokens === 0 && urgency === undefined) ? [] : [firstOutputId + (urgency === undefined ? 0 : urgency + 1), outputTokens];
}

/** The expected output of a run and its urgency; nothing is known of the runs of an instance of an older build. */
function decodeOutput(parts: readonly PromptPart[]): Pick<Run, 'outputTokens' | 'urgency' | 'parts'> {
	const last = parts.at(-1);
	return last === undefined || last.id < firstOutputId
		? {parts, outputTokens: 0, urgency: undefined}
		: {parts: parts.slice(0, -1), outputTokens: last.tokens, urgency: last.id === firstOutputId ? undefined : last.id - firstOutputId - 1};
}

/**
 * Events of a peer, or `undefined` if a row is malformed. Checked by hand, since schemas cost several times as much.
 */
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
			return {type: 'ended', id, sign: signOf(row[2])};
		}

		default: {
			return undefined;
		}
	}
}

/** A code that is unknown here tells nothing. */
function signOf(code: unknown): EndpointSign | undefined {
	return signsByCode.get(code);
}

function decodePlaced(row: readonly unknown[], {id, owner}: {id: string; owner: string}): LoadEvent | undefined {
	const [endpoint, service, prefillTokens, criticalFlag] = row.slice(2, firstPartIndex);
	const values = decodeParts(row);
	if (!isName(endpoint) || !isName(service) || !isCount(prefillTokens) || values === undefined) {
		return undefined;
	}

	const {outputTokens, urgency, parts} = decodeOutput(values);
	return {type: 'placed', run: {id, owner, endpoint, service, prefillTokens, outputTokens, urgency, isLatencyCritical: criticalFlag === 1, parts}};
}

/** The pairs of numbers at the end of a row of a placed run; undefined if they are none. */
function decodeParts(row: readonly unknown[]): PromptPart[] | undefined {
	const count = Math.max(0, row.length - firstPartIndex);
	if (count % 2 !== 0 || count > maxParts * 2) {
		return undefined;
	}

	const parts: PromptPart[] = [];
	for (let index = firstPartIndex; index < row.length; index += 2) {
		const id = row[index];
		const tokens = row[index + 1];
		if (!isCount(id) || !isCount(tokens)) {
			return undefined;
		}

		parts.push({id, tokens});
	}

	return parts;
}

function decodeWaiting(row: readonly unknown[], owner: string): LoadEvent | undefined {
	const [service, ...values] = row.slice(1);
	if (!isName(service) || values.length % valuesPerUrgency !== 0 || values.length > maxUrgencyValues) {
		return undefined;
	}

	const urgencies: UrgencyCount[] = [];
	for (let index = 0; index < values.length; index += valuesPerUrgency) {
		const [workspace, route, count] = values.slice(index, index + valuesPerUrgency);
		if ((workspace !== null && !isNumber(workspace)) || !isNumber(route) || !isCount(count)) {
			return undefined;
		}

		urgencies.push({route, workspace: workspace ?? undefined, count});
	}

	return {type: 'waiting', owner, service, urgencies};
}

/** Id of a run, unique across instances. */
export function runId(owner: string, number: number): string {
	return `${owner}/${number}`;
}

function numberOf(id: string): number {
	return Number(id.slice(id.lastIndexOf('/') + 1));
}

function isName(value: unknown): value is string {
	return typeof value === 'string' && value.length > 0 && value.length <= maxNameLength;
}

function isCount(value: unknown): value is number {
	return typeof value === 'number' && value >= 0;
}

function isNumber(value: unknown): value is number {
	return typeof value === 'number' && Number.isFinite(value);
}
