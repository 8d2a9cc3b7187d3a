import fc from 'fast-check';
import {type RequestSummary, type Tier} from '../../../src/model/index.js';
import {type Outcome, type SchedulerEvent} from '../../../src/policy/scheduler/index.js';

/** Creates the summary of a request, with defaults for what is not given. */
export function createSummary(overrides: Partial<Record<keyof RequestSummary, unknown>> = {}): RequestSummary {
	const summary = {
		id: 'request', workspace: 'studio', weight: 1, className: 'chart', tier: 1, target: 'model', idempotent: true,
		firstTokenMilliseconds: 400, queueMilliseconds: 4000, promptTokens: 20, fingerprint: 'fingerprint', prefix: 'prefix', ...overrides,
	};
	return summary as RequestSummary;
}

/** An operation on the scheduler; `pick` selects one of the reservations to which it can be applied. */
export type Operation
	= | {readonly type: 'arrive'; readonly summary: RequestSummary}
		| {readonly type: 'withdraw' | 'start' | 'progress' | 'finish'; readonly pick: number; readonly tokens: number; readonly outcome: Outcome}
		| {readonly type: 'event'; readonly event: SchedulerEvent};

const summary = fc.record({
	workspace: fc.constantFrom('studio', 'rival', 'kitchen'),
	weight: fc.constant(1),
	tier: fc.constantFrom<Tier>(0, 1, 2),
	idempotent: fc.boolean(),
	firstTokenMilliseconds: fc.constantFrom(50, 400, 2000),
	queueMilliseconds: fc.constantFrom(100, 1000, 20_000),
	promptTokens: fc.integer({min: 0, max: 300}),
	preemptions: fc.constantFrom(undefined, 1, 2),
}).map(overrides => createSummary(overrides));

const event: fc.Arbitrary<SchedulerEvent> = fc.oneof(
	{weight: 8, arbitrary: fc.constant<SchedulerEvent>({type: 'tick'})},
	{weight: 2, arbitrary: fc.record({type: fc.constant('reported' as const), memoryUsed: fc.double({min: 0, max: 1, noNaN: true}), running: fc.nat(20)})},
	{weight: 1, arbitrary: fc.record({type: fc.constant('endpoint' as const), up: fc.boolean()})},
	{weight: 1, arbitrary: fc.record({type: fc.constant('backoff' as const), milliseconds: fc.constantFrom(0, 20, 300, 5000)})},
);

/** Sequences of operations, each after some milliseconds. Arrivals outnumber ends, so that queues fill. */
export const operations = fc.array(fc.record({
	afterMilliseconds: fc.constantFrom(0, 0, 1, 5, 30, 200),
	operation: fc.oneof(
		{weight: 10, arbitrary: fc.record({type: fc.constant('arrive' as const), summary})},
		{weight: 8, arbitrary: fc.record({
			type: fc.constantFrom('withdraw' as const, 'start' as const, 'start' as const, 'progress' as const, 'progress' as const, 'finish' as const),
			pick: fc.nat(1000),
			tokens: fc.integer({min: 0, max: 50}),
			outcome: fc.constantFrom<Outcome>('whole', 'cancelled', 'failed'),
		})},
		{weight: 3, arbitrary: fc.record({type: fc.constant('event' as const), event})},
	),
}), {minLength: 10, maxLength: 250});
