/**
 * Judges planned work by the rules' text (RULES.md of the users), from what callers, workers and the operator saw. Each excuse stands beside its
 * sentence. Where the rules allow a few cases, or judge only some spans, one case at any time counts here; docs/design/planned-work.md lists these.
 */
import {type WorkerRequest} from '../../fakes/platform-worker.js';
import {type Life, stopSeconds} from './child.js';
import {handlingViolations} from './planned-handling.js';
import {type PlannedRecord} from './planned-connection.js';
import {lastingRoutes, type PlannedVersion} from './planned-versions.js';
import {type Span} from './planned-store.js';
import {type LeftWorker} from './planned-workers.js';
import {validKey} from './soak-platform.js';

/** A request as a worker got it. */
export type Arrival = {readonly request: WorkerRequest; readonly worker: string; readonly service: string};

/** All that was seen in one seed. Times are milliseconds of the monotonic clock. */
export type PlannedEvidence = {
	readonly records: readonly PlannedRecord[];
	readonly arrivals: readonly Arrival[];
	/** The processes of each gateway. */
	readonly lives: ReadonlyArray<readonly Life[]>;
	readonly versions: readonly PlannedVersion[];
	readonly leftWorkers: readonly LeftWorker[];
	/** When the store was disturbed. */
	readonly storeSpans: readonly Span[];
	/** Requests of which a worker breaks off the answer or the connection. */
	readonly brokenOff: ReadonlySet<string>;
	/** One-way delay of the path from callers to each gateway. */
	readonly delays: readonly number[];
	/** How late the bench itself was at most between two times. */
	readonly latenessBetween: (from: number, until: number) => number;
	/** The sum of that lateness: a request and the end of its connection pass the bench's loop several times, at its callers and its paths. */
	readonly totalLatenessBetween: (from: number, until: number) => number;
};

/** The bounds of the users' settings, as the gateways of the course have them. */
export const bounds = {lossSlackMilliseconds: 200, stabilityMilliseconds: 3000, applyMilliseconds: 2000, rollbackMilliseconds: 250, drainMilliseconds: 2000, graceMilliseconds: stopSeconds * 1000} as const;
/** LOST: "on a request that was sent no later than 3 s after the SIGTERM". */
export const sentInGraceMilliseconds = 3000;
/** CONFIG: "half a second later"; "Eight or more of them, and over a quarter". */
const late = {milliseconds: 500, least: 8, share: 0.25} as const;
const notRunStatuses = new Set([408, 421, 429]);

/** Returns what broke a rule. */
export function plannedViolations(evidence: PlannedEvidence): string[] {
	const arrivals = arrivalsById(evidence.arrivals);
	return [
		...evidence.records.flatMap(record => recordViolations(record, arrivals.get(record.id) ?? [], evidence)),
		...commonViolations(evidence),
	];
}

/** What broke a rule in an answer, an arrival, a handling, a timeout or an end, whatever was lost. */
export function commonViolations(evidence: PlannedEvidence): string[] {
	return [
		...evidence.records.flatMap(record => answerViolations(record)),
		...arrivalViolations(evidence),
		...handlingViolations(evidence),
		...timeoutViolations(evidence),
		...endViolations(evidence),
	];
}

export function arrivalsById(arrivals: readonly Arrival[]): ReadonlyMap<string, readonly Arrival[]> {
	const byId = new Map<string, Arrival[]>();
	for (const arrival of arrivals) {
		const {id} = arrival.request;
		byId.set(id, [...byId.get(id) ?? [], arrival]);
	}

	return byId;
}

/** How many requests that may be repeated ended with the gateway's own 502 or 504 though a worker was at work and time was left; the rules price these. */
export function endedSoonerCount(evidence: PlannedEvidence): number {
	const arrivals = arrivalsById(evidence.arrivals);
	return evidence.records.filter(record => !mayRunOnce(record) && record.isWhole && isEndedSooner(record, arrivals.get(record.id) ?? [], evidence)).length;
}

