import {type ClassPlan} from '../harness/catalogue.js';
import {type EngineCosts} from '../../fakes/index.js';

/** The three classes of each workspace. Times are short, so that a run of seconds corresponds to hours of real load. */
export const plans: Readonly<Record<'answer' | 'order' | 'chart', ClassPlan>> = {
	answer: {name: 'answer', tier: 0, firstTokenMilliseconds: 300, betweenTokensMilliseconds: 60, queueMilliseconds: 1500},
	order: {name: 'order', tier: 1, firstTokenMilliseconds: 1000, betweenTokensMilliseconds: 80, queueMilliseconds: 3000},
	chart: {name: 'chart', tier: 2, firstTokenMilliseconds: 3000, betweenTokensMilliseconds: 150, queueMilliseconds: 6000},
};
export type PlanName = keyof typeof plans;

/** Mean length of a response in tokens, by class. */
export const usualTokens: Readonly<Record<PlanName, number>> = {answer: 12, order: 20, chart: 60};

export const model = 'concierge-7b';
export const workspaces = ['auer', 'brandl', 'lima', 'cusco'] as const;
export const endpointCount = 3;
export const entryCount = 2;

/** A step takes 20 ms, and 4 ms more for each request in it: 10 concurrent requests have 60 ms between tokens. */
export const costs: Partial<EngineCosts> = {
	stepMilliseconds: 20, stepMillisecondsPerRequest: 4, prefillMillisecondsPerToken: 0.02, maximumBatch: 20, memoryTokens: 40_000,
};
/** The largest batch that meets the tightest target: full load ("just full"). */
export const fullBatch = 10;
/** Tokens per second of three such engines, rounded down; patterns state their load as a fraction of it. */
export const capacityTokensPerSecond = 495;
