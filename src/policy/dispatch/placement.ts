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
import {hash32, mixHashes} from '../hashing/index.js';
import {type EndpointLoad, type LoadBook} from './load.js';
import {type PromptPart} from './part-memory.js';
import {readMilliseconds} from './speed.js';

/** What one request wants of an endpoint. */
export type Demand = {
	readonly service: string;
	/** 0 is the most urgent. */
	readonly urgency: number;
	/** The range of urgency among the service's requests that are not tight. */
	readonly urgencies: {readonly most: number; readonly least: number};
	readonly targetMilliseconds: number;
	readonly parts: readonly PromptPart[];
	readonly isTight: boolean;
	/** The pause that must not be exceeded, where there is one. */
	readonly pauseMilliseconds: number | undefined;
	/** The shortest pause that any stream of the service must keep. */
	readonly tightestPauseMilliseconds: number;
	/** How long it has passed over free endpoints for a better one. */
	readonly waitedMilliseconds: number;
	/** Since the request arrived. */
	readonly elapsedMilliseconds: number;
};

/** An endpoint that may be used now. */
export type Candidate = {
	readonly id: string;
	readonly zone: ZoneName;
	readonly slots: number;
	readonly isEngine: boolean;
	/** The hash of its id, and its place in the order that tight streams fill. */
	readonly hash: number;
	readonly order: number;
};

/** Send it there now. */
export type Place = {
	readonly type: 'place';
	readonly endpoint: string;
	readonly unreadTokens: number;
	/** From sending to the first event, or to the answer. */
	readonly expectedMilliseconds: number;
	/** What the endpoint that holds most of the prompt would have had to read. */
	readonly leastUnreadTokens: number;
};

/** None is good enough yet; the best is in about so long. */
export type Wait = {
	readonly type: 'wait';
	readonly endpoint: string;
	readonly milliseconds: number;
	/** True if one is free, but a better one is worth waiting for: others may take the free one. */
	readonly isForBetter: boolean;
};

export type Choice = Place | Wait;

/** When and from where a choice is made. */
export type Circumstances = {
	readonly zone: ZoneName;
	readonly now: number;
	/** Until this instance hears what another one has sent somewhere. */
	readonly reactionMilliseconds: number;
};

/**
 * What may wait to be read at an endpoint before one more is sent there, for the most and the least
 * urgent; the rest waits here, where its order can change. A stream with the tightest pauses goes at
 * once. Instances have no common line: whoever may send at a longer backlog comes first everywhere,
 * since the least urgent come in only where next to nothing waits. Under the lower bound, one and a half
 * of the time in which instances hear of each other, engines would fall idle between two decisions;
 * above the upper one, four times as long, an urgent stream finds a prompt or two before it. Backlogs
 * move by more than the lower bound before all have heard of it: a smaller factor orders nothing.
 */
const reactionsInBacklog = 1.5;
const urgentFactor = 4;
/** Tight streams may be so many above an endpoint's slots: it admits the urgent first, and preempts for them. */
const slotsAbove = 4;
/** Beside streams with tight pauses, what waits to be read stays under this part of their pause. */
const besideTightShare = 0.35;
/** Milliseconds of a round trip to another availability zone, and what its bytes cost. */
const otherZoneMilliseconds = 3;
/**
 * Reading a token is paid once by the caller's wait and then by all that wait behind it: the more of
 * its time the service spends reading, the more of them there are. Failure: at the edge of overload
 * requests tire of waiting for who holds their beginning, others read it again, and with that the
 * service has twice the work and never comes back. At full load a saved token is therefore waited for
 * fifty times its reading, which is longer than callers have.
 */
const readingWeight = 5;
const busyReadingWeight = 45;
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
/**
 * The first choices of a prompt's beginning by rendezvous hashing are better by so much: about the reading
 * that a kept beginning saves, so that instances agree also on where it goes first, and what the first
 * can't take meets on the next. Without that, many instances send what they spill to the same idle
 * endpoint before they hear of each other.
 */
const homeMilliseconds = [80, 40, 20, 10] as const;
/** An endpoint that neither is a home nor holds the beginning is worse by so much, unless the request has passed over for as long. */
const strangerMilliseconds = 80;

type Option = {readonly id: string; readonly cost: number; readonly judged: Judged};

/** What all candidates together show; counted once for a choice. */
type Overview = {
	readonly loads: readonly EndpointLoad[];
	readonly readingWeight: number;
	/** The first so many of the order are left to tight streams. */
	readonly takenByTight: number;
};