/** Whether a gateway was in touch from a time on until another. */
export function isInTouch({lives, storeSpans}: PlannedEvidence, gateway: number, from: number, until: number): boolean {
	// In touch: "for the whole `stabilityWindowMs` before it (1) its processes ran, with no [...] start by the bench, SIGTERM".
	const hasRun = lives[gateway]!.some(({startedAt, stopAt, endedAt}) => startedAt + bounds.stabilityMilliseconds <= from && until < Math.min(stopAt, endedAt));
	// In touch: "(2) the core was stable"; "calm machines are in touch" `stabilityWindowMs` after the end of its disturbance.
	return hasRun && !isStoreDisturbed(storeSpans, from, until);
}

/** The least timeout of a route that may be in force at a time between two others; Infinity if no version has the route. */
export function timeoutsOf({versions}: PlannedEvidence, record: PlannedRecord): readonly number[] {
	const inForce = versionsInForce(versions, record.sentAt, record.endedAt);
	return inForce.flatMap(({routes}) => routes.filter(({name}) => name === record.request.route).map(({timeoutMilliseconds}) => timeoutMilliseconds));
}

/** The versions that may be in force from one time until another: the newest one that must be applied by then, and all later ones. */
export function versionsInForce(versions: readonly PlannedVersion[], from: number, until: number): readonly PlannedVersion[] {
	const oldest = versions.findLastIndex(({acknowledgedAt}) => acknowledgedAt + bounds.applyMilliseconds < from);
	return versions.filter(({acknowledgedAt}, index) => index >= oldest && acknowledgedAt <= until);
}

export function isStoreDisturbed(spans: readonly Span[], from: number, until: number): boolean {
	return spans.some(span => span.from <= until && span.until + bounds.stabilityMilliseconds >= from);
}

function recordViolations(record: PlannedRecord, arrivals: readonly Arrival[], evidence: PlannedEvidence): string[] {
	const {isWhole} = record;
	const at = textOf(record);
	const found: string[] = [];
	if (isLost(record, arrivals, evidence)) {
		found.push(`LOST: ${at}, ${arrivals.length === 0 ? 'not passed on' : 'passed on'}, closed ${record.close} ${Math.round(record.endedAt - record.lastByteAt)} ms after its last byte`);
	}

	if (mayRunOnce(record) && isWhole && isEndedSooner(record, arrivals, evidence)) {
		found.push(`ENDED: ${at} after ${Math.round(record.endedAt - record.sentAt)} ms, ${arrivals.length} times passed on, no reason at a worker and time left: ${record.body.slice(0, 100)}`);
	}

	return found;
}

function textOf({kind, id, gateway, status}: PlannedRecord): string {
	return `${kind} ${id} at gateway-${gateway}, status ${status}`;
}

function answerViolations(record: PlannedRecord): string[] {
	const {id, status, headers, isWhole, request: {route, key}} = record;
	const at = textOf(record);
	const signature = headers.get('upstream-signature');
	const found: string[] = [];
	if (isWhole && status === 200 && (signature === undefined || headers.get('request-id') !== id)) {
		found.push(`MIXED: ${at}, a success without its worker's signature or of request ${headers.get('request-id')}`);
	}

	// The workers of the course give no other status than 200 with a signature.
	if (signature !== undefined && status !== 200) {
		found.push(`MIXED: ${at}, a worker's signature on another status`);
	}

	if (status === -1) {
		found.push(`MIXED: ${at}, bytes that are no answer`);
	}

	// DENIED: "A 401, 403 or 404 for what all desired states of the day allow counts from any machine"; proper requests are owed no other 3xx or 4xx either.
	if (status >= 300 && status < 500 && !notRunStatuses.has(status) && key === validKey && lastingRoutes.includes(route)) {
		found.push(`DENIED: ${at}, all versions allow it`);
	}

	return found;
}

