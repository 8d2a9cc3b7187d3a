/**
 * Judges the course streams by LOST's text (RULES.md of the users), from what callers and endpoints saw. Stricter than the text: one cut counts, at any
 * time, also of what may be repeated and while the store is disturbed. Each clause and each excuse stands beside its sentence.
 */
import {type FakePlatformWorker} from '../../fakes/platform-worker.js';
import {type Life} from './child.js';
import {type Arrival, arrivalsById, bounds, commonViolations, isCut, isOwnFailure, isStoreDisturbed, leastMilliseconds, type PlannedEvidence, sentInGraceMilliseconds} from './planned-checker.js';
import {type PlannedRecord} from './planned-connection.js';
import {type EndpointNews, type EndpointProcess} from './streams-endpoints.js';

export type StreamsEvidence = PlannedEvidence & {
	readonly processes: readonly EndpointProcess[];
	readonly news: readonly EndpointNews[];
	/** When the course began; its notes count from here on. */
	readonly startedAt: number;
	/** The share of a core that a gateway had at a time. */
	readonly shareAt: (gateway: number, at: number) => number;
	readonly eventsOf: (id: string) => number;
};

/** Timers and clocks of two processes differ by so much where one waits exactly as long as the other says. */
const clockMilliseconds = 5;
const lastSixthAfterMilliseconds = bounds.graceMilliseconds * 5 / 6;

/** What became of a request at the endpoint that worked on it longest; a second one may have been given up because the first answered. */
type Run = {readonly process: EndpointProcess; readonly finishedAt: number; readonly abandonedAt: number; readonly brokenOffAt: number};
type Judged = {readonly record: PlannedRecord; readonly arrivals: readonly Arrival[]; readonly run: Run | undefined; readonly life: Life | undefined; readonly cutAt: number};

/** Returns what broke a rule. */
export function streamsViolations(evidence: StreamsEvidence): string[] {
	return [...judgeAll(evidence).flatMap(one => lossOf(one, evidence)), ...commonViolations(evidence)];
}

/** Own failures of requests that no endpoint got, though time was left; the rules price these. */
export function notOfferedCount(evidence: StreamsEvidence): number {
	return judgeAll(evidence).filter(one => one.run === undefined && isOwnFailure(one.record) && !isTimeReached(one, evidence)).length;
}

/** Lookups that ended with the gateway's own failure though their endpoint was at work and time was left; the rules price these. */
export function endedLookupCount(evidence: StreamsEvidence): number {
	return judgeAll(evidence).filter(one => one.record.kind === 'lookup' && isEndedSooner(one, evidence)).length;
}

/** How many streams were open when a gateway that had them got its signal, and how many of these were excused though they had no end. */
export function stoppedStreams(evidence: StreamsEvidence): {readonly open: number; readonly excused: number} {
	const open = judgeAll(evidence).filter(({record, life}) => record.status === 200 && life !== undefined && record.sentAt < life.stopAt && record.endedAt > life.stopAt);
	return {open: open.length, excused: open.filter(one => !one.record.isWhole && lossOf(one, evidence).length === 0).length};
}

function judgeAll(evidence: StreamsEvidence): Judged[] {
	const byId = arrivalsById(evidence.arrivals);
	const byName = new Map(evidence.processes.map(process => [process.name, process]));
	return evidence.records.map(record => {
		const arrivals = (byId.get(record.id) ?? []).toSorted((left, right) => left.request.at - right.request.at);
		const run = arrivals.map(({worker}) => runOf(record.id, byName.get(worker)!)).toSorted((left, right) => endOf(right) - endOf(left)).at(0);
		const life = evidence.lives[record.gateway]!.find(({startedAt, endedAt}) => startedAt <= record.sentAt && record.sentAt <= endedAt);
		return {record, arrivals, run, life, cutAt: Math.min(record.endedAt, run?.abandonedAt ?? Infinity)};
	});
}

function runOf(id: string, process: EndpointProcess): Run {
	const {worker} = process;
	return {process, finishedAt: timeOf(worker.finishedAt, id), abandonedAt: timeOf(worker.abandonedAt, id), brokenOffAt: timeOf(worker.brokenOffAt, id)};
}

/** When the endpoint had no work on it any more. */
function endOf({finishedAt, abandonedAt}: Run): number {
	return Math.min(finishedAt, abandonedAt);
}

function timeOf(times: FakePlatformWorker['finishedAt'], id: string): number {
	return times.get(id) ?? Infinity;
}

function lossOf(judged: Judged, evidence: StreamsEvidence): string[] {
	const {record, run} = judged;
	const at = `${record.kind} ${record.id} on ${record.request.route} at gateway-${record.gateway}, status ${record.status}`;
	// LOST: "a process has read a whole request and the channel ends without a complete answer, either once it has been passed on to a worker, or later than `lossSlackMs` after its last byte was sent".
	if (isCut(record, run !== undefined, evidence) && !isExcused(judged, evidence)) {
		return [`LOST: ${at}, ${traceOf(judged, evidence)}`];
	}

	// LOST: "A worker's silence is no reason to end an answer sooner": the gateway's own failure while the endpoint that has the request is at work and time is left.
	if (record.kind !== 'lookup' && isEndedSooner(judged, evidence)) {
		return [`ENDED: ${at} ${JSON.stringify(record.body.slice(0, 100))}, ${traceOf(judged, evidence)}`];
	}

	return [];
}

