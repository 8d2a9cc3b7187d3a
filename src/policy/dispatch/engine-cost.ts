/**
 * What one engine costs one request, in milliseconds: what the caller waits for its first event, what the
 * reading costs the service, and what it does to streams with tight pauses.
 */
import {type Candidate, type PlacementContext, type Demand, type Fetch} from './demand.js';
import {type EndpointLoad, type LoadTracker} from './load.js';
import {prefillMilliseconds} from './speed.js';
import {chooseFetch, type Holder, isWorthFetching} from './transfer.js';

/**
 * What may wait to be read at an endpoint before one more is sent there, for the most and the least
 * urgent; the rest waits here, where its order can change. A stream with the tightest pauses goes at
 * once. Instances have no common line: whoever may send at a longer backlog comes first everywhere,
 * since the least urgent come in only where next to nothing waits. Under the lower bound, one and a half
 * of the time in which instances hear of each other, engines would fall idle between two decisions;
 * above the upper one, four times as long, an urgent stream finds a prompt or two before it. Backlogs
 * move by more than the lower bound before all have heard of it: a smaller factor orders nothing.
 */
export const reactionsInBacklog = 1.5;
const urgentFactor = 4;
/**
 * Whoever is outranked takes an endpoint that has had nothing to read for so long: by then an instance where the more urgent wait
 * has heard that it is free and has looked at its line, so that they can't use it.
 */
const outrankedReactions = 2;
/** The part of an endpoint's slots that is left to who is more urgent elsewhere, rounded up. */
const slotsLeft = 1 / 8;
/** Tight streams may be so many above an endpoint's slots: it admits the urgent first, and preempts for them. */
const slotsAbove = 4;
/**
 * What waits to be read beside tight streams stays under this part of their pause, however long instances need to hear of each other.
 * Failure: the next prompt is there before the last is read. Symptom: an engine reads without rest, and every event of a tight
 * stream waits for as many prompts' chunks as it has tokens.
 */
const besideTightShare = 0.25;
/** How likely it is that the others have had a beginning read at its first home, where nothing was heard of it. */
const unheardReading = 0.5;
/** A later endpoint in the order costs a tight stream so much more for each place: under the gain of an idle one. */
const orderMilliseconds = 6;
/** Above this part of its slots an endpoint takes no more tight streams while others have room. */
const crowdedFill = 0.75;
/** What a millisecond of reading costs beside tight streams, for each of so many of them at most. */
const tightWeight = 1.5;
const tightCounted = 4;
/** What a share of time spent reading costs a tight stream: it meets that for its whole length. */
const readingShareMilliseconds = 150;
/** A contiguous reading above this part of the pause is taken to break it. */
const pauseShare = 0.5;
const brokenPauseWeight = 4;
/** Lateness against the target weighs more than being early. */
const latenessShare = 0.7;
const latenessWeight = 3;
/** What a token costs that is fetched, in weights of an idle service: it takes no engine's time. */
const fetchWeight = 5;

/** What a candidate costs, and how long until it may get the request. */
export type Judged = {readonly cost: number; readonly wait: number; readonly prefillTokens: number; readonly fetch: Fetch | undefined; readonly expected: number};

/** What all candidates together show; counted once for a choice. */
export type Overview = {
	readonly loads: readonly EndpointLoad[];
	readonly readingWeight: number;
	/** The first so many candidates are left to tight streams. */
	readonly takenByTight: number;
	/** Tight streams begin at any of so many candidates: those left to them, or a few more where this instance knows little. */
	readonly spread: number;
	/** The part of all requests of which this instance knows, 0 to 1. */
	readonly seen: number;
	/** A draw of the request, for the place at which it begins among the engines of tight streams. */
	readonly shift: number;
	/** Who holds most of the prompt; looked for at the first engine that would have to read much. */
	readonly holders: () => readonly Holder[];
};

/** One engine among the others. */
export type Engine = {
	readonly load: EndpointLoad;
	/** Its place in the order in which tight streams fill engines. */
	readonly place: number;
	/** True if it is the first home of the prompt's beginning. */
	readonly isHome: boolean;
	readonly overview: Overview;
	readonly circumstances: PlacementContext;
};