function mayRunOnce({kind}: PlannedRecord): boolean {
	return kind === 'release' || kind === 'question';
}

function isLost(record: PlannedRecord, arrivals: readonly Arrival[], evidence: PlannedEvidence): boolean {
	return isCut(record, arrivals.length > 0, evidence) && !isExcused(record, arrivals, evidence);
}

/** Whether the connection of a request that was read whole ended without its answer, whatever may excuse that. */
export function isCut(record: PlannedRecord, isPassedOn: boolean, evidence: Pick<PlannedEvidence, 'delays' | 'totalLatenessBetween'>): boolean {
	const {close, lastByteAt, endedAt, gateway, unreadMilliseconds} = record;
	if (close === 'none' || close === 'caller') {
		return false;
	}

	// LOST: "a process has read a whole request": not before its last byte was sent.
	if (lastByteAt === Infinity) {
		return false;
	}

	// MIXED: "An answer that ends early must not look complete", so nothing can follow one that breaks off; its own end is judged.
	if (!isPassedOn && record.behind !== undefined && record.behind.status > 0) {
		return false;
	}

	const closedAfter = endedAt - lastByteAt - unreadMilliseconds - evidence.delays[gateway]! - evidence.totalLatenessBetween(lastByteAt, endedAt);
	// LOST: "either once it has been passed on to a worker, or later than `lossSlackMs` after its last byte was sent"; a reset tells that something was not read.
	return isPassedOn || (close === 'orderly' && closedAfter > bounds.lossSlackMilliseconds);
}

/** A gateway's own failure, without a worker's signature. */
export function isOwnFailure({status, headers}: PlannedRecord): boolean {
	return (status === 502 || status === 504 || status === 500) && !headers.has('upstream-signature');
}

function isEndedSooner(record: PlannedRecord, arrivals: readonly Arrival[], evidence: PlannedEvidence): boolean {
	// LOST: "A worker's silence is no reason to end an answer sooner"; a gateway's own 502 and 504 have no signature.
	return isOwnFailure(record) && !isExcused(record, arrivals, evidence);
}

/** The time limit of the request, or the least timeout that its route may have. */
export function leastMilliseconds(record: PlannedRecord, evidence: PlannedEvidence): number {
	return Math.min(record.request.deadlineMilliseconds, ...timeoutsOf(evidence, record));
}

function isExcused(record: PlannedRecord, arrivals: readonly Arrival[], evidence: PlannedEvidence): boolean {
	const {id, kind, sentAt, endedAt, gateway} = record;
	// LOST, not counted: "the worker broke off".
	const hasLeft = arrivals.some(({worker}) => evidence.leftWorkers.some(left => left.worker.id === worker && left.exitedAt >= sentAt && left.exitedAt <= endedAt));
	const mayHaveLeft = arrivals.length === 0 && record.status === 502 && evidence.leftWorkers.some(({exitedAt}) => exitedAt >= sentAt && exitedAt <= endedAt);
	if (evidence.brokenOff.has(id) || hasLeft || mayHaveLeft) {
		return true;
	}

	// LOST, not counted: "the time limit or the route's timeout was reached", as the gateway sees it, to which the way there and back counts.
	if (endedAt - sentAt + bounds.lossSlackMilliseconds >= leastMilliseconds(record, evidence)) {
		return true;
	}

	// LOST: "Disturbance of the store alone excuses nothing for safe and unsafe requests without a key"; it excuses streams.
	if ((kind === 'chart' || kind === 'question') && isStoreDisturbed(evidence.storeSpans, sentAt, endedAt)) {
		return true;
	}

	// LOST, not counted: "the worker was still at work in the last sixth of `graceS` on a request that was sent no later than 3 s after the SIGTERM".
	return arrivals.length > 0 && evidence.lives[gateway]!.some(({stopAt}) => sentAt <= stopAt + sentInGraceMilliseconds && endedAt >= stopAt + (bounds.graceMilliseconds * 5 / 6) && endedAt <= stopAt + bounds.graceMilliseconds + 1000);
}

