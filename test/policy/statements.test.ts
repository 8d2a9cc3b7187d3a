import tap from 'tap';
import fc from 'fast-check';
import {simulate} from '../../bench/rate-limit/simulation.js';
import {
	admissionOf, type EndpointStatements, initialStatements, maxBackoffMilliseconds, shareOf, type StatementsContext, type StatementsEvent, stepStatements, type StatementsAction, statementsInForce,
} from '../../src/policy/statements/index.js';

const fleet = {endpoint: 'e', instance: 'a', instances: ['a', 'b']};

function contextAt(now: number): StatementsContext {
	return {now, fleet, draw: 0.5};
}

/** A response to a request that was sent just before. */
function response(requestsPerSecond: number | undefined, {sentAt, canWithdraw = true}: {sentAt: number; canWithdraw?: boolean}): StatementsEvent {
	return {type: 'response', statements: requestsPerSecond === undefined ? [] : [{type: 'rate-limit', requestsPerSecond}], malformed: [], sentAt, canWithdraw};
}

/** The state and all actions after events at these times. */
function play(events: ReadonlyArray<readonly [number, StatementsEvent]>): {state: EndpointStatements; actions: StatementsAction[]} {
	let state = initialStatements;
	const all: StatementsAction[] = [];
	for (const [now, event] of events) {
		const step = stepStatements(state, event, contextAt(now));
		state = step.state;
		all.push(...step.actions);
	}

	return {state, actions: all};
}

// Guards against a limit that each instance keeps by itself, and against the saved-up requests of many instances at once.
tap.test('instances together send at most one and a half times the limit in four seconds, and one request', async t => {
	for (const [instances, requestsPerSecond] of [[2, 0.3], [4, 1.7], [4, 2.3], [20, 1.7], [20, 30], [68, 5], [350, 1.7]] as const) {
		for (const seed of [1, 2]) {
			const {mostInSpan} = simulate({sharing: 'sharers', instances, requestsPerSecond, favoured: instances, cutOff: 0, seed});
			t.ok(mostInSpan * requestsPerSecond * 4 <= Math.ceil(requestsPerSecond * 4 * 1.5) + 1, `${instances} instances, limit ${requestsPerSecond}: ${mostInSpan}`);
		}
	}
});

tap.test('the shares of all instances add up to the limit', async t => {
	fc.assert(fc.property(fc.integer({min: 1, max: 60}), fc.double({min: 0.1, max: 100, noNaN: true}), (count, rate) => {
		const names = Array.from({length: count}, (_, number) => `i${number}`);
		const shares = names.map(instance => shareOf(rate, {endpoint: 'e', instance, instances: names}));
		const sum = shares.reduce((total, share) => total + (share.type === 'share' ? share.requestsPerSecond : 0), 0);
		const trials = shares.reduce((total, share) => total + (share.type === 'trial' ? 1000 / share.periodMilliseconds : 0), 0);
		return Math.abs(sum - rate) < 1e-9 * rate && trials <= rate / 16;
	}), {seed: 3, numRuns: 300});
	t.pass();
});

// Guards against a limit that never ends: with no request there is no response that lacks it.
tap.test('an instance without a share sends a trial in each period', async t => {
	const names = Array.from({length: 20}, (_, number) => `i${number}`);
	const instance = names.find(name => shareOf(1, {endpoint: 'e', instance: name, instances: names}).type === 'trial')!;
	const context = (now: number): StatementsContext => ({now, fleet: {endpoint: 'e', instance, instances: names}, draw: 0});
	const {state} = stepStatements(initialStatements, response(1, {sentAt: 0}), context(0));
	t.equal(admissionOf(state, 0).type, 'open', 'its first turn');
	const after = stepStatements(state, {type: 'sent'}, context(10)).state;
	t.same(admissionOf(after, 20), {type: 'held', by: 'rate-limit', until: 320_000});
	t.equal(admissionOf(after, 320_100).type, 'open');
	t.equal(admissionOf(after, 322_000).type, 'held', 'a turn that was not used is over');
});

