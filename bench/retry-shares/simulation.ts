/** Instances that share the allowance of retries of one service, in virtual time. Half of all requests fail and ask for a retry. */
import {type RetryAllowance, RetryShare, type SlackSharing} from '../../src/policy/dispatch/index.js';
import {createRandom} from '../harness/random.js';

/**
 * How the allowance is shared: by the number of links and without a wait after a start; among all that may be serving, with that wait; or
 * by one count of all retries, which each instance is told by those it is linked with.
 */
export const sharings = ['links', 'possible', 'told'] as const;
export type Sharing = (typeof sharings)[number];

export type Scenario = {
	readonly sharing: Sharing;
	readonly instances: number;
	/** Number of instances that get all callers' requests. */
	readonly favoured: number;
	/** Number of instances that see no other one, from a third of the time to two thirds. */
	readonly cutOff: number;
	/** Number of instances that start again, each time after this many milliseconds. */
	readonly restarted: number;
	readonly restartEveryMilliseconds: number;
	readonly seed: number;
};

export type Outcome = {
	/** Retries in the window that comes closest to the allowance, as a part of it. */
	readonly fullest: number;
	/** Part of the failed requests that were retried. */
	readonly retried: number;
};

const allowance: RetryAllowance = {ratio: 0.2, slack: 54, windowMilliseconds: 10_000};
const courseMilliseconds = 45_000;
const stepMilliseconds = 20;
const requestsPerSecondEach = 17;
const failingPart = 0.5;
/** Time until an instance that started has read which others there are, and is told what they have counted. */
const readMilliseconds = 600;
/** Time until a retry of one instance has been told to the others. */
const toldMilliseconds = 60;
const candidate = {service: 'orders', urgencyPosition: 0};

type Instance = {share: RetryShare; startedAt: number; readonly isCutOff: boolean; readonly restarts: boolean};

export function simulate(scenario: Scenario): Outcome {
	const {instances: count, favoured, cutOff, restarted, restartEveryMilliseconds, seed} = scenario;
	const random = createRandom(seed);
	const instances = Array.from({length: count}, (_, number): Instance => ({share: createShare(-Infinity), startedAt: -Infinity, isCutOff: number < cutOff, restarts: number < restarted}));
	const common = createShare(-Infinity);
	const told: Array<{readonly at: number; readonly share: RetryShare}> = [];
	const requests: number[] = [];
	const retries: number[] = [];
	let failed = 0;
	for (let now = 0; now < courseMilliseconds; now += stepMilliseconds) {
		const isCut = cutOff > 0 && now > courseMilliseconds / 3 && now < courseMilliseconds * 2 / 3;
		for (const instance of instances.filter(({restarts}) => restarts && restartEveryMilliseconds > 0 && now > 0 && now % restartEveryMilliseconds === 0)) {
			instance.startedAt = now;
			instance.share = createShare(scenario.sharing === 'links' ? -Infinity : now);
		}

		while ((told[0]?.at ?? Infinity) <= now) {
			told.shift()!.share.recordSent('orders', now);
		}

		const arrivals = Math.floor((requestsPerSecondEach * count * stepMilliseconds / 1000) + random.uniform());
		for (let number = 0; number < arrivals; number++) {
			const instance = instances[Math.floor(random.uniform() * favoured)]!;
			const isAlone = isCut && instance.isCutOff;
			const share = scenario.sharing === 'told' && !isAlone ? common : instance.share;
			share.countRequest('orders', now);
			requests.push(now);
			if (random.uniform() >= failingPart) {
				continue;
			}

			failed += 1;
			if (!share.reserve(candidate, sharingOf(scenario, instance, {now, isCut}), now).isGranted) {
				continue;
			}

			retries.push(now);
			if (share === common) {
				share.release('orders', now);
				told.push({at: now + toldMilliseconds, share});
			} else {
				share.recordSent('orders', now);
			}
		}
	}

	return {fullest: fullestWindow(requests, retries), retried: retries.length / failed};
}

function createShare(startedAt: number): RetryShare {
	return RetryShare.create({allowance, startedAt});
}

/** By how many the slack is divided, as an instance believes. */
function sharingOf({sharing, instances, cutOff}: Scenario, {startedAt, isCutOff}: Instance, {now, isCut}: {now: number; isCut: boolean}): SlackSharing {
	const linked = isCut ? (isCutOff ? 1 : instances - cutOff) : instances;
	const hasRead = now - startedAt >= readMilliseconds;
	switch (sharing) {
		case 'links': {
			return {type: 'known', instances: hasRead ? linked : 1};
		}

		case 'possible': {
			return hasRead ? {type: 'known', instances} : {type: 'unknown'};
		}

		case 'told': {
			return hasRead ? {type: 'known', instances: isCut && isCutOff ? instances : instances / linked} : {type: 'unknown'};
		}
	}
}

function fullestWindow(requests: readonly number[], retries: readonly number[]): number {
	const {ratio, slack, windowMilliseconds} = allowance;
	let fullest = 0;
	for (let until = windowMilliseconds; until < courseMilliseconds; until += 10 * stepMilliseconds) {
		const counted = Math.max(...[0, 0.5, 1].map(windows => countWithin(requests, until - (windows * windowMilliseconds))));
		fullest = Math.max(fullest, countWithin(retries, until) / ((ratio * counted) + slack));
	}

	return fullest;
}

function countWithin(times: readonly number[], until: number): number {
	let count = 0;
	for (const at of times) {
		count += at > until - allowance.windowMilliseconds && at <= until ? 1 : 0;
	}

	return count;
}
