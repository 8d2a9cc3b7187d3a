/** The requests of the course streams: half of them long streams; orders, lookups and short streams beside them. */
import {type Random} from '../harness/random.js';
import {type Kind} from './caller.js';
import {type Range} from './course-world.js';
import {bodyLength, type DrawnRequest} from './planned-requests.js';
import {movedServices, passingKeys, type VersionPlan} from './planned-versions.js';
import {validKey} from './soak-platform.js';
import {between} from './traffic.js';

/** Routes that come and go, and the lasting route whose manner each has. */
const passingRoutes: Readonly<Record<string, Kind>> = {'extra-0': 'lookup', 'extra-1': 'release', 'extra-2': 'chart', 'extra-3': 'question'};
/** Services that streams move between. */
export const streamServices = ['models', 'drafts'] as const;
/** Longer than any stream, so that no timeout excuses what is lost. */
const timeouts = [15_000, 20_000] as const;
export const longEvents = 70;
const shortEvents = 6;
const longDeadlines = [9000, 14_000, 14_000] as const;
const shortDeadlines = [4000, 9000] as const;
/** The pause between events that the routes aim at. */
const gapMilliseconds: Readonly<Partial<Record<Kind, number>>> = {chart: 200, question: 100};
/** Pauses of that length in a long stream, at most. */
const mostPauses = 6;
const paddingBytes = 20_000;
const ranges = {
	long: {low: 1000, high: 10_000}, late: {low: 5500, high: 10_000}, silentLong: {low: 1000, high: 5500}, silence: {low: 1000, high: 4500}, short: {low: 20, high: 600}, work: {low: 1, high: 1500}, head: {low: 50, high: 1000},
	body: {low: 200, high: 3000}, read: {low: 300, high: 3000}, readAfter: {low: 0, high: 5000},
} as const satisfies Record<string, Range>;
/** How often, of 1. The rest are lookups. */
const shares = {long: 0.5, short: 0.15, release: 0.2, passing: 0.15, otherKey: 0.1, chunked: 0.3, bodyLate: 0.15, headParts: 0.05, slowReader: 0.12, padded: 0.04, silent: 0.1, brokenOff: 0.04} as const;

export const streamVersionPlan: VersionPlan = {
	passing: Object.keys(passingRoutes), moving: ['lookup', 'release', 'chart', 'question', ...Object.keys(passingRoutes)],
	servicesOf: route => isStream(passingRoutes[route] ?? route) ? streamServices : movedServices, mannerOf: route => passingRoutes[route] ?? 'lookup',
	timeouts, firstTimeoutMilliseconds: timeouts[0], rooms: [16, 40, 100], services: movedServices, engines: streamServices,
};

/** In each fifth seed only callers that send late in a stop have long questions: a gateway that has seen short ones alone begins them as long as it may. */
export function hasLongLateAlone(seed: number): boolean {
	return seed % 5 === 0;
}

/** The requests of a caller that sends late in a stop. */
export function drawLateStreams(random: Random, id: string, seed: number): DrawnRequest {
	const drawn = drawAny(random, id);
	if (!hasLongLateAlone(seed)) {
		return drawn;
	}

	const gapsMilliseconds = evenGaps(longEvents, between(random, ranges.late));
	return {
		...drawn, breaksOff: false, answer: {type: 'events', count: gapsMilliseconds.length, gapsMilliseconds},
		request: {...drawn.request, kind: 'question', route: 'question', key: validKey, deadlineMilliseconds: Math.max(...longDeadlines), headPauseMilliseconds: 0, bodyPauseMilliseconds: 0},
	};
}

export function drawStreams(random: Random, id: string, seed: number): DrawnRequest {
	const drawn = drawAny(random, id);
	if (!hasLongLateAlone(seed) || drawn.request.kind !== 'question') {
		return drawn;
	}

	const gapsMilliseconds = evenGaps(shortEvents, between(random, ranges.short));
	return {...drawn, breaksOff: false, answer: {type: 'events', count: gapsMilliseconds.length, gapsMilliseconds}};
}

function drawAny(random: Random, id: string): DrawnRequest {
	const share = random.uniform();
	const isLong = share < shares.long;
	const kind = drawKind(random, share);
	const passing = Object.keys(passingRoutes).find(route => passingRoutes[route] === kind)!;
	const route = random.uniform() < shares.passing ? passing : kind;
	const breaksOff = random.uniform() < shares.brokenOff;
	const cutAfter = 1 + random.below((isLong ? longEvents : shortEvents) - 1);
	const workMilliseconds = between(random, ranges.work);
	const gapsMilliseconds = isLong ? drawLongGaps(random, kind) : evenGaps(shortEvents, between(random, ranges.short));
	const isPadded = isLong && random.uniform() < shares.padded;
	const isParted = random.uniform() < shares.headParts;
	const isBodyLate = random.uniform() < shares.bodyLate && kind !== 'lookup';
	return {
		breaksOff,
		answer: isStream(kind)
			? {type: 'events', count: gapsMilliseconds.length, gapsMilliseconds, ...(breaksOff && {cutAfter, isReset: cutAfter % 2 === 0}), ...(isPadded && {paddingBytes})}
			: (breaksOff ? {type: 'reset'} : {type: 'whole', body: `answer to ${id}`, afterMilliseconds: workMilliseconds}),
		request: {
			id, kind, route, key: random.uniform() < shares.otherKey ? random.pick(passingKeys) : validKey, deadlineMilliseconds: random.pick(isLong ? longDeadlines : shortDeadlines),
			body: 'artwork!'.padEnd(Math.round(between(random, bodyLength)), '.'), isChunked: kind !== 'lookup' && random.uniform() < shares.chunked,
			headPauseMilliseconds: isParted ? between(random, ranges.head) : 0, bodyPauseMilliseconds: isBodyLate ? between(random, ranges.body) : 0,
			readPauseMilliseconds: random.uniform() < shares.slowReader ? between(random, ranges.read) : 0, readPauseAfterMilliseconds: isLong ? between(random, ranges.readAfter) : 0,
		},
	};
}

export function isStream(kind: string): boolean {
	return kind === 'chart' || kind === 'question';
}

function drawKind(random: Random, share: number): Kind {
	if (share < shares.long + shares.short) {
		return random.pick(['chart', 'question']);
	}

	return share < shares.long + shares.short + shares.release ? 'release' : 'lookup';
}

/** Gaps of a long stream: even ones, some pauses as long as the route aims at, and at times a silence in which the endpoint is at work. */
function drawLongGaps(random: Random, kind: Kind): number[] {
	const isSilent = random.uniform() < shares.silent;
	const gaps = evenGaps(longEvents, between(random, isSilent ? ranges.silentLong : ranges.long));
	for (let pauses = random.below(mostPauses + 1); pauses > 0; pauses--) {
		gaps[random.below(longEvents)] = random.uniform() * (gapMilliseconds[kind] ?? 0);
	}

	if (isSilent) {
		gaps[random.below(longEvents)] = between(random, ranges.silence);
	}

	return gaps;
}

function evenGaps(count: number, milliseconds: number): number[] {
	return Array.from({length: count}, () => milliseconds / count);
}
