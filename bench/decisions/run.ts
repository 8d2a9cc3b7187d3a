import {type FakeEngine} from '../../fakes/index.js';
import {type Violation} from '../../src/policy/scheduler/index.js';
import {callModel, type CallResult} from '../harness/caller.js';
import {keyOf, planCatalogue} from '../harness/catalogue.js';
import {LocalFleet} from '../harness/local-fleet.js';
import {createRandom} from '../harness/random.js';
import {type Pattern, type PlannedRequest, planRequests, type EngineFault} from './patterns.js';
import {costs, endpointCount, entryCount, model, plans, workspaces} from './plan.js';
import {type Variant} from './variants.js';

/** One request and its result. */
export type Sample = {readonly planned: PlannedRequest; readonly sentAt: number; readonly result: CallResult};

/** One run of a pattern: the results of all callers, and the engineWork of the engines. */
export type RunRecord = {
	readonly pattern: Pattern;
	readonly samples: readonly Sample[];
	readonly tokensProduced: number;
	readonly prefilledTokens: number;
	readonly violations: readonly Violation[];
	/** The largest delay of this process's timers, high on a busy machine. */
	readonly worstTimerLagMilliseconds: number;
};

/** Runs a pattern against the product's entries and sides over TCP on loopback. */
export async function runPattern(pattern: Pattern, variant: Variant, seed: number): Promise<RunRecord> {
	const random = createRandom(seed + 1000);
	const violations: Violation[] = [];
	await using fleet = await LocalFleet.create({
		entries: entryCount,
		endpoints: endpointCount,
		zones: ['zone-a'],
		models: [model],
		costs,
		scheduler: () => variant.scheduler({
			betweenTokensMilliseconds: plans.answer.betweenTokensMilliseconds,
			onViolation(violation) {
				violations.push(violation);
			},
		}),
		placement: async () => variant.placement,
		random: () => random.uniform(),
		logLevel: 'fatal',
	});
	const engines = fleet.endpoints.map(({engine}) => engine);
	await fleet.publish(planCatalogue([model], workspaces, Object.values(plans)));
	await fleet.connected();
	await warmUp(fleet);
	const before = engineWork(engines);
	const startedAt = performance.now();
	const lag = watchTimerLag();
	const engineFaults = pattern.engineFaults.map(async fault => injectFault(fleet, fault));
	const calls = planRequests(pattern, seed).map(async planned => send(planned, startedAt, random.pick(fleet.entries).entry.address));
	const samples = await Promise.all(calls);
	await Promise.all(engineFaults);
	return {
		pattern,
		samples,
		violations,
		tokensProduced: engineWork(engines).tokens - before.tokens,
		prefilledTokens: engineWork(engines).prefilled - before.prefilled,
		worstTimerLagMilliseconds: lag.stop(),
	};
}

/** Sends calls until the code is compiled, since a process's first calls are slow for that reason alone. */
async function warmUp(fleet: LocalFleet): Promise<void> {
	for (let round = 0; round < warmUpRounds; round++) {
		await Promise.all(Array.from({length: warmUpCalls}, async (_, index) => callModel({
			address: fleet.entries[index % fleet.entries.length]!.entry.address, key: keyOf(workspaces[0]), className: 'order', model, prompt: `Warm up ${round} ${index} [[tokens=8]]`,
		})));
	}
}

const warmUpRounds = 3;
const warmUpCalls = 32;

function engineWork(engines: readonly FakeEngine[]): {tokens: number; prefilled: number} {
	return {tokens: sum(engines.map(engine => engine.tokensProduced)), prefilled: sum(engines.map(engine => engine.prefilledTokens))};
}

async function send(planned: PlannedRequest, startedAt: number, address: string): Promise<Sample> {
	await delay(startedAt + planned.at - performance.now());
	const sentAt = performance.now() - startedAt;
	const result = await callModel({
		address, key: keyOf(planned.workspace), className: planned.plan, model, prompt: planned.prompt,
	});
	return {planned, sentAt, result};
}

async function injectFault(fleet: LocalFleet, fault: EngineFault): Promise<void> {
	await delay(fault.at);
	const {engine} = fleet.endpoints[fault.endpoint]!;
	switch (fault.type) {
		case 'faults': {
			Object.assign(engine.faults, fault.faults);
			return;
		}

		case 'crash': {
			await engine.crash();
			return;
		}

		case 'start': {
			await engine.start();
		}
	}
}

const watchEveryMilliseconds = 20;

function watchTimerLag(): {stop(): number} {
	let worst = 0;
	let last = performance.now();
	const timer = setInterval(() => {
		const now = performance.now();
		worst = Math.max(worst, now - last - watchEveryMilliseconds);
		last = now;
	}, watchEveryMilliseconds);
	return {
		stop() {
			clearInterval(timer);
			return worst;
		},
	};
}

async function delay(milliseconds: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, Math.max(0, milliseconds));
	});
}

function sum(values: readonly number[]): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
}
