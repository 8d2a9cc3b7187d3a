import {type EngineFaults} from '../../fakes/index.js';
import {createRandom, type Random} from '../harness/random.js';
import {capacityTokensPerSecond, endpointCount, type PlanName, usualTokens, workspaces} from './plan.js';

/** One request of a pattern. */
export type PlannedRequest = {readonly at: number; readonly workspace: string; readonly plan: PlanName; readonly tokens: number; readonly prompt: string};

/** A fault of an engine during a pattern. */
export type EngineFault
	= | {readonly at: number; readonly type: 'faults'; readonly endpoint: number; readonly faults: Partial<EngineFaults>}
		| {readonly at: number; readonly type: 'crash' | 'start'; readonly endpoint: number};

/** One class of one workspace: its load over time as a fraction of the total capacity, and the shape of its requests. */
type Flow = {
	readonly workspace: string;
	readonly plan: PlanName;
	readonly load: (milliseconds: number) => number;
	readonly meanTokens?: number;
	readonly tokens?: (random: Random) => number;
	/** A long prefix shared by all prompts of the flow. */
	readonly prefix?: string;
};

export type Pattern = {
	readonly name: string;
	readonly milliseconds: number;
	readonly flows: readonly Flow[];
	readonly engineFaults: readonly EngineFault[];
	/** End of the burst; from two seconds later on every class should meet its targets again. */
	readonly burstEnd?: number;
	/** True if the pattern includes crashes, so that more wasted work is allowed. */
	readonly crashes: boolean;
};

const milliseconds = 6000;

/** The same load for every workspace; `load` is the fraction of the total capacity for each class. */
function evenFlows(load: Readonly<Record<PlanName, (at: number) => number>>): Flow[] {
	return workspaces.flatMap(workspace => (Object.keys(load) as PlanName[]).map(plan => ({
		workspace, plan, load: (at: number) => load[plan](at) / workspaces.length,
	})));
}

const always = (load: number) => (): number => load;
const during = (from: number, to: number, inside: number, outside: number) => (at: number): number => at >= from && at < to ? inside : outside;

/** The top tier needs at most half of the capacity however high the total load is, as its class limits ensure. */
function overload(factor: number): Flow[] {
	const top = Math.min(0.5, factor / 3);
	const rest = (factor - top) / 2;
	return evenFlows({answer: always(top), order: always(rest), chart: always(rest)});
}

function pattern(name: string, flows: readonly Flow[], more: Partial<Pattern> = {}): Pattern {
	return {name, milliseconds, flows, engineFaults: [], crashes: false, ...more};
}

const burstFrom = 1500;
const burstTo = 3000;
const burstFlows = evenFlows({answer: during(burstFrom, burstTo, 0.8, 0.2), order: during(burstFrom, burstTo, 1.1, 0.2), chart: during(burstFrom, burstTo, 1.1, 0.2)});
const usualFlows = evenFlows({answer: always(0.25), order: always(0.3), chart: always(0.25)});
const menu = 'The menu of the house with all its allergens, dish by dish and in every language. '.repeat(40);

/** All load patterns. */
export const patterns: readonly Pattern[] = [
	pattern('burst', burstFlows, {burstEnd: burstTo}),
	pattern('class-burst', evenFlows({answer: always(0.25), order: always(0.25), chart: during(burstFrom, burstTo, 3, 0.2)}), {burstEnd: burstTo}),
	pattern('hot-caller', workspaces.map((workspace, index) => ({workspace, plan: 'order', load: always(index === 0 ? 3 : 0.25)}))),
	pattern('hot-prefix', [
		...evenFlows({answer: always(0.1), order: always(0.2), chart: always(0.2)}),
		{workspace: workspaces[2], plan: 'answer', load: always(0.3), prefix: menu},
	]),
	pattern('slow', usualFlows, {engineFaults: [{at: 0, type: 'faults', endpoint: 0, faults: {slowFactor: 4}}]}),
	pattern('slow-recovers', usualFlows, {
		engineFaults: [
			{at: 1000, type: 'faults', endpoint: 0, faults: {slowFactor: 4}},
			{at: 3000, type: 'faults', endpoint: 0, faults: {slowFactor: 1}},
		],
	}),
	pattern('long-among-short', [
		...workspaces.slice(0, 2).map((workspace): Flow => ({workspace, plan: 'order', load: always(0.35), tokens: random => random.uniform() < 0.15 ? 200 : 10, meanTokens: 38.5})),
		...workspaces.slice(2).map((workspace): Flow => ({workspace, plan: 'answer', load: always(0.15)})),
	]),
	pattern('lying-reports', usualFlows, {
		engineFaults: Array.from({length: endpointCount}, (_, endpoint) => ({
			at: 0, type: 'faults', endpoint, faults: {loadLagMilliseconds: 3000, wrongLoad: {running: endpoint === 0 ? 0 : 30, waiting: 0, memoryUsed: endpoint === 0 ? 0 : 0.95, stepMilliseconds: 1}},
		})),
	}),
	pattern('overload-1.2', overload(1.2)),
	pattern('overload-2', overload(2)),
	pattern('overload-5', overload(5)),
	pattern('lost', burstFlows, {burstEnd: burstTo, crashes: true, engineFaults: [{at: 2000, type: 'crash', endpoint: 0}, {at: 4000, type: 'start', endpoint: 0}]}),
	pattern('combined', overload(2), {
		crashes: true,
		engineFaults: [
			{at: 1000, type: 'faults', endpoint: 1, faults: {slowFactor: 4}},
			{at: 2000, type: 'crash', endpoint: 0},
			{at: 3500, type: 'start', endpoint: 0},
			{at: 4000, type: 'faults', endpoint: 1, faults: {slowFactor: 1}},
		],
	}),
];

/** Plans the requests of a pattern: Poisson arrivals that depend only on pattern and seed, so that all variants get the same. */
export function planRequests({flows, milliseconds: until}: Pattern, seed: number): readonly PlannedRequest[] {
	const random = createRandom(seed);
	return flows.flatMap(flow => planFlow(flow, until, random)).toSorted((one, other) => one.at - other.at);
}

const thinningStepMilliseconds = 10;

function planFlow(flow: Flow, until: number, random: Random): readonly PlannedRequest[] {
	const planned: PlannedRequest[] = [];
	const mean = flow.meanTokens ?? usualTokens[flow.plan];
	const ratePerLoad = capacityTokensPerSecond / mean / 1000;
	let due = random.exponential(1);
	for (let at = 0; at < until; at += thinningStepMilliseconds) {
		due -= flow.load(at) * ratePerLoad * thinningStepMilliseconds;
		while (due <= 0) {
			const tokens = flow.tokens?.(random) ?? 1 + Math.floor(random.exponential(mean - 0.5));
			const prompt = `${flow.prefix ?? ''}Request ${random.below(1e9)} of ${flow.workspace}: [[tokens=${tokens}]]`;
			planned.push({at: at + (random.uniform() * thinningStepMilliseconds), workspace: flow.workspace, plan: flow.plan, tokens, prompt});
			due += random.exponential(1);
		}
	}

	return planned;
}