/**
 * Chooses among candidates; at least one is needed. An endpoint that is behind is waited for only as
 * long as it is better than the best that is free by more than the wait so far.
 */
export function choosePlace(book: LoadBook, demand: Demand, candidates: readonly Candidate[], {zone, now, reactionMilliseconds}: Circumstances): Choice {
	const overview = overviewOf(book, candidates, now);
	const homes = demand.isTight ? [] : homesOf(demand.parts, candidates, overview.takenByTight);
	let free: Option | undefined;
	let behind: Option | undefined;
	let leastUnreadTokens = Infinity;
	for (const [index, candidate] of candidates.entries()) {
		const load = overview.loads[index]!;
		const judged = candidate.isEngine ? judgeEngine(book, demand, candidate, {load, readingWeight: overview.readingWeight, reactionMilliseconds}) : judgeService(book, demand, candidate, load);
		const cost = judged.cost + (candidate.zone === zone ? 0 : otherZoneMilliseconds) - homeBonus(homes, candidate.id) + strangerCost(demand, homes, {id: candidate.id, unreadTokens: judged.unreadTokens});
		leastUnreadTokens = Math.min(leastUnreadTokens, judged.unreadTokens);
		if (judged.wait > 0) {
			behind = behind === undefined || cost < behind.cost ? {id: candidate.id, cost, judged} : behind;
		} else {
			free = free === undefined || cost < free.cost ? {id: candidate.id, cost, judged} : free;
		}
	}

	const isWorthWaiting = !demand.isTight && behind !== undefined && free !== undefined && behind.cost + behind.judged.wait + demand.waitedMilliseconds < free.cost;
	if (free === undefined || isWorthWaiting) {
		return {type: 'wait', endpoint: behind!.id, milliseconds: behind!.judged.wait, isForBetter: free !== undefined};
	}

	return {type: 'place', endpoint: free.id, unreadTokens: free.judged.unreadTokens, expectedMilliseconds: free.judged.expected, leastUnreadTokens};
}

function overviewOf(book: LoadBook, candidates: readonly Candidate[], now: number): Overview {
	const loads: EndpointLoad[] = [];
	let reading = 0;
	let tightRuns = 0;
	let slots = 0;
	for (const candidate of candidates) {
		const load = book.load(candidate.id, now);
		loads.push(load);
		reading += load.readingShare;
		tightRuns += load.tightRuns;
		slots += candidate.slots;
	}

	const count = candidates.length;
	const takenByTight = Math.ceil(tightRuns / (slots / count * tightFill));
	return {loads, readingWeight: readingWeight + (busyReadingWeight * (Math.min(1, reading / count) ** 2)), takenByTight: takenByTight >= count ? 0 : takenByTight};
}

type Judged = {readonly cost: number; readonly wait: number; readonly unreadTokens: number; readonly expected: number};

function judgeEngine(book: LoadBook, demand: Demand, candidate: Candidate, {load, readingWeight: weight, reactionMilliseconds}: {load: EndpointLoad; readingWeight: number; reactionMilliseconds: number}): Judged {
	const speed = book.speed(demand.service);
	const unreadTokens = book.unread(candidate.id, demand.parts);
	const reading = readMilliseconds(speed, unreadTokens);
	const expected = load.backlogMilliseconds + reading + speed.baseMilliseconds;
	const slots = candidate.slots + (demand.isTight ? slotsAbove : 0);
	const wait = load.running >= slots ? speed.baseMilliseconds : Math.max(0, load.backlogMilliseconds - bearableBacklog(demand, load.tightRuns, reactionMilliseconds * reactionsInBacklog));
	const harm = demand.isTight
		? tightCost(demand, candidate, {load, span: load.backlogMilliseconds + reading})
		: Math.min(load.tightRuns, tightCounted) * reading * tightWeight;
	const cost = load.backlogMilliseconds + (reading * weight) + lateness(wait + expected, demand) + harm
		+ (load.running / candidate.slots * speed.baseMilliseconds);
	return {cost, wait, unreadTokens, expected};
}

