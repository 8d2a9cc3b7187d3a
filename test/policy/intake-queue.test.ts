import fc from 'fast-check';
import tap from 'tap';
import {AcceptTurns, acceptsPerBeginning, IntakeQueue, type IntakeRequest, retryAfterOverload} from '../../src/policy/lateness/index.js';

const draft = {route: 'draft', urgency: {route: 2, workspace: undefined}, targetMilliseconds: 600};
const chart = {route: 'chart', urgency: {route: 1, workspace: undefined}, targetMilliseconds: 250};
const turnMilliseconds = 10;

let count = 0;

function request(kind: Omit<IntakeRequest, 'id' | 'arrivedAt' | 'lastStartAt' | 'givenMilliseconds'>, arrivedAt: number, milliseconds = 2000): IntakeRequest {
	count += 1;
	return {...kind, id: `${kind.route}-${count}`, arrivedAt, lastStartAt: arrivedAt + milliseconds, givenMilliseconds: milliseconds};
}

/** A queue that has begun a request in each turn for a second, and how late it is now. */
function busyQueue(kind: typeof draft): {queue: IntakeQueue<IntakeRequest>; now: number} {
	const queue = IntakeQueue.create<IntakeRequest>();
	let now = 0;
	queue.add(request(kind, now), now);
	for (; now < 1000; now += turnMilliseconds) {
		queue.add(request(kind, now), now);
		queue.recordTurn(turnMilliseconds);
		queue.step({now});
	}

	return {queue, now};
}

// Such requests were refused at once by every instance, however much time it had: a route that was added was never served.
tap.test('a request whose target is longer than its time is begun', async t => {
	const queue = IntakeQueue.create<IntakeRequest>();
	const odd = request({...draft, targetMilliseconds: 5000}, 0, 500);
	t.equal(queue.judge(odd, {now: 1}), undefined);
	queue.add(odd, 1);
	t.same(queue.step({now: 2}), {refused: [], next: odd});
});

tap.test('a request is refused once those before it leave it no time, and not before', async t => {
	const {queue, now} = busyQueue(chart);
	t.equal(queue.judge(request(chart, now), {now}), undefined);
	for (let number = 0; number < 300; number++) {
		queue.add(request(chart, now), now);
	}

	const judgement = queue.judge(request(chart, now), {now});
	t.equal(judgement?.reason, 'hopeless');
	t.ok(judgement!.waitMilliseconds > 1750, `${judgement!.waitMilliseconds} ms are foreseen`);
});

// The fewer were begun because of refusals, the longer seemed the wait, and the more were refused.
tap.test('a rate that falls because the processor goes to refusals does not refuse those that a turn could begin', async t => {
	const {queue, now} = busyQueue(chart);
	for (let later = now; later < now + 3000; later += 500) {
		queue.add(request(chart, later), later);
		queue.recordTurn(turnMilliseconds);
		queue.step({now: later});
	}

	t.equal(queue.judge(request(chart, now + 3000), {now: now + 3000}), undefined);
});

tap.test('while charts are refused a draft is begun once a second, and otherwise at each eighth turn at the latest', async t => {
	const begin = (hasRefused: boolean): number => {
		const {queue, now} = busyQueue(chart);
		for (let number = 0; number < 100; number++) {
			queue.add(request(draft, now, 60_000), now);
		}

		let drafts = 0;
		for (let at = now; at < now + 2000; at += turnMilliseconds) {
			queue.add(request(chart, at), at);
			if (hasRefused) {
				queue.judge(request(chart, at - 3000), {now: at});
			}

			drafts += queue.step({now: at}).next?.route === 'draft' ? 1 : 0;
		}

		return drafts;
	};

	const pressed = begin(true);
	t.ok(pressed >= 1 && pressed <= 3, `${pressed} in two seconds`);
	t.ok(begin(false) >= 200 / 8);
});

tap.test('a caller is told to come back after the wait, or as long as the overload has lasted', async t => {
	const judgement = {reason: 'hopeless', waitMilliseconds: 800, overloadedMilliseconds: 3000} as const;
	t.equal(retryAfterOverload(judgement, 0.5), 3000);
	t.equal(retryAfterOverload({...judgement, overloadedMilliseconds: 100}, 0.5), 800);
	t.equal(retryAfterOverload({...judgement, waitMilliseconds: 0, overloadedMilliseconds: 0}, 0.5), 150);
	t.equal(retryAfterOverload({...judgement, waitMilliseconds: 1e6}, 1), 10_000);
});

// The more connections came, the fewer requests were begun.
tap.test('in the long run a flood of connections leaves a beginning for every few of them', async t => {
	fc.assert(fc.property(fc.integer({min: 500, max: 3000}), turns => {
		let state = AcceptTurns.create();
		let begun = 0;
		for (let turn = 0; turn < turns; turn++) {
			const {type, next} = state.accept().endTurn();
			begun += type === 'begin' ? 1 : 0;
			state = next;
		}

		return begun >= (turns - 128) / (acceptsPerBeginning + 1);
	}), {seed: 75, numRuns: 50});
});
