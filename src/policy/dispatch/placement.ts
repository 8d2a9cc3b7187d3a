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
import {hash32, mixHashes} from '../hashing/index.js';
import {visibleRequestShare} from '../sharing/index.js';
import {type Candidate, type Choice, type PlacementContext, type Demand} from './demand.js';
import {type Judged, judgeEngine, type Overview, usableSlots} from './engine-cost.js';
import {homeCost, homesOf} from './prefix-affinity.js';
import {type EndpointLoad, type LoadTracker} from './load.js';
import {type Holder, holdersOf} from './transfer.js';

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

/** Makes the draw of a request's place among engines of tight streams differ from other draws from the same hash. */
const shiftSalt = 0x5E_ED_51;

/**
 * Failure: all callers come back in one moment, before any instance has heard of another's tight streams. Symptom: all of them go to the
 * first engine. An instance that knows next to nothing begins at any of this part of the engines.
 */
const unseenSpread = 0.15;

/** The part of what is not heard of that is taken to be spread like what is; single engines vary too much to go by them alone. */
const likeHeard = 0.2;
/**
 * Of many engines the one that looks emptiest is fuller than it looks: so many times the usual error of what is not heard of is added, of as many runs
 * as are taken to be there.
 */
const unseenErrors = 0.75;

type Option = {readonly id: string; readonly cost: number; readonly judged: Judged};

/**
 * Chooses among candidates; at least one is needed. An endpoint that is behind is waited for only as
 * long as it is better than the best that is free by more than the wait so far.
 */
export function choosePlace(book: LoadTracker, demand: Demand, candidates: readonly Candidate[], circumstances: PlacementContext): Choice {
	const overview = overviewOf(book, demand, candidates, circumstances);
	const homes = demand.isLatencyCritical ? [] : homesOf(demand.parts, candidates, overview.takenByTight);
	let free: Option | undefined;
	let behind: Option | undefined;
	let leastPrefillTokens = Infinity;
	for (const [index, candidate] of candidates.entries()) {
		const load = overview.loads[index]!;
		const judged = candidate.isEngine ? judgeEngine(book, demand, candidate, {load, place: index, isHome: candidate.id === homes[0], overview, circumstances}) : judgeService(book, demand, candidate, load);
		const cost = judged.cost + (candidate.zone === circumstances.zone ? 0 : otherZoneMilliseconds) + homeCost(demand, homes, {id: candidate.id, prefillTokens: judged.prefillTokens});
		leastPrefillTokens = Math.min(leastPrefillTokens, judged.prefillTokens);
		if (judged.wait > 0) {
			behind = behind === undefined || cost < behind.cost ? {id: candidate.id, cost, judged} : behind;
		} else {
			free = free === undefined || cost < free.cost ? {id: candidate.id, cost, judged} : free;
		}
	}

	const isWorthWaiting = !demand.isLatencyCritical && behind !== undefined && free !== undefined && behind.cost + behind.judged.wait + demand.waitedMilliseconds < free.cost;
	if (free === undefined || isWorthWaiting) {
		return {type: 'wait', endpoint: behind!.id, milliseconds: behind!.judged.wait, isDeferral: free !== undefined};
	}

	const {prefillTokens, fetch, expected} = free.judged;
	return {type: 'place', endpoint: free.id, prefillTokens, fetch, expectedMilliseconds: expected, leastPrefillTokens};
}

function overviewOf(book: LoadTracker, {parts}: Demand, candidates: readonly Candidate[], circumstances: PlacementContext): Overview {
	const loads: EndpointLoad[] = [];
	let reading = 0;
	let latencyCriticalRuns = 0;
	let slots = 0;
	for (const candidate of candidates) {
		const load = book.load(candidate.id, circumstances.now);
		loads.push(load);
		reading += load.readingShare;
		latencyCriticalRuns += load.latencyCriticalRuns;
		slots += candidate.slots;
	}

	const count = candidates.length;
	const seen = visibleRequestShare(circumstances.view);
	const takenByTight = Math.ceil(latencyCriticalRuns / seen / (slots / count * circumstances.tuning.tightFill * ((1 + seen) / 2)));
	let holders: readonly Holder[] | undefined;
	return {
		loads: seen === 1 ? loads : withUnseen(loads, {takenByTight, latencyCriticalRuns: latencyCriticalRuns / seen, seen}),
		spread: Math.max(takenByTight, Math.ceil(count * unseenSpread * (1 - seen))),
		seen,
		shift: seen === 1 ? 0 : mixHashes(parts.at(-1)?.id ?? 0, shiftSalt),
		readingWeight: readingWeight + (busyReadingWeight * (Math.min(1, reading / count) ** 2)),
		takenByTight: takenByTight >= count ? 0 : takenByTight,
		holders() {
			holders ??= holdersOf(book, parts, candidates, {tuning: circumstances.tuning, loads});
			return holders;
		},
	};
}

/**
 * Failure: an instance hears of a part of what the fleet sends. Symptom: it takes engines for half as full as they are, and under load all of them
 * get twice as many requests as they have slots; or it sends long prompts where tight streams run of which it hasn't heard. What is not heard of is taken to
 * be at an engine partly as much as what is, and partly as anywhere. The engines that are left to tight streams run an equal part of these.
 */
function withUnseen(loads: readonly EndpointLoad[], {takenByTight, latencyCriticalRuns, seen}: {takenByTight: number; latencyCriticalRuns: number; seen: number}): EndpointLoad[] {
	const unseen = (1 - seen) / seen;
	const add = (heard: number, mean: number): number => heard + (unseen * ((heard * likeHeard) + (mean * (1 - likeHeard))));
	const mean = {running: meanOf(loads, ({running}) => running), backlog: meanOf(loads, ({backlogMilliseconds}) => backlogMilliseconds)};
	return loads.map((load, place) => place < takenByTight
		? {...load, running: load.running / seen, latencyCriticalRuns: Math.max(load.latencyCriticalRuns / seen, latencyCriticalRuns / takenByTight)}
		: {...load, running: withError(add(load.running, mean.running), load.running), backlogMilliseconds: add(load.backlogMilliseconds, mean.backlog)});
}

function withError(estimated: number, heard: number): number {
	return estimated + (unseenErrors * Math.sqrt(estimated - heard));
}

function meanOf(loads: readonly EndpointLoad[], part: (load: EndpointLoad) => number): number {
	return loads.reduce((sum, load) => sum + part(load), 0) / loads.length;
}

function judgeService(book: LoadTracker, demand: Demand, candidate: Candidate, {running}: EndpointLoad): Judged {
	const work = book.serviceTimeMilliseconds(demand.service);
	const expected = work * Math.max(1, (running + 1) / candidate.slots);
	const wait = running >= usableSlots(candidate, demand) ? work / candidate.slots : 0;
	return {cost: running / candidate.slots * work, wait, prefillTokens: 0, fetch: undefined, expected};
}

/** Puts candidates in the order in which tight streams fill them; ids decide, so all instances agree. */
export function inHashOrder(candidates: ReadonlyArray<Omit<Candidate, 'hash'>>): Candidate[] {
	return candidates.map(candidate => ({...candidate, hash: hash32(candidate.id)})).toSorted((left, right) => left.hash - right.hash);
}
