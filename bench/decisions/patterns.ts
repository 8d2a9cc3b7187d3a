import {type EngineFaults} from '../../fakes/index.js';
import {createRandom, type Random} from '../harness/random.js';
import {capacityTokensPerSecond, endpointCount, type PlanName, usualTokens, workspaces} from './plan.js';

/** One request of a pattern. */
export type Planned = {readonly at: number; readonly workspace: string; readonly plan: PlanName; readonly tokens: number; readonly prompt: string};

/** Something that happens to an engine during a pattern. */
export type Trouble
	= | {readonly at: number; readonly type: 'faults'; readonly endpoint: number; readonly faults: Partial<EngineFaults>}
		| {readonly at: number; readonly type: 'crash' | 'start'; readonly endpoint: number};

/** One class of one workspace: its part of the whole capacity at a time, and what its requests look like. */
type Flow = {
	readonly workspace: string;
	readonly plan: PlanName;
	readonly load: (milliseconds: number) => number;
	readonly meanTokens?: number;
	readonly tokens?: (random: Random) => number;
	/** A long beginning that all prompts of the flow share. */
	readonly prefix?: string;
};

export type Pattern = {
	readonly name: string;
	readonly milliseconds: number;
	readonly flows: readonly Flow[];
	readonly troubles: readonly Trouble[];
	/** From when on, after a burst, every class must be well again. */
	readonly burstEnd?: number;
	/** True if crashes are part of it: more wasted work is allowed then. */
	readonly crashes: boolean;
};

const milliseconds = 6000;

/** The same loads for every workspace; `load` is the part of the whole capacity for each class. */
function evenly(load: Readonly<Record<PlanName, (at: number) => number>>): Flow[] {
	return workspaces.flatMap(workspace => (Object.keys(load) as PlanName[]).map(plan => ({
		workspace, plan, load: (at: number) => load[plan](at) / workspaces.length,
	})));
}

const always = (load: number) => (): number => load;
const during = (from: number, to: number, inside: number, outside: number) => (at: number): number => at >= from && at < to ? inside : outside;

/** The top tier needs half of the capacity however great the whole load is, as its class limits see to. */
function overload(factor: number): Flow[] {
	const top = Math.min(0.5, factor / 3);
	const rest = (factor - top) / 2;
	return evenly({answer: always(top), order: always(rest), chart: always(rest)});
}

function pattern(name: string, flows: readonly Flow[], more: Partial<Pattern> = {}): Pattern {
	return {name, milliseconds, flows, troubles: [], crashes: false, ...more};
}

const burstFrom = 1500;
const burstTo = 3000;
const burstFlows = evenly({answer: during(burstFrom, burstTo, 0.8, 0.2), order: during(burstFrom, burstTo, 1.1, 0.2), chart: during(burstFrom, burstTo, 1.1, 0.2)});
const usual = evenly({answer: always(0.25), order: always(0.3), chart: always(0.25)});
const menu = 'The menu of the house with all its allergens, dish by dish and in every language. '.repeat(40);

/** Every pattern of load that decisions are measured under. */
export const patterns: readonly Pattern[] = [
	pattern('burst', burstFlows, {burstEnd: burstTo}),
	pattern('class-burst', evenly({answer: always(0.25), order: always(0.25), chart: during(burstFrom, burstTo, 3, 0.2)}), {burstEnd: burstTo}),
	pattern('hot-caller', workspaces.map((workspace, index) => ({workspace, plan: 'order', load: always(index === 0 ? 3 : 0.25)}))),
	pattern('hot-prefix', [
		...evenly({answer: always(0.1), order: always(0.2), chart: always(0.2)}),
		{workspace: workspaces[2], plan: 'answer', load: always(0.3), prefix: menu},
	]),
	pattern('slow', usual, {troubles: [{at: 0, type: 'faults', endpoint: 0, faults: {slowFactor: 4}}]}),
	pattern('slow-recovers', usual, {
		troubles: [
			{at: 1000, type: 'faults', endpoint: 0, faults: {slowFactor: 4}},
			{at: 3000, type: 'faults', endpoint: 0, faults: {slowFactor: 1}},
		],
	}),
	pattern('long-among-short', [
		...workspaces.slice(0, 2).map((workspace): Flow => ({workspace, plan: 'order', load: always(0.35), tokens: random => random.uniform() < 0.15 ? 200 : 10, meanTokens: 38.5})),
		...workspaces.slice(2).map((workspace): Flow => ({workspace, plan: 'answer', load: always(0.15)})),
	]),
	pattern('lying-reports', usual, {
		troubles: Array.from({length: endpointCount}, (_, endpoint) => ({
			at: 0, type: 'faults', endpoint, faults: {loadLagMilliseconds: 3000, wrongLoad: {running: endpoint === 0 ? 0 : 30, waiting: 0, memoryUsed: endpoint === 0 ? 0 : 0.95, stepMilliseconds: 1}},
		})),
	}),
	pattern('overload-1.2', overload(1.2)),
	pattern('overload-2', overload(2)),
	pattern('overload-5', overload(5)),
	pattern('lost', burstFlows, {burstEnd: burstTo, crashes: true, troubles: [{at: 2000, type: 'crash', endpoint: 0}, {at: 4000, type: 'start', endpoint: 0}]}),
	pattern('combined', overload(2), {
		crashes: true,
		troubles: [
			{at: 1000, type: 'faults', endpoint: 1, faults: {slowFactor: 4}},
			{at: 2000, type: 'crash', endpoint: 0},
			{at: 3500, type: 'start', endpoint: 0},
			{at: 4000, type: 'faults', endpoint: 1, faults: {slowFactor: 1}},
		],
	}),
];

/** The requests of a pattern: Poisson arrivals, the same for the same seed whatever is measured. */
export function planRequests({flows, milliseconds: until}: Pattern, seed: number): readonly Planned[] {
	const random = createRandom(seed);
	return flows.flatMap(flow => planFlow(flow, until, random)).toSorted((one, other) => one.at - other.at);
}

const thinningStepMilliseconds = 10;

function planFlow(flow: Flow, until: number, random: Random): readonly Planned[] {
	const planned: Planned[] = [];
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