export function judgeEngine(book: LoadTracker, demand: Demand, candidate: Candidate, {load, place, isHome, overview, circumstances}: Engine): Judged {
	const {fetchTokensPerMillisecond, tuning} = circumstances;
	const speed = book.speed(demand.service);
	const heardTokens = book.unread(candidate.id, demand.parts);
	const lackedTokens = isHome ? keptAtHome(demand, heardTokens, overview.seen) : heardTokens;
	const fetch = fetchTokensPerMillisecond === undefined || !isWorthFetching(demand.parts, lackedTokens, speed)
		? undefined
		: chooseFetch(overview.holders(), candidate, {prefillTokens: lackedTokens, speed, tokensPerMillisecond: fetchTokensPerMillisecond});
	const prefillTokens = lackedTokens - (fetch?.tokens ?? 0);
	const reading = prefillMilliseconds(speed, prefillTokens);
	const expected = load.backlogMilliseconds + (fetch?.milliseconds ?? 0) + reading + speed.baseMilliseconds;
	const slots = usableSlots(candidate, demand) + (demand.isLatencyCritical ? slotsAbove : 0);
	const span = load.backlogMilliseconds + reading;
	const wait = load.running >= slots ? speed.baseMilliseconds : waitFor(demand, load, circumstances);
	const harm = demand.isLatencyCritical ? tightCost(demand, candidate, {load, place, span, overview, tuning}) : harmToOthers(demand, {load, place, span, reading, overview, tuning});
	const fetching = fetch === undefined ? 0 : fetch.milliseconds + (prefillMilliseconds(speed, fetch.tokens) * tuning.fetchShare * fetchWeight);
	const cost = load.backlogMilliseconds + (reading * overview.readingWeight) + fetching + lateness(wait + expected, demand) + harm
		+ (load.running / candidate.slots * speed.baseMilliseconds);
	return {cost, wait, prefillTokens, fetch, expected};
}

/**
 * Failure: an instance hears of a part of the fleet, and takes the first home of a beginning to lack what others have had read there. Symptom:
 * under load any engine looks as good as that one, and beginnings are read again everywhere.
 */
function keptAtHome({parts}: Demand, heardTokens: number, seen: number): number {
	const own = parts.at(-1)?.tokens ?? 0;
	return heardTokens - (Math.max(0, heardTokens - own) * (1 - seen) * unheardReading);
}

/** The slots that a request may fill. */
export function usableSlots({slots}: Candidate, {isOutranked}: Demand): number {
	return isOutranked ? Math.max(1, Math.floor(slots * (1 - slotsLeft))) : slots;
}

/** How long until a request may be sent there. */
function waitFor(demand: Demand, {backlogMilliseconds, idleMilliseconds, latencyCriticalRuns}: EndpointLoad, circumstances: PlacementContext): number {
	return demand.isOutranked
		? Math.max(0, backlogMilliseconds + (circumstances.propagationMilliseconds * outrankedReactions) - idleMilliseconds)
		: Math.max(0, backlogMilliseconds - bearableBacklog(demand, latencyCriticalRuns, circumstances));
}

function bearableBacklog({urgency, urgencies, strictestPauseMilliseconds: tightestPauseMilliseconds, isLatencyCritical}: Demand, latencyCriticalRuns: number, {propagationMilliseconds, tuning}: PlacementContext): number {
	if (isLatencyCritical) {
		return Infinity;
	}

	const leastUrgent = propagationMilliseconds * reactionsInBacklog;
	const rank = tuning.ordersBacklogs ? rankAmong(urgency, urgencies) : 0;
	const mostUrgent = leastUrgent * urgentFactor;
	const own = mostUrgent * ((leastUrgent / mostUrgent) ** rank);
	return latencyCriticalRuns === 0 ? own : Math.min(own, tightestPauseMilliseconds * besideTightShare);
}

/** 0 for the most urgent, 1 for the least. */
function rankAmong(urgency: number, {most, least}: Demand['urgencies']): number {
	return least === most ? 1 : Math.min(1, Math.max(0, (urgency - most) / (least - most)));
}

type Harm = {readonly load: EndpointLoad; readonly place: number; readonly span: number; readonly overview: Overview; readonly tuning: PlacementContext['tuning']};

function tightCost(demand: Demand, candidate: Candidate, {load, place, span, overview, tuning}: Harm): number {
	const pause = (demand.maxPauseMilliseconds ?? Infinity) * pauseShare;
	const crowded = load.running >= candidate.slots * crowdedFill ? demand.targetMilliseconds : 0;
	const outside = place >= Math.max(1, overview.spread) ? tuning.outsideMilliseconds : 0;
	return (orderOf(place, overview) * orderMilliseconds) + (load.readingShare * readingShareMilliseconds) + crowded + outside + (Math.max(0, span - pause) * brokenPauseWeight);
}

/**
 * Failure: many instances, each of which knows of few tight streams, fill the same first engine at one moment. Symptom: it has a line while
 * the next ones idle, and tight streams are late from their first event. The less an instance knows, the more a draw decides where it begins.
 */
function orderOf(place: number, {spread, seen, shift}: Overview): number {
	return seen === 1 || place >= spread ? place : (place * (seen ** 2)) + (((place + shift) % spread) * (1 - (seen ** 2)));
}

/** What a reading does to the streams that run there: all of it delays them a little, a long one breaks their pauses. */
function harmToOthers({strictestPauseMilliseconds: tightestPauseMilliseconds}: Demand, {load, place, span, reading, overview, tuning}: Harm & {reading: number}): number {
	const delays = Math.min(load.latencyCriticalRuns, tightCounted) * reading * tightWeight;
	const takesRoom = place < overview.takenByTight && span > tightestPauseMilliseconds * besideTightShare;
	return delays + (takesRoom ? tuning.roomMilliseconds : 0);
}

function lateness(expected: number, {targetMilliseconds, elapsedMilliseconds}: Demand): number {
	return Math.max(0, elapsedMilliseconds + expected - (targetMilliseconds * latenessShare)) * latenessWeight;
}
