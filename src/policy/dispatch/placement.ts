/**
 * Load pattern: long prompts, short urgent questions and small jobs share engines that read prompts
 * between the tokens of what runs there. Sending by free slots alone breaks the urgent streams'
 * pauses and reads the same prompt beginnings on every engine.
 *
 * Each endpoint gets a cost in milliseconds: what the caller waits for its first event, what the
 * reading costs the service, and what it does to streams with tight pauses. Streams with the tightest
 * pauses fill endpoints in one order that every instance computes alike, so that they share few
 * endpoints, and others keep away from those for as long as they run there.
 */
import {type ZoneName} from '../../model/index.js';
import {hash32} from '../hashing/index.js';
import {type LoadBook} from './load.js';
import {type PromptPart} from './part-memory.js';
import {readMilliseconds} from './speed.js';

/** What one request wants of an endpoint. */
export type Demand = {
	readonly service: string;
	readonly urgency: number;
	readonly targetMilliseconds: number;
	readonly parts: readonly PromptPart[];
	readonly isTight: boolean;
	/** The pause that must not be exceeded, where there is one. */
	readonly pauseMilliseconds: number | undefined;
	readonly isStream: boolean;
};

/** An endpoint that may be used now. */
export type Candidate = {
	readonly id: string;
	readonly zone: ZoneName;
	readonly slots: number;
	readonly isEngine: boolean;
};

export type Choice
	= | {readonly type: 'place'; readonly endpoint: string; readonly unreadTokens: number; readonly expectedMilliseconds: number}
	/** Every endpoint is full or too far behind: the best is good enough in so long. */
		| {readonly type: 'wait'; readonly milliseconds: number};

/** A request that would wait at an endpoint for more than this part of its target waits here, where order can change. */
const backlogShare = 0.5;
/** But never for less than one short prompt's reading, or engines would fall idle between two decisions. */
const leastBacklogMilliseconds = 30;
/** Milliseconds of a round trip to another availability zone, and what its bytes cost. */
const otherZoneMilliseconds = 3;
/** Reading a token is paid once by the caller's wait and once by all that wait behind it. */
const readingWeight = 2;
/** A later endpoint in the order costs a tight stream so much more for each place: under the gain of an idle one. */
const orderMilliseconds = 6;
/** Above this part of its slots an endpoint takes no more tight streams while others have room. */
const tightFill = 0.75;
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
/** The first choice of a prompt's beginning by rendezvous hashing is better by so much, so that instances agree. */
const homeMilliseconds = 8;

/** Chooses among candidates; at least one is needed. */
export function choosePlace(book: LoadBook, demand: Demand, candidates: readonly Candidate[], {zone, now}: {zone: ZoneName; now: number}): Choice {
	const order = demand.isTight ? tightOrder(demand.service, candidates) : undefined;
	const home = homeOf(demand.parts, candidates);
	let best: {cost: number; choice: Choice} | undefined;
	let shortestWait = Infinity;
	for (const candidate of candidates) {
		const judged = candidate.isEngine
			? judgeEngine(book, demand, candidate, {now, place: order?.get(candidate.id) ?? 0})
			: judgeService(book, demand, candidate, now);
		if (judged.wait > 0) {
			shortestWait = Math.min(shortestWait, judged.wait);
			continue;
		}

		const cost = judged.cost + (candidate.zone === zone ? 0 : otherZoneMilliseconds) - (candidate.id === home ? homeMilliseconds : 0);
		if (best === undefined || cost < best.cost) {
			best = {cost, choice: {type: 'place', endpoint: candidate.id, unreadTokens: judged.unreadTokens, expectedMilliseconds: judged.expected}};
		}
	}

	return best?.choice ?? {type: 'wait', milliseconds: shortestWait};
}

type Judged = {readonly cost: number; readonly wait: number; readonly unreadTokens: number; readonly expected: number};

function judgeEngine(book: LoadBook, demand: Demand, candidate: Candidate, {now, place}: {now: number; place: number}): Judged {
	const load = book.load(candidate.id, now);
	const speed = book.speed(demand.service);
	const unreadTokens = book.unread(candidate.id, demand.parts);
	const reading = readMilliseconds(speed, unreadTokens);
	const expected = load.backlogMilliseconds + reading + speed.baseMilliseconds;
	const bearable = Math.max(leastBacklogMilliseconds, demand.targetMilliseconds * backlogShare);
	const wait = load.running >= candidate.slots ? speed.baseMilliseconds : Math.max(0, load.backlogMilliseconds - bearable);
	const span = load.backlogMilliseconds + reading;
	const harm = demand.isTight
		? tightCost(demand, candidate, {load, place, span})
		: Math.min(load.tightRuns, tightCounted) * reading * tightWeight;
	const cost = load.backlogMilliseconds + (reading * readingWeight) + lateness(expected, demand) + harm
		+ (load.running / candidate.slots * speed.baseMilliseconds);
	return {cost, wait, unreadTokens, expected};
}

function tightCost(demand: Demand, candidate: Candidate, {load, place, span}: {load: {running: number; readingShare: number}; place: number; span: number}): number {
	const pause = (demand.pauseMilliseconds ?? Infinity) * pauseShare;
	const crowded = load.running >= candidate.slots * tightFill ? demand.targetMilliseconds : 0;
	return (place * orderMilliseconds) + (load.readingShare * readingShareMilliseconds) + crowded + (Math.max(0, span - pause) * brokenPauseWeight);
}

function judgeService(book: LoadBook, demand: Demand, candidate: Candidate, now: number): Judged {
	const {running} = book.load(candidate.id, now);
	const work = book.workMilliseconds(demand.service);
	const expected = work * Math.max(1, (running + 1) / candidate.slots);
	const wait = running >= candidate.slots ? work / candidate.slots : 0;
	return {cost: running / candidate.slots * work, wait, unreadTokens: 0, expected};
}

function lateness(expected: number, {targetMilliseconds}: Demand): number {
	return Math.max(0, expected - (targetMilliseconds * latenessShare)) * latenessWeight;
}

function tightOrder(service: string, candidates: readonly Candidate[]): Map<string, number> {
	const ranked = candidates.map(({id}) => ({id, score: hash32(`tight\n${service}\n${id}`)})).toSorted((left, right) => left.score - right.score);
	return new Map(ranked.map(({id}, index) => [id, index]));
}

/** Where the shared beginning of a prompt belongs, if nothing else speaks against it. */
function homeOf(parts: readonly PromptPart[], candidates: readonly Candidate[]): string | undefined {
	const shared = parts.at(-2);
	if (shared === undefined) {
		return undefined;
	}

	let best: {id: string; score: number} | undefined;
	for (const {id} of candidates) {
		const score = hash32(`${shared.id}\n${id}`);
		if (best === undefined || score > best.score) {
			best = {id, score};
		}
	}

	return best?.id;
}