function isEndedSooner(judged: Judged, evidence: StreamsEvidence): boolean {
	return judged.record.isWhole && isOwnFailure(judged.record) && judged.run !== undefined && !isExcused(judged, evidence) && !isTimeNear(judged, evidence);
}

/** Prices: "broken off while their worker was at work, well before the requester's time limit and the route's timeout"; an own answer that nothing came before leaves in time for it. */
function isTimeNear({record, cutAt}: Judged, evidence: StreamsEvidence): boolean {
	return cutAt - record.sentAt + bounds.lossSlackMilliseconds >= leastMilliseconds(record, evidence);
}

function isExcused(judged: Judged, evidence: StreamsEvidence): boolean {
	// LOST, not counted: "the worker broke off".
	return hasBrokenOff(judged)
		// LOST, not counted: "the time limit or the route's timeout was reached".
		|| isTimeReached(judged, evidence)
		// LOST, not counted: "or the worker was still at work in the last sixth of `graceS` on a request that was sent no later than 3 s after the SIGTERM".
		|| isLeftToTheLastSixth(judged);
}

/** Whether the endpoint ended the answer, or its process, before the gateway gave up the request there. */
function hasBrokenOff({record, run}: Judged): boolean {
	if (run === undefined) {
		return false;
	}

	const ownEndAt = Math.min(run.brokenOffAt, run.process.exitedAt);
	return ownEndAt <= record.endedAt && ownEndAt <= run.abandonedAt && ownEndAt <= run.finishedAt;
}

/** Reached, not almost: the gateway's time begins later than the caller's. Of the route's timeouts any that may be in force counts. */
function isTimeReached({record, cutAt}: Judged, evidence: StreamsEvidence): boolean {
	return cutAt - record.sentAt + clockMilliseconds >= leastMilliseconds(record, evidence);
}

function isLeftToTheLastSixth({record, run, life}: Judged): boolean {
	if (run === undefined || life === undefined || record.sentAt > life.stopAt + sentInGraceMilliseconds) {
		return false;
	}

	// Later than 1 s after the grace no process is there, and planned work is over; what the bench sees later it sees late.
	return endOf(run) >= life.stopAt + lastSixthAfterMilliseconds;
}

/** All that is needed to trace a cut. */
function traceOf({record, arrivals, run, life, cutAt}: Judged, evidence: StreamsEvidence): string {
	const {kind, id, gateway, sentAt, lastByteAt, lastDataAt, endedAt, close, error, unreadMilliseconds, body, behind} = record;
	const events = body.match(/^id: /gmv)?.length ?? 0;
	const news = evidence.news.findLast(one => one.id === run?.process.worker.id && one.at <= endedAt);
	const isDisturbed = isStoreDisturbed(evidence.storeSpans, sentAt, endedAt);
	return [
		`connection ended ${close}${error === undefined ? '' : ` by ${error}`}${unreadMilliseconds === 0 ? '' : `, not read for ${Math.round(unreadMilliseconds)} ms`}`,
		`sent at ${since(sentAt, evidence.startedAt)}, its last byte ${since(lastByteAt, sentAt)} ms later, ended after ${since(endedAt, sentAt)} ms of ${record.request.deadlineMilliseconds}`,
		...(kind === 'chart' || kind === 'question' ? [`${events} of ${evidence.eventsOf(id)} events`] : []),
		`${since(endedAt, lastDataAt)} ms after its last data`,
		life === undefined || life.stopAt === Infinity ? 'no signal' : `cut ${since(cutAt, life.stopAt)} ms after SIGTERM, sent ${since(sentAt, life.stopAt)} ms after it, process ended ${since(life.endedAt, life.stopAt)} ms after it${life.longTurns.map(({from, until}) => `, in a long turn from ${since(from, life.stopAt)} to ${since(until, life.stopAt)} ms after it`).join('')}`,
		run === undefined ? 'not passed on' : `passed on to ${arrivals.map(({worker, request}) => `${worker} after ${since(request.at, sentAt)} ms`).join(', ')}`,
		...(run === undefined ? [] : [run.abandonedAt < Infinity ? `given up there after ${since(run.abandonedAt, sentAt)} ms` : (run.finishedAt < Infinity ? `finished there after ${since(run.finishedAt, sentAt)} ms` : 'no end there')]),
		news === undefined ? 'no news of the endpoint' : `last news "${news.text}" ${since(endedAt, news.at)} ms before its end`,
		`share of a core ${evidence.shareAt(gateway, endedAt).toFixed(2)}`,
		...(behind === undefined ? [] : [`behind ${behind.id}, status ${behind.status}`]),
		...(isDisturbed ? ['store disturbed'] : []),
		`bench late by ${Math.round(evidence.latenessBetween(sentAt, endedAt))} ms`,
	].join('; ');
}

function since(at: number, from: number): number {
	return Math.round(at - from);
}
