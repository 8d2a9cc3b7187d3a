import {setTimeout as delay} from 'node:timers/promises';
import {planCatalogue} from '../harness/catalogue.js';
import {createRandom, type Random} from '../harness/random.js';
import {checkCalls, checkCrashes, checkKeys, checkNotRun, type CallRecord, type Violation} from './checker.js';
import {injectFault} from './faults.js';
import {Callers, soakClasses, workspaces} from './load.js';
import {planFaults, type FaultKind, type PlannedFault} from './plan.js';
import {soakModel, World} from './world.js';

export type SeedResult = {
	readonly seed: number;
	readonly calls: readonly CallRecord[];
	readonly faults: readonly PlannedFault[];
	readonly violations: readonly Violation[];
	readonly tokensProduced: number;
	readonly slowestChangeMilliseconds: number;
	readonly startedAt: number;
};

const faultsPerSecond = 2;
const callsPerSecond = 25;

/** Runs one seed on a fleet of its own: seeded calls and faults, recovery, then the checks. */
export async function runSeed(seed: number, seconds: number, only: readonly FaultKind[] | undefined): Promise<SeedResult> {
	const random = createRandom(seed);
	const faults = planFaults(random, seconds * 1000, faultsPerSecond).filter(fault => only === undefined || only.includes(fault.kind));
	await using world = await World.create(createRandom(seed + 1));
	await world.fleet.publish(planCatalogue([soakModel], workspaces, soakClasses));
	await world.fleet.connected();
	const startedAt = performance.now();
	const callers = Callers.create(world, random, seed);
	await Promise.all([sendCalls(callers, random, seconds * 1000), injectAll(world, callers, faults, startedAt)]);
	await world.heal();
	await callers.settled();
	const violations = [
		...checkCalls(callers.records, world.groundTruth),
		...checkKeys(callers.records, world.groundTruth),
		...checkNotRun(callers.records, world.groundTruth),
		...checkCrashes(world.groundTruth, performance.now()),
		...world.violations,
		...world.offsets.violations,
		...await checkAgreement(world),
		...checkResumes(world),
	];
	return {
		seed, calls: callers.records, faults, violations, tokensProduced: world.tokensProduced, slowestChangeMilliseconds: world.slowestChangeMilliseconds, startedAt,
	};
}

async function sendCalls(callers: Callers, random: Random, milliseconds: number): Promise<void> {
	const until = performance.now() + milliseconds;
	while (performance.now() < until) {
		await delay(random.exponential(1000 / callsPerSecond));
		callers.send();
	}
}

async function injectAll(world: World, callers: Callers, faults: readonly PlannedFault[], startedAt: number): Promise<void> {
	await Promise.all(faults.map(async fault => {
		await delay(Math.max(0, startedAt + fault.atMilliseconds - performance.now()));
		await inject(world, callers, fault);
	}));
}

async function inject(world: World, callers: Callers, fault: PlannedFault): Promise<void> {
	const {kind, target} = fault;
	if (kind === 'poison-request') {
		callers.poison(target);
		return;
	}

	if (kind === 'caller-burst') {
		callers.burst(target);
		return;
	}

	await injectFault(world, kind, fault);
}

const agreementMilliseconds = 10_000;

/** Once the log works again, every entry must arrive at the same catalogue. */
async function checkAgreement(world: World): Promise<Violation[]> {
	const deadline = performance.now() + agreementMilliseconds;
	for (;;) {
		const states = new Set(world.fleet.entries.map(({follower}) => JSON.stringify(follower.current().snapshot('soak'))));
		if (states.size <= 1) {
			return [];
		}

		if (performance.now() > deadline) {
			return [{rule: 'one catalogue', detail: `${states.size} different catalogues ${agreementMilliseconds} ms after the log was well`, at: performance.now()}];
		}

		await delay(20);
	}
}

function checkResumes(world: World): Violation[] {
	return world.resumeMismatches === 0 ? [] : [{rule: 'resume', detail: `${world.resumeMismatches} streams were resumed with a text that no engine wrote`, at: performance.now()}];
}
