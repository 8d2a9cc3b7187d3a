import fc from 'fast-check';
import tap from 'tap';
import {type RequestId, type RequestSummary} from '../../../src/model/index.js';
import {createSettings, createFifoScheduler, type Scheduler, type SchedulerAction, type SchedulerEvent, createTieredScheduler} from '../../../src/policy/scheduler/index.js';
import {type Deed, deeds} from './arbitraries.js';

type Place = 'waiting' | 'offered' | 'running' | 'stopping';
type Known = {place: Place; summary: RequestSummary; since: number};

/** Plays deeds against a queue, keeps its own books and throws at the first action that they forbid. */
class Player<State> {
	static create<State>(scheduler: Scheduler<State>): Player<State> {
		return new Player(scheduler);
	}

	now = 0;
	readonly known = new Map<string, Known>();
	answered = 0;
	private open = true;
	private state: State;
	private count = 0;

	private constructor(private readonly scheduler: Scheduler<State>) {
		this.state = scheduler.create();
	}

	play(deed: Deed): void {
		switch (deed.type) {
			case 'arrive': {
				const id = `reservation-${this.count++}`;
				const summary = {...deed.summary, id: id as RequestId};
				this.known.set(id, {place: 'waiting', summary, since: this.now});
				this.step({type: 'arrived', id, summary});
				return;
			}

			case 'event': {
				this.open = deed.event.type === 'endpoint' ? deed.event.up : this.open;
				this.step(deed.event);
				return;
			}

			case 'withdraw':
			case 'start':
			case 'progress':
			case 'finish': {
				this.playOn(deed);
			}
		}
	}

	step(event: SchedulerEvent): void {
		const {state, actions} = this.scheduler.step(this.state, event, this.now);
		this.state = state;
		for (const action of actions) {
			this.check(action);
		}

		const view = this.scheduler.view(state);
		const places = [...this.known.values()].map(({place}) => place);
		const waiting = places.filter(place => place === 'waiting').length;
		equal(view.waiting[0]! + view.waiting[1]! + view.waiting[2]!, waiting, 'waiting');
		equal(view.running, places.length - waiting, 'holding slots');
	}

	leave(): void {
		this.open = false;
		this.step({type: 'leaving'});
	}

	private playOn(deed: Exclude<Deed, {type: 'arrive' | 'event'}>): void {
		const wanted: Record<typeof deed.type, readonly Place[]> = {
			withdraw: ['waiting', 'offered'], start: ['offered'], progress: ['running', 'stopping'], finish: ['running', 'stopping'],
		};
		const candidates = [...this.known].filter(([, {place}]) => wanted[deed.type].includes(place));
		if (candidates.length === 0) {
			return;
		}

		const [id, known] = candidates[deed.pick % candidates.length]!;
		if (deed.type === 'start') {
			known.place = 'running';
			this.step({type: 'started', id});
			return;
		}

		if (deed.type === 'progress') {
			this.step({type: 'progressed', id, tokens: deed.tokens, milliseconds: deed.tokens * 10});
			return;
		}

		this.known.delete(id);
		const outcome = known.place === 'stopping' ? 'preempted' : deed.outcome;
		this.step(deed.type === 'withdraw' ? {type: 'withdrawn', id} : {type: 'finished', id, outcome});
	}

	private check(action: SchedulerAction): void {
		const known = this.known.get(action.id);
		switch (action.type) {
			case 'offer': {
				equal(known?.place, 'waiting', 'offered');
				equal(this.open, true, 'open while offering');
				known!.place = 'offered';
				return;
			}

			case 'preempt': {
				equal(known?.place, 'running', 'preempted');
				equal(known!.summary.idempotent, true, 'idempotent');
				const [, rescued] = [...this.known].find(([, {place, summary}]) => place === 'waiting' && summary.id === action.forRequest && isRescuable(summary, known!.summary)) ?? [];
				equal(rescued !== undefined, true, 'a higher tier or a rival waits for the slot');
				known!.place = 'stopping';
				return;
			}

			case 'refuse': {
				equal(known?.place === 'waiting' || known?.place === 'offered', true, 'refused only what does not run');
				equal(action.retryAfterMilliseconds > 0, true, 'says when to come back');
				this.answered++;
				this.known.delete(action.id);
			}
		}
	}
}

function isRescuable(one: RequestSummary, other: RequestSummary): boolean {
	return one.tier < other.tier || (one.tier === other.tier && one.workspace !== other.workspace);
}

function equal(actual: unknown, expected: unknown, what: string): void {
	if (actual !== expected) {
		throw new Error(`${what}: ${String(actual)}, not ${String(expected)}`);
	}
}

const small = {initialSlots: 3, queueLimit: 6, floorPlaces: 2, holdMilliseconds: 100};
const makers: ReadonlyArray<[string, () => Scheduler<unknown>]> = [
	['tiered', () => createTieredScheduler(small)],
	['first come', () => createFifoScheduler(small)],
];
for (const [name, make] of makers) {
	tap.test(`${name}: any sequence of events keeps the books, and every asserted rule`, async () => {
		fc.assert(fc.property(deeds, list => {
			const player = Player.create(make());
			for (const {afterMilliseconds, deed} of list) {
				player.now += afterMilliseconds;
				player.play(deed);
			}
		}), {seed: 41, numRuns: 400});
	});

	tap.test(`${name}: nothing waits past its time, and leaving answers whatever waits at once`, async () => {
		fc.assert(fc.property(deeds, list => {
			const player = Player.create(make());
			for (const {afterMilliseconds, deed} of list) {
				player.now += afterMilliseconds;
				player.step({type: 'tick'});
				player.play(deed);
				for (const {place, since, summary} of player.known.values()) {
					equal(place !== 'waiting' || player.now < since + summary.queueMilliseconds, true, 'still in its time');
				}
			}

			player.leave();
			equal([...player.known.values()].every(({place}) => place === 'running' || place === 'stopping'), true, 'only running ones are left');
		}), {seed: 42, numRuns: 200});
	});
}

tap.test('one step leaves the state that it was given as it was', async t => {
	const scheduler = createTieredScheduler(createSettings(small));
	fc.assert(fc.property(deeds, list => {
		let state = scheduler.create();
		for (const [index, {deed}] of list.entries()) {
			if (deed.type === 'arrive') {
				const event: SchedulerEvent = {type: 'arrived', id: `${index}`, summary: deed.summary};
				const first = JSON.stringify(scheduler.step(state, event, index).actions);
				const {state: next, actions} = scheduler.step(state, event, index);
				equal(JSON.stringify(actions), first, 'the same state and event give the same actions');
				state = next;
			}
		}
	}), {seed: 43, numRuns: 50});
	t.pass();
});
