import fc from 'fast-check';
import tap from 'tap';
import {type RequestId, type RequestSummary} from '../../../src/model/index.js';
import {createSettings, createFifoScheduler, type Scheduler, type SchedulerAction, type SchedulerEvent, createTieredScheduler} from '../../../src/policy/scheduler/index.js';
import {type Operation, operations} from './arbitraries.js';

type Phase = 'waiting' | 'offered' | 'running' | 'stopping';
type TrackedReservation = {phase: Phase; summary: RequestSummary; since: number};

/** Applies operations to a scheduler, tracks every reservation in a model of its own and throws at the first action that the model forbids. */
class SchedulerModel<State> {
	static create<State>(scheduler: Scheduler<State>): SchedulerModel<State> {
		return new SchedulerModel(scheduler);
	}

	now = 0;
	readonly tracked = new Map<string, TrackedReservation>();
	refusals = 0;
	private isOpen = true;
	private backoffUntil = 0;
	private state: State;
	private count = 0;

	private constructor(private readonly scheduler: Scheduler<State>) {
		this.state = scheduler.create();
	}

	apply(operation: Operation): void {
		switch (operation.type) {
			case 'arrive': {
				const id = `reservation-${this.count++}`;
				const summary = {...operation.summary, id: id as RequestId};
				this.tracked.set(id, {phase: 'waiting', summary, since: this.now});
				this.step({type: 'arrived', id, summary});
				return;
			}

			case 'event': {
				this.isOpen = operation.event.type === 'endpoint' ? operation.event.up : this.isOpen;
				this.backoffUntil = Math.max(this.backoffUntil, operation.event.type === 'backoff' ? this.now + operation.event.milliseconds : 0);
				this.step(operation.event);
				return;
			}

			case 'withdraw':
			case 'start':
			case 'progress':
			case 'finish': {
				this.applyToReservation(operation);
			}
		}
	}

	step(event: SchedulerEvent): void {
		const {state, actions} = this.scheduler.step(this.state, event, this.now);
		this.state = state;
		for (const action of actions) {
			this.check(action);
		}

		const view = this.scheduler.view(state, this.now);
		const phases = [...this.tracked.values()].map(({phase}) => phase);
		const waiting = phases.filter(phase => phase === 'waiting').length;
		equal(view.waiting[0]! + view.waiting[1]! + view.waiting[2]!, waiting, 'number of waiting reservations');
		equal(view.running, phases.length - waiting, 'number of slot holders');
	}

	drain(): void {
		this.isOpen = false;
		this.step({type: 'leaving'});
	}

	private applyToReservation(operation: Exclude<Operation, {type: 'arrive' | 'event'}>): void {
		const allowedPhases: Record<typeof operation.type, readonly Phase[]> = {
			withdraw: ['waiting', 'offered'], start: ['offered'], progress: ['running', 'stopping'], finish: ['running', 'stopping'],
		};
		const candidates = [...this.tracked].filter(([, {phase}]) => allowedPhases[operation.type].includes(phase));
		if (candidates.length === 0) {
			return;
		}

		const [id, tracked] = candidates[operation.pick % candidates.length]!;
		if (operation.type === 'start') {
			tracked.phase = 'running';
			this.step({type: 'started', id});
			return;
		}

		if (operation.type === 'progress') {
			this.step({type: 'progressed', id, tokens: operation.tokens, milliseconds: operation.tokens * 10});
			return;
		}

		this.tracked.delete(id);
		const outcome = tracked.phase === 'stopping' ? 'preempted' : operation.outcome;
		this.step(operation.type === 'withdraw' ? {type: 'withdrawn', id} : {type: 'finished', id, outcome});
	}

	private check(action: SchedulerAction): void {
		const tracked = this.tracked.get(action.id);
		switch (action.type) {
			case 'offer': {
				equal(tracked?.phase, 'waiting', 'phase of the offered reservation');
				equal(this.isOpen, true, 'is open when offering');
				equal(this.now >= this.backoffUntil, true, 'is not in a backoff when offering');
				tracked!.phase = 'offered';
				return;
			}

			case 'preempt': {
				equal(tracked?.phase, 'running', 'phase of the preempted reservation');
				equal(tracked!.summary.idempotent, true, 'the preempted request is idempotent');
				const [, beneficiary] = [...this.tracked].find(([, {phase, summary}]) => phase === 'waiting' && summary.id === action.forRequest && mayPreemptFor(summary, tracked!.summary)) ?? [];
				equal(beneficiary !== undefined, true, 'a higher tier or another workspace waits for the slot');
				tracked!.phase = 'stopping';
				return;
			}

			case 'refuse': {
				equal(tracked?.phase === 'waiting' || tracked?.phase === 'offered', true, 'a refused reservation does not run');
				equal(action.retryAfterMilliseconds > 0, true, 'has a retry delay');
				this.refusals++;
				this.tracked.delete(action.id);
			}
		}
	}
}

function mayPreemptFor(one: RequestSummary, other: RequestSummary): boolean {
	return one.tier < other.tier || (one.tier === other.tier && one.workspace !== other.workspace);
}

function equal(actual: unknown, expected: unknown, description: string): void {
	if (actual !== expected) {
		throw new Error(`${description}: ${String(actual)}, not ${String(expected)}`);
	}
}

const smallSettings = {initialSlots: 3, queueLimit: 6, reservedQueuePositions: 2, offerTimeoutMilliseconds: 100};
const schedulers: ReadonlyArray<[string, () => Scheduler<unknown>]> = [
	['tiered', () => createTieredScheduler(smallSettings)],
	['first come', () => createFifoScheduler(smallSettings)],
];
for (const [name, create] of schedulers) {
	tap.test(`${name}: any sequence of events agrees with the model and violates no invariant`, async () => {
		fc.assert(fc.property(operations, steps => {
			const model = SchedulerModel.create(create());
			for (const {afterMilliseconds, operation} of steps) {
				model.now += afterMilliseconds;
				model.apply(operation);
			}
		}), {seed: 41, numRuns: 400});
	});

	tap.test(`${name}: no reservation waits past its queue timeout, and draining refuses all waiting ones at once`, async () => {
		fc.assert(fc.property(operations, steps => {
			const model = SchedulerModel.create(create());
			for (const {afterMilliseconds, operation} of steps) {
				model.now += afterMilliseconds;
				model.step({type: 'tick'});
				model.apply(operation);
				for (const {phase, since, summary} of model.tracked.values()) {
					equal(phase !== 'waiting' || model.now < since + summary.queueMilliseconds, true, 'waits within its queue timeout');
				}
			}

			model.drain();
			equal([...model.tracked.values()].every(({phase}) => phase === 'running' || phase === 'stopping'), true, 'only running reservations remain');
		}), {seed: 42, numRuns: 200});
	});
}

tap.test('a step does not modify the state that it gets', async t => {
	const scheduler = createTieredScheduler(createSettings(smallSettings));
	fc.assert(fc.property(operations, steps => {
		let state = scheduler.create();
		for (const [index, {operation}] of steps.entries()) {
			if (operation.type === 'arrive') {
				const event: SchedulerEvent = {type: 'arrived', id: `${index}`, summary: operation.summary};
				const first = JSON.stringify(scheduler.step(state, event, index).actions);
				const {state: next, actions} = scheduler.step(state, event, index);
				equal(JSON.stringify(actions), first, 'the same state and event give the same actions');
				state = next;
			}
		}
	}), {seed: 43, numRuns: 50});
	t.pass();
});