function arrivalViolations(evidence: PlannedEvidence): string[] {
	const records = new Map(evidence.records.map(record => [record.id, record]));
	return evidence.arrivals.flatMap(({request, worker}) => {
		const record = records.get(request.id);
		if (record === undefined) {
			return [`UNASKED: ${worker} got ${request.id}, which no caller sent`];
		}

		const {route, key, body} = record.request;
		const isGet = record.kind === 'lookup';
		const isUnchanged = request.path === `/${route}/1` && request.method === (isGet ? 'GET' : 'POST') && request.body === (isGet ? '' : body);
		const tenant = key === validKey ? 'studio-a' : `studio-${key}`;
		const found = isUnchanged && request.headers.tenant === tenant && request.headers.authorization === undefined ? [] : [`UNASKED: ${worker} got ${request.id} changed, or of ${String(request.headers.tenant)}`];
		return isLateAtWorker(request, worker, record, evidence) ? [...found, `DRAIN: ${worker} got ${request.id} from gateway-${record.gateway} after it had left`] : found;
	});
}

/** DRAIN: "A request reaches a worker later than `drainMs` after a machine in touch acknowledged" its leaving; "the ack is the store's". */
function isLateAtWorker(request: WorkerRequest, worker: string, record: PlannedRecord, evidence: PlannedEvidence): boolean {
	const left = evidence.leftWorkers.find(one => one.worker.id === worker);
	const due = (left?.acknowledgedAt ?? Infinity) + bounds.drainMilliseconds;
	return request.at - evidence.latenessBetween(request.at - bounds.drainMilliseconds, request.at) > due && isInTouch(evidence, record.gateway, due - bounds.drainMilliseconds, request.at);
}

/** CONFIG: requests that "have no final answer from machines in touch 0.5 s after" their route's timeout. */
function timeoutViolations(evidence: PlannedEvidence): string[] {
	const judged = evidence.records.flatMap(record => {
		const timeout = Math.max(...timeoutsOf(evidence, record));
		const dueAt = record.sentAt + timeout;
		return timeout > 0 && record.endedAt > dueAt && isInTouch(evidence, record.gateway, record.sentAt, dueAt + late.milliseconds) ? [{record, isLate: record.endedAt - evidence.latenessBetween(dueAt, record.endedAt) > dueAt + late.milliseconds}] : [];
	});
	const missed = judged.filter(({isLate}) => isLate);
	return missed.length >= late.least && missed.length > judged.length * late.share ? [`CONFIG: ${missed.length} of ${judged.length} requests that reached their route's timeout had no answer half a second later, ${missed[0]!.record.id} among them`] : [];
}

function endViolations({lives, records, arrivals}: PlannedEvidence): string[] {
	const gatewayOf = new Map(records.map(({id, gateway}) => [id, gateway]));
	return lives.flatMap((ofGateway, gateway) => ofGateway.flatMap(life => {
		const {startedAt, endedAt, stopAt, end, isKilled, hasWritten} = life;
		if (end === undefined || isKilled || (end === 'code 0' && stopAt < Infinity)) {
			return [];
		}

		// A process that is stopped before its first module has opened no port (docs/design/signals.md): no rule owes anything to nobody.
		const hasServed = arrivals.some(({request}) => gatewayOf.get(request.id) === gateway && request.at >= startedAt && request.at <= endedAt);
		if (stopAt < Infinity && !hasWritten && !hasServed) {
			return [];
		}

		return [`FAULT: gateway-${gateway} has ended by ${end}, ${stopAt === Infinity ? 'by itself' : `${Math.round(endedAt - stopAt)} ms after its signal`}`];
	}));
}
