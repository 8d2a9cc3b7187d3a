import {type Random} from '../harness/random.js';

/** Every fault that the soak can inject. `target` selects the affected process, modulo the number of processes. */
export const faultKinds = [
	'engine-crash',
	'engine-crash-mid-stream',
	'engine-slow',
	'engine-frozen',
	'engine-refuses',
	'engine-wrong-load',
	'engine-down',
	'events-crossed',
	'events-late',
	'events-duplicated',
	'events-foreign',
	'events-dropped',
	'stream-truncated',
	'side-crash',
	'entry-crash',
	'path-cut',
	'path-silent',
	'path-slow',
	'log-down',
	'log-slow',
	'log-loses-answers',
	'log-appends-twice',
	'log-rate-limited',
	'log-retention',
	'members-down',
	'members-lag',
	'members-hide',
	'members-phantom',
	'stop-entry',
	'stop-endpoint',
	'publish',
	'publish-race',
	'poison-request',
	'caller-burst',
] as const;
export type FaultKind = (typeof faultKinds)[number];

export type PlannedFault = {
	readonly atMilliseconds: number;
	readonly kind: FaultKind;
	readonly target: number;
	readonly durationMilliseconds: number;
};

const shortestMilliseconds = 100;
const longestMilliseconds = 2500;
/** Some faults coincide with a second one, since the rules must hold under pairs of faults too. */
const pairChance = 0.35;
const repeatChance = 0.15;
const repeatWithinMilliseconds = 200;
/** Much larger than the number of processes, so that `target % count` is about uniform. */
const targetBound = 1000;

/** Plans about `perSecond` faults over a time span; some come in pairs or are repeated. */
export function planFaults(random: Random, totalMilliseconds: number, perSecond: number): PlannedFault[] {
	const planned: PlannedFault[] = [];
	let at = 0;
	for (;;) {
		at += Math.round((1000 / perSecond) * (0.2 + (1.6 * random.uniform())));
		if (at >= totalMilliseconds) {
			return planned;
		}

		const fault = planOne(random, at);
		planned.push(fault);
		if (random.uniform() < pairChance) {
			planned.push(planOne(random, at));
		}

		if (random.uniform() < repeatChance) {
			planned.push({...fault, atMilliseconds: at + 1 + random.below(repeatWithinMilliseconds)});
		}
	}
}

function planOne(random: Random, atMilliseconds: number): PlannedFault {
	return {
		atMilliseconds, kind: random.pick(faultKinds), target: random.below(targetBound), durationMilliseconds: shortestMilliseconds + random.below(longestMilliseconds - shortestMilliseconds),
	};
}
