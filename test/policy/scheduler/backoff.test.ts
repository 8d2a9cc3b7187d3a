import tap from 'tap';
import {createTieredScheduler, type Scheduler, type SchedulerAction, type SchedulerEvent, type TieredState} from '../../../src/policy/scheduler/index.js';
import {createSummary} from './arbitraries.js';

/** A queue in virtual time, with the actions of each event. */
class Queue {
	static create(): Queue {
		return new Queue();
	}

	now = 0;
	readonly #scheduler: Scheduler<TieredState> = createTieredScheduler({initialSlots: 2, maximumSlots: 2});
	#state = this.#scheduler.create();

	get slots(): number {
		return this.#scheduler.view(this.#state, this.now).slots;
	}

	apply(event: SchedulerEvent): readonly SchedulerAction[] {
		const {state, actions} = this.#scheduler.step(this.#state, event, this.now);
		this.#state = state;
		return actions;
	}

	arrive(id: string, more: Parameters<typeof createSummary>[0] = {}): readonly SchedulerAction[] {
		return this.apply({type: 'arrived', id, summary: createSummary({id, ...more})});
	}
}

// Guards against an endpoint that gets the next request of the queue at once after it has refused one.
tap.test('a backoff holds back offers until its end, a shorter one does not end it', async t => {
	const queue = Queue.create();
	t.match(queue.arrive('one'), [{type: 'offer', id: 'one'}]);
	queue.apply({type: 'started', id: 'one'});
	t.same(queue.apply({type: 'backoff', milliseconds: 1000}), []);
	t.same(queue.apply({type: 'backoff', milliseconds: 100}), []);
	t.same(queue.apply({type: 'finished', id: 'one', outcome: 'failed'}), []);
	t.same(queue.arrive('two', {queueMilliseconds: 4000}), []);
	t.equal(queue.slots, 0, 'entries see no free slot');
	queue.now = 999;
	t.same(queue.apply({type: 'tick'}), []);
	queue.now = 1000;
	t.match(queue.apply({type: 'tick'}), [{type: 'offer', id: 'two'}]);
	t.equal(queue.slots, 2);
});

// Guards against callers that wait at a side whose endpoint takes nothing until they have left.
tap.test('who can not get a slot before the end of a backoff is refused at once and told when it ends', async t => {
	const queue = Queue.create();
	for (const id of ['one', 'two']) {
		queue.arrive(id);
		queue.apply({type: 'started', id});
	}

	queue.arrive('patient', {queueMilliseconds: 4000});
	queue.arrive('impatient', {queueMilliseconds: 500});
	t.match(queue.apply({type: 'backoff', milliseconds: 2000}), [{type: 'refuse', id: 'impatient', retryAfterMilliseconds: 2000}]);
	queue.now = 100;
	t.match(queue.arrive('late', {queueMilliseconds: 500}), [{type: 'refuse', id: 'late', retryAfterMilliseconds: 1900}]);
});

// Guards against a body that is sent within the backoff because its slot was offered before.
tap.test('an offer that was not taken up before a backoff is withdrawn', async t => {
	const queue = Queue.create();
	t.match(queue.arrive('one'), [{type: 'offer', id: 'one'}]);
	t.match(queue.apply({type: 'backoff', milliseconds: 1000}), [{type: 'refuse', id: 'one'}]);
	t.match(queue.apply({type: 'started', id: 'one'}), [{type: 'refuse', id: 'one'}]);
});

// Guards against an endpoint that is out of use for hours by a mistaken value.
tap.test('a backoff has a longest time', async t => {
	const queue = Queue.create();
	queue.apply({type: 'backoff', milliseconds: 1e9});
	queue.now = 300_000;
	t.match(queue.arrive('one'), [{type: 'offer', id: 'one'}]);
});

// Guards against a queue that counts the time of a backoff as a sign that it empties slowly, and refuses who could be served.
tap.test('the time of a backoff does not count in the estimate of waits', async t => {
	const queue = Queue.create();
	const patient = {firstTokenMilliseconds: 20_000, queueMilliseconds: 20_000};
	let offered = Array.from({length: 40}, (_, number) => queue.arrive(`r${number}`, patient)).flat();
	for (let count = 0; count < 30; count++) {
		const [{id} = {id: ''}, ...others] = offered;
		queue.apply({type: 'started', id});
		queue.now += 50;
		offered = [...others, ...queue.apply({type: 'finished', id, outcome: 'whole'})];
	}

	t.same(offered.map(({type}) => type), ['offer', 'offer'], 'requests keep waiting');
	queue.apply({type: 'backoff', milliseconds: 1000});
	queue.now += 1000;
	queue.apply({type: 'tick'});
	t.same(queue.arrive('last', {queueMilliseconds: 500}).filter(({id}) => id === 'last'), []);
});