function bearableBacklog({urgency, urgencies, tightestPauseMilliseconds, isTight}: Demand, tightRuns: number, leastUrgent: number): number {
	if (isTight) {
		return Infinity;
	}

	const rank = urgencies.least === urgencies.most ? 1 : Math.min(1, Math.max(0, (urgency - urgencies.most) / (urgencies.least - urgencies.most)));
	const mostUrgent = leastUrgent * urgentFactor;
	const own = mostUrgent * ((leastUrgent / mostUrgent) ** rank);
	return tightRuns === 0 ? own : Math.min(own, Math.max(leastUrgent, tightestPauseMilliseconds * besideTightShare));
}

function tightCost(demand: Demand, candidate: Candidate, {load, span}: {load: EndpointLoad; span: number}): number {
	const pause = (demand.pauseMilliseconds ?? Infinity) * pauseShare;
	const crowded = load.running >= candidate.slots * tightFill ? demand.targetMilliseconds : 0;
	return (candidate.order * orderMilliseconds) + (load.readingShare * readingShareMilliseconds) + crowded + (Math.max(0, span - pause) * brokenPauseWeight);
}

function judgeService(book: LoadBook, demand: Demand, candidate: Candidate, {running}: EndpointLoad): Judged {
	const work = book.workMilliseconds(demand.service);
	const expected = work * Math.max(1, (running + 1) / candidate.slots);
	const wait = running >= candidate.slots ? work / candidate.slots : 0;
	return {cost: running / candidate.slots * work, wait, unreadTokens: 0, expected};
}

function lateness(expected: number, {targetMilliseconds, elapsedMilliseconds}: Demand): number {
	return Math.max(0, elapsedMilliseconds + expected - (targetMilliseconds * latenessShare)) * latenessWeight;
}

function homeBonus(homes: readonly string[], id: string): number {
	const rank = homes.indexOf(id);
	return rank === -1 ? 0 : homeMilliseconds[rank] ?? 0;
}

function strangerCost({parts, waitedMilliseconds}: Demand, homes: readonly string[], {id, unreadTokens}: {id: string; unreadTokens: number}): number {
	const own = parts.at(-1)?.tokens ?? 0;
	const holdsBeginning = unreadTokens <= own;
	return homes.length === 0 || holdsBeginning || homes.includes(id) ? 0 : Math.max(0, strangerMilliseconds - waitedMilliseconds);
}

/** Where the shared beginning of a prompt belongs, best first: not where tight streams of now run. */
function homesOf(parts: readonly PromptPart[], candidates: readonly Candidate[], takenByTight: number): readonly string[] {
	const shared = parts.at(-2);
	if (shared === undefined) {
		return [];
	}

	const homes: Array<{id: string; score: number}> = [];
	for (const {id, hash, order} of candidates) {
		const score = mixHashes(shared.id, hash);
		const last = homes.at(homeMilliseconds.length - 1);
		if (order < takenByTight || (last !== undefined && score <= last.score)) {
			continue;
		}

		homes.push({id, score});
		homes.sort((left, right) => right.score - left.score);
		homes.length = Math.min(homes.length, homeMilliseconds.length);
	}

	return homes.map(({id}) => id);
}

/**
 * Failure: an endpoint falls below the bound, and each of many instances that have requests for it sends
 * one before it hears of the others. Symptom: first events come after five times the predicted time,
 * and the urgent wait behind them. Chance lets in so many times what is read in that time.
 */
const chanceFactor = 2.5;

/** What decides how many requests of all instances should take one place in one reaction. */
export type Contention = {
	/** Requests of other instances that are taken to want the same place. */
	readonly contenders: number;
	/** How often each of them is looked at. */
	readonly lookMilliseconds: number;
	/** How long the endpoint will read this one. */
	readonly readingMilliseconds: number;
	readonly reactionMilliseconds: number;
};

/** The chance with which a request that found a place takes it now. */
export function chanceOfPlace({contenders, lookMilliseconds, readingMilliseconds, reactionMilliseconds}: Contention): number {
	const readInReaction = reactionMilliseconds * (1 + reactionsInBacklog) / Math.max(readingMilliseconds, 1);
	return Math.min(1, chanceFactor * readInReaction * lookMilliseconds / reactionMilliseconds / Math.max(contenders, Number.EPSILON));
}

/** Gives candidates their place in the order in which tight streams fill them; ids decide, so all instances agree. */
export function inOrder(candidates: ReadonlyArray<Omit<Candidate, 'hash' | 'order'>>): Candidate[] {
	const hashed = candidates.map(candidate => ({...candidate, hash: hash32(candidate.id)}));
	hashed.sort((left, right) => left.hash - right.hash);
	return hashed.map((candidate, order) => ({...candidate, order}));
}