// Guards against a response of a request that was sent before the statement: on another connection it arrives later.
tap.test('a limit ends with a response to a request that was sent after it was last heard', async t => {
	const stated = play([[100, response(2, {sentAt: 50})]]);
	t.match(stated.actions, [{type: 'limited', requestsPerSecond: 2}, {type: 'report'}]);
	t.equal(admissionOf(stated.state, 100).type, 'held', 'nothing may be sent at once');
	t.equal(admissionOf(stated.state, 1100).type, 'open', 'its share is one request a second');

	const overtaken = play([[100, response(2, {sentAt: 50})], [110, response(undefined, {sentAt: 60})]]);
	t.not(overtaken.state.rateLimit, undefined);
	const uncertain = play([[100, response(2, {sentAt: 50})], [210, response(undefined, {sentAt: 150, canWithdraw: false})]]);
	t.not(uncertain.state.rateLimit, undefined, 'a response that does not name its request ends nothing');
	const malformed = play([[100, response(2, {sentAt: 50})], [210, {type: 'response', statements: [], malformed: ['limit: abc'], sentAt: 150, canWithdraw: true}]]);
	t.not(malformed.state.rateLimit, undefined, 'a malformed statement is not the absence of one');
	const ended = play([[100, response(2, {sentAt: 50})], [210, response(undefined, {sentAt: 150})]]);
	t.equal(ended.state.rateLimit, undefined);
	t.match(ended.actions.at(-2), {type: 'unlimited', milliseconds: 110});
	t.equal(admissionOf(ended.state, 211).type, 'open');
});

tap.test('each statement of a limit is followed by its newest value', async t => {
	const {state, actions} = play([[0, response(2, {sentAt: 0})], [100, response(2, {sentAt: 50})], [200, response(8, {sentAt: 150})]]);
	t.equal(state.rateLimit!.requestsPerSecond, 8);
	t.same(actions.filter(({type}) => type === 'limited').length, 2);
	t.match(actions.at(-2), {type: 'limited', before: 2});
});

// Guards against limits of 0 that nobody finds ended, and against values that hold back for ever.
tap.test('any rate has a defined share', async t => {
	for (const rate of [0, 0.3, 1e9]) {
		const share = shareOf(rate, {endpoint: 'e', instance: 'a', instances: []});
		t.ok(share.type === 'share' && share.requestsPerSecond > 0 && Number.isFinite(share.requestsPerSecond), `${rate}`);
	}
});

// Guards against instances that tell each other the same for ever, and against an older report that undoes a newer one.
tap.test('a report of another instance counts if it is newer, and is passed on only after an own observation', async t => {
	const reported = (rate: number | undefined, observedAt: number): StatementsEvent => ({type: 'reported', rateLimit: rate === undefined ? undefined : {type: 'rate-limit', requestsPerSecond: rate}, observedAt});
	const known = play([[100, reported(2, 80)]]);
	t.equal(known.state.rateLimit!.requestsPerSecond, 2);
	t.notOk(known.actions.some(({type}) => type === 'report'));
	t.ok(play([[100, reported(2, 80)], [200, response(2, {sentAt: 150})]]).actions.some(({type}) => type === 'report'), 'confirmed by the endpoint');
	t.equal(play([[100, response(undefined, {sentAt: 60})], [120, reported(2, 90)]]).state.rateLimit, undefined, 'older than its own knowledge');
	t.equal(play([[100, reported(2, 80)], [130, reported(undefined, 120)]]).state.rateLimit, undefined);
	const repeated = play([[100, response(2, {sentAt: 50})], [150, reported(2, 140)], [200, response(2, {sentAt: 160})]]);
	t.equal(repeated.actions.filter(({type}) => type === 'report').length, 1);
});

// Guards against an earlier response that arrives later and makes a leaving endpoint usable again.
tap.test('leaving is final', async t => {
	const leaving: StatementsEvent = {type: 'response', statements: [{type: 'leaving'}], malformed: [], sentAt: 0, canWithdraw: true};
	const {state, actions} = play([[10, leaving], [20, response(undefined, {sentAt: 15})], [30, leaving]]);
	t.same(actions, [{type: 'leaving'}]);
	t.same(statementsInForce(state, 40), ['leaving']);
});

// Guards against a good response, or a shorter rest, that ends a rest before its time.
tap.test('a rest lasts to its end', async t => {
	const rest = (milliseconds: number): StatementsEvent => ({type: 'response', statements: [{type: 'backoff', milliseconds}], malformed: [], sentAt: 0, canWithdraw: true});
	const {state, actions} = play([[10, rest(3000)], [20, response(undefined, {sentAt: 15})], [30, rest(500)], [40, rest(3000)]]);
	t.same(admissionOf(state, 3039), {type: 'held', by: 'backoff', until: 3040});
	t.equal(admissionOf(state, 3040).type, 'open');
	t.same(actions.map(action => action.type === 'backing-off' && [action.milliseconds, action.isLonger]), [[3000, false], [3000, true]]);
	t.equal(admissionOf(play([[0, rest(1e9)]]).state, maxBackoffMilliseconds).type, 'open', 'a mistaken value');
	t.same(admissionOf(play([[5, response(2, {sentAt: 0})], [10, rest(3000)]]).state, 20), {type: 'held', by: 'backoff', until: 3010}, 'the later of two');
	t.match(admissionOf(play([[5, response(0.1, {sentAt: 0})], [10, rest(3000)]]).state, 20), {type: 'held', by: 'rate-limit'});
});
