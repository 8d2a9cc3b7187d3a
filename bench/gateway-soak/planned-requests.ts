/** The requests of the course planned, with what an endpoint answers; each is drawn from its caller's generator. */
import {type WorkerAnswer} from '../../fakes/platform-worker.js';
import {type Random} from '../harness/random.js';
import {eventCount, kinds} from './caller.js';
import {type Range} from './course-world.js';
import {type PlannedRequest} from './planned-connection.js';
import {lastingRoutes, passingKeys, passingRoutes} from './planned-versions.js';
import {validKey} from './soak-platform.js';
import {between} from './traffic.js';

/** A request, what an endpoint answers, and whether it breaks off that answer. */
export type DrawnRequest = {readonly request: PlannedRequest; readonly answer: WorkerAnswer; readonly breaksOff: boolean};
export type DrawRequest = (random: Random, id: string, seed: number) => DrawnRequest;

const deadlines = [4000, 6000, 9000] as const;
export const bodyLength = {low: 8, high: 15_000} as const;
const largeLength = {low: 100_000, high: 400_000} as const;
const ranges = {
	head: {low: 50, high: 1500}, body: {low: 200, high: 3000}, read: {low: 300, high: 1500}, quick: {low: 1, high: 30}, medium: {low: 200, high: 1500}, long: {low: 1500, high: 4500},
} as const satisfies Record<string, Range>;
/** How often, of 1. */
const shares = {headParts: 0.12, bodyLate: 0.15, slowReader: 0.1, large: 0.1, medium: 0.25, long: 0.1, otherKey: 0.1, otherRoute: 0.2, brokenOff: 0.04} as const;

export function drawPlanned(random: Random, id: string, seed: number): DrawnRequest {
	const isOther = random.uniform() < shares.otherRoute;
	const route = isOther ? random.pick(passingRoutes) : random.pick(lastingRoutes);
	const kind = kinds.find(one => one === route) ?? 'lookup';
	const isParted = random.uniform() < shares.headParts;
	const isBodyLate = random.uniform() < shares.bodyLate && kind !== 'lookup';
	const work = random.uniform();
	const isLarge = random.uniform() < shares.large && (kind === 'lookup' || kind === 'release');
	const breaksOff = seed % 2 === 0 && random.uniform() < shares.brokenOff;
	const range = work < shares.long ? ranges.long : (work < shares.long + shares.medium ? ranges.medium : ranges.quick);
	const workMilliseconds = between(random, range);
	const length = isLarge ? Math.round(between(random, largeLength)) : 0;
	const answer: WorkerAnswer = kind === 'chart' || kind === 'question'
		? {type: 'events', count: eventCount, gapMilliseconds: workMilliseconds / eventCount, ...(breaksOff && {cutAfter: 3})}
		: (breaksOff ? {type: 'reset'} : {type: 'whole', body: `answer to ${id}`.padEnd(length, '.'), afterMilliseconds: workMilliseconds});
	return {
		answer, breaksOff,
		request: {
			id, kind, route, key: random.uniform() < shares.otherKey ? random.pick(passingKeys) : validKey, deadlineMilliseconds: random.pick(deadlines),
			body: 'artwork!'.padEnd(Math.round(between(random, bodyLength)), '.'),
			headPauseMilliseconds: isParted ? between(random, ranges.head) : 0, bodyPauseMilliseconds: isBodyLate ? between(random, ranges.body) : 0,
			readPauseMilliseconds: random.uniform() < shares.slowReader ? between(random, ranges.read) : 0,
		},
	};
}
