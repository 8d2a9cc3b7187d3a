import fc from 'fast-check';
import tap from 'tap';
import {parseTuning} from '../../src/bin/settings/tuning.js';
import {type ZoneName} from '../../src/model/index.js';
import {type UrgencyPair} from '../../src/routing/index.js';
import {
	availability, type Candidate, sendProbability, choosePlace, createEndpointHealth, createPrefillSpeed, decodeLoad, defaultTuning, type Demand, encodeLoad, inHashOrder, learnPrefillSpeed, LoadTracker,
	QueueReporter, type LoadEvent, PrefixCache, PeerQueues, RetryShare, retryAfterWithoutTable, runId, stepEndpointHealth, type QueuedRequest, WaitingQueue,
} from '../../src/policy/dispatch/index.js';

const zone = 'zone-a' as ZoneName;
const propagationMilliseconds = 20;
const view = {links: 3, instances: 4};

function candidates(count: number, slots = 16): Candidate[] {
	return inHashOrder(Array.from({length: count}, (_, index) => ({id: `endpoint-${index}`, zone, slots, isEngine: true})));
}

function demand(more: Partial<Demand> = {}): Demand {
	return {
		service: 'models', urgency: 2, urgencies: {most: 1, least: 2}, targetMilliseconds: 600, parts: [], isLatencyCritical: false, maxPauseMilliseconds: 500, strictestPauseMilliseconds: 120, waitedMilliseconds: 0, elapsedMilliseconds: 0, isOutranked: false, ...more,
	};
}

function bookFor(all: readonly Candidate[]): LoadTracker {
	const book = LoadTracker.create();
	for (const {id} of all) {
		book.setCacheCapacity(id, 400_000);
	}

	return book;
}

let runs = 0;
function place(book: LoadTracker, wanted: Demand, all: readonly Candidate[], now: number): string | undefined {
	const choice = choosePlace(book, wanted, all, {zone, now, propagationMilliseconds, view, tuning: defaultTuning});
	if (choice.type !== 'place') {
		return undefined;
	}

	runs += 1;
	book.step({type: 'placed', run: {
		id: `run-${runs}`, owner: 'a', endpoint: choice.endpoint, service: wanted.service, prefillTokens: choice.prefillTokens, isLatencyCritical: wanted.isLatencyCritical, parts: wanted.parts,
	}}, now);
	return choice.endpoint;
}

function prompt(subject: number, own: number): Demand['parts'] {
	return [{id: 1, tokens: 2500}, {id: 1000 + subject, tokens: 3800}, {id: 1_000_000 + own, tokens: 2900}];
}

// A burst of long prompts over many subjects. Placed without regard to what engines hold, each subject
// is read on nearly every engine; kept together it is read on one or two.
tap.test('prompts with a common beginning meet where it is held', async t => {
	const all = candidates(10);
	const book = bookFor(all);
	const seen = new Map<number, Set<string>>();
	for (let number = 0; number < 300; number++) {
		const subject = number * 7 % 30;
		// One at a time, each read before the next comes.
		const endpoint = place(book, demand({parts: prompt(subject, number)}), all, number * 60)!;
		book.step({type: 'first-event', id: `run-${runs}`}, (number * 60) + 30);
		book.step({type: 'ended', id: `run-${runs}`}, (number * 60) + 50);
		seen.set(subject, (seen.get(subject) ?? new Set()).add(endpoint));
	}

	const mean = [...seen.values()].reduce((sum, endpoints) => sum + endpoints.size, 0) / seen.size;
	t.ok(mean <= 1.5, `${mean} endpoints a subject`);
});

// Long prompts come while streams with tight pauses run on some engines. A reader of long prompts
// beside them would stretch every pause; while other engines have room, none comes there.
tap.test('long prompts keep away from streams with tight pauses', async t => {
	const all = candidates(8);
	const book = bookFor(all);
	const tight = new Set<string>();
	for (let number = 0; number < 8; number++) {
		tight.add(place(book, demand({isLatencyCritical: true, urgency: 0, targetMilliseconds: 150, maxPauseMilliseconds: 120, parts: [{id: 500 + number, tokens: 400}]}), all, 0)!);
		book.step({type: 'first-event', id: `run-${runs}`}, 0);
	}

	t.ok(tight.size <= 2, 'they share few endpoints');
	for (let number = 0; number < 6; number++) {
		const endpoint = place(book, demand({parts: prompt(number, number)}), all, 10)!;
		t.notOk(tight.has(endpoint));
	}
});

// A burst: more long prompts than the engines can read at once. What waits at an engine can't be
// overtaken, so little is sent ahead; the urgent stream that comes then is placed at once.
tap.test('in a burst the rest waits here, and an urgent stream does not', async t => {
	const all = candidates(4);
	const book = bookFor(all);
	let placed = 0;
	for (let number = 0; number < 40; number++) {
		placed += place(book, demand({parts: prompt(number, number)}), all, 0) === undefined ? 0 : 1;
	}

	t.ok(placed <= 12, `${placed} placed`);
	for (const {id} of all) {
		t.ok(book.load(id, 0).backlogMilliseconds < 300);
	}

	t.ok(place(book, demand({isLatencyCritical: true, urgency: 0, targetMilliseconds: 150, maxPauseMilliseconds: 120, parts: [{id: 500, tokens: 400}]}), all, 0));
});

tap.test('an endpoint without a free slot takes no more, and one with fewer runs comes first', async t => {
	const all = candidates(2, 2);
	const book = bookFor(all);
	const small = demand({parts: [{id: 7, tokens: 10}], targetMilliseconds: 100});
	const endpoints = [0, 1, 2, 3].map(() => place(book, small, all, 0));
	t.equal(new Set(endpoints).size, 2);
	t.equal(choosePlace(book, small, all, {zone, now: 0, propagationMilliseconds, view, tuning: defaultTuning}).type, 'wait');
});

tap.test('what another instance placed counts until it ends, or until that instance is lost', async t => {
	const [only] = candidates(1);
	const book = bookFor([only!]);
	const run = {id: 'b/1', owner: 'b', endpoint: only!.id, service: 'models', prefillTokens: 5000, isLatencyCritical: true, parts: []};
	book.step({type: 'placed', run}, 0);
	book.step({type: 'placed', run}, 0);
	t.match(book.load(only!.id, 0), {running: 1, latencyCriticalRuns: 1});
	t.ok(book.load(only!.id, 0).backlogMilliseconds > 20);
	book.step({type: 'owner-lost', owner: 'b'}, 5);
	t.match(book.load(only!.id, 5), {running: 0, latencyCriticalRuns: 0, backlogMilliseconds: 0});
});

tap.test('the pace is learned under load: what disturbs a sample does not drag it down', async t => {
	fc.assert(fc.property(fc.integer({min: 40, max: 300}), fc.array(fc.tuple(fc.integer({min: 2000, max: 12_000}), fc.integer({min: 0, max: 9})), {minLength: 150, maxLength: 200}), (pace, samples) => {
		let speed = createPrefillSpeed();
		for (const [tokens, luck] of samples) {
			// Three in ten samples met work that nobody told of.
			const disturbed = luck < 3 ? 3 : 1;
			speed = learnPrefillSpeed(speed, {tokens, milliseconds: tokens / pace * disturbed, isFromIdle: false});
		}

		return speed.tokensPerMillisecond > pace * 0.7 && speed.tokensPerMillisecond < pace * 1.35;
	}), {seed: 11, numRuns: 30});
	const short = learnPrefillSpeed(createPrefillSpeed(), {tokens: 100, milliseconds: 60, isFromIdle: true});
	t.equal(short.tokensPerMillisecond, createPrefillSpeed().tokensPerMillisecond);
});

// An engine reads two prompts side by side, so that the second one's first event follows the first one's
// at once. Taken one by one, the second looks read at thousands of tokens a millisecond, and backlogs
// half as long as they are; callers then wait behind prompts that were sent where they had no room.
tap.test('prompts that are read side by side do not make the engine look faster', async t => {
	const book = LoadTracker.create();
	const pace = 70;
	const base = 45;
	for (let round = 0; round < 120; round++) {
		const at = round * 1000;
		const tokens = [3000 + (round % 7 * 500), 2500 + (round % 5 * 700)];
		const whole = base + ((tokens[0]! + tokens[1]!) / pace);
		for (const [index, prefillTokens] of tokens.entries()) {
			book.step({type: 'placed', run: {id: `a/${round}-${index}`, owner: 'a', endpoint: 'e', service: 'models', prefillTokens, isLatencyCritical: false, parts: []}}, at + index);
		}

		book.step({type: 'first-event', id: `a/${round}-0`}, at + whole - 3);
		book.step({type: 'first-event', id: `a/${round}-1`}, at + whole);
		book.step({type: 'ended', id: `a/${round}-0`}, at + whole + 100);
		book.step({type: 'ended', id: `a/${round}-1`}, at + whole + 100);
	}

	const {tokensPerMillisecond} = book.speed('models');
	t.ok(tokensPerMillisecond > pace * 0.85 && tokensPerMillisecond < pace * 1.15, `${tokensPerMillisecond} tokens a millisecond`);
});

// At the edge of overload the engine that holds a beginning is behind. Requests that tire of waiting have
// it read again elsewhere, which doubles the work of all and makes the overload last; their callers, and
// those behind them, are then all late. At full load they wait; with idle engines they do not.
tap.test('a long beginning is not read again while all engines are busy reading', async t => {
	const all = candidates(6);
	const book = bookFor(all);
	const holder = place(book, demand({parts: prompt(1, 0)}), all, 0)!;
	book.step({type: 'first-event', id: `run-${runs}`}, 80);
	// Reading has taken all of the engines' last seconds; the holder alone has a backlog now.
	const held = (id: string, now: number): string => `${id}-${now}`;
	for (let now = 100; now <= 4000; now += 100) {
		for (const {id} of all) {
			book.step({type: 'placed', run: {id: held(id, now), owner: 'b', endpoint: id, service: 'models', prefillTokens: 9000, isLatencyCritical: false, parts: []}}, now);
			book.step({type: 'first-event', id: held(id, now - 100)}, now + 1);
			book.step({type: 'ended', id: held(id, now - 100)}, now + 1);
		}
	}

	for (const {id} of all) {
		book.step({type: 'ended', id: held(id, 4000)}, 4000);
	}

	book.step({type: 'placed', run: {id: 'behind', owner: 'b', endpoint: holder, service: 'models', prefillTokens: 20_000, isLatencyCritical: false, parts: []}}, 4000);
	const wanted = demand({parts: prompt(1, 1), waitedMilliseconds: 400, elapsedMilliseconds: 400, targetMilliseconds: 1200});
	t.match(choosePlace(book, wanted, all, {zone, now: 4000, propagationMilliseconds, view, tuning: defaultTuning}), {type: 'wait', endpoint: holder});
	t.match(choosePlace(book, {...wanted, waitedMilliseconds: 900, elapsedMilliseconds: 900}, all, {zone, now: 20_000, propagationMilliseconds, view, tuning: defaultTuning}), {type: 'place'}, 'after a rest nobody waits so long');
});

tap.test('so many of several instances take one place together as it can read until they hear of each other', async t => {
	const contention = {contenders: 20, searchIntervalMilliseconds: 16, prefillMilliseconds: 60, propagationMilliseconds: 50};
	const chance = sendProbability(contention);
	const expected = chance * contention.contenders * contention.propagationMilliseconds / contention.searchIntervalMilliseconds;
	t.ok(expected > 2 && expected < 12, `${expected} sent in one reaction`);
	t.equal(sendProbability({...contention, contenders: 0}), 1);
	t.ok(sendProbability({...contention, prefillMilliseconds: 10}) > chance, 'short prompts fill no engine');
});

tap.test('load travels in rows that name no owner, and what is no row is refused', async t => {
	const parts = fc.array(fc.record({id: fc.nat(0xFF_FF_FF_FF), tokens: fc.nat(50_000)}), {maxLength: 6});
	const number = fc.nat(1_000_000);
	const event: fc.Arbitrary<LoadEvent> = fc.oneof(
		fc.record({type: fc.constant('placed' as const), run: fc.record({
			id: number.map(value => runId('a', value)), owner: fc.constant('a'), endpoint: fc.constant('e-1'), service: fc.constant('models'), prefillTokens: fc.nat(50_000), isLatencyCritical: fc.boolean(), parts,
		})}),
		fc.record({type: fc.constant('first-event' as const), id: number.map(value => runId('a', value))}),
		fc.record({type: fc.constant('ended' as const), id: number.map(value => runId('a', value))}),
		fc.record({type: fc.constant('waiting' as const), owner: fc.constant('a'), service: fc.constant('models'), urgencies: fc.array(fc.record({route: fc.integer(), workspace: fc.option(fc.integer(), {nil: undefined}), count: fc.nat()}), {maxLength: 4})}),
	);
	fc.assert(fc.property(fc.array(event, {maxLength: 20}), events => {
		t.same(decodeLoad(encodeLoad(events), 'a'), events);
	}), {seed: 3, numRuns: 50});
	for (const wrong of [[['x', 1]], [[0, 1, '', 'models', 1, 0]], [[0, 1, 'e', 'models', 1, 0, 5]], [[1]], [[1, -1]], ['text'], [[0, 1, 'e', 'models', 1, 0, 5, 'x']], [[3, '']], [[3, 'models', 1]], [[3, 'models', 1, Number.NaN]], [[3, 'models', 'x', 1]], [[3, 'models', 1, null]]]) {
		t.equal(decodeLoad(wrong, 'a'), undefined, JSON.stringify(wrong));
	}
});

tap.test('a part helps only if all before it are held, and the least recently used goes first', async t => {
	const memory = PrefixCache.create(4000);
	const [first, second, third] = [{id: 1, tokens: 1000}, {id: 2, tokens: 1000}, {id: 3, tokens: 1000}];
	memory.use([first, second]);
	t.equal(memory.uncachedTokens([first, second, third]), 1000);
	t.equal(memory.uncachedTokens([third, first]), 2000);
	memory.use([third]);
	memory.use([{id: 4, tokens: 1000}]);
	t.equal(memory.uncachedTokens([first]), 1000, 'the oldest went');
});

// An endpoint fails four in ten while one in seven is usual for its service: it is set aside. One that
// fails as often as all others is not.
tap.test('an endpoint is suspended for what is unusual for its service', async t => {
	const run = (failures: number, usualShare: number): string => {
		let health = createEndpointHealth();
		for (let number = 0; number < 60; number++) {
			health = stepEndpointHealth(health, number % 10 < failures ? {type: 'failed', usualShare} : {type: 'answered'}, number);
			if (availability(health, number) !== 'open') {
				return 'suspended';
			}
		}

		return 'open';
	};

	t.equal(run(6, 0.1), 'suspended');
	t.equal(run(1, 0.14), 'open');
});

// Two lost connections in a row set an endpoint aside; one trial at a time asks whether it is back.
tap.test('a crashed endpoint is left alone, tried once, and used again when it answers', async t => {
	let health = createEndpointHealth();
	health = stepEndpointHealth(health, {type: 'unreachable'}, 0);
	t.equal(availability(health, 0), 'open', 'one lost answer is common');
	health = stepEndpointHealth(health, {type: 'unreachable'}, 10);
	t.equal(availability(health, 11), 'suspended');
	t.equal(availability(health, 700), 'trial');
	health = stepEndpointHealth(health, {type: 'trial'}, 700);
	t.equal(availability(health, 701), 'suspended', 'one trial at a time');
	health = stepEndpointHealth(health, {type: 'unreachable'}, 800);
	t.equal(availability(health, 1900), 'suspended', 'longer each time');
	health = stepEndpointHealth(health, {type: 'answered'}, 3000);
	t.equal(availability(health, 3000), 'open');
});

function within(times: readonly number[], now: number): number {
	return times.filter(time => now - time < 10_000).length;
}

tap.test('retries of all instances stay within the allowance, whatever the order of events', async t => {
	const allowance = {ratio: 0.2, slack: 54, windowMilliseconds: 10_000};
	fc.assert(fc.property(fc.integer({min: 1, max: 6}), fc.array(fc.tuple(fc.nat(5), fc.nat(200), fc.boolean()), {maxLength: 600}), (count, events) => {
		const instances = Array.from({length: count}, () => RetryShare.create(allowance));
		let now = 0;
		const requests: number[] = [];
		const retries: number[] = [];
		for (const [index, pause, isRequest] of events) {
			now += pause;
			const share = instances[index % count]!;
			if (isRequest) {
				share.countRequest('orders', now);
				requests.push(now);
			} else if (share.takeRetry('orders', count, now)) {
				retries.push(now);
			}

			if (within(retries, now) > (allowance.ratio * within(requests, now)) + allowance.slack) {
				return false;
			}
		}

		return true;
	}), {seed: 5, numRuns: 60});
});

function waiting(id: string, more: Partial<QueuedRequest> = {}): QueuedRequest {
	return {id, workspace: 'w', service: 's', urgency: {route: 1, workspace: undefined}, work: 1, arrivedAt: 0, inTimeUntil: 500, lastStartAt: 1000, ...more};
}

tap.test('the line goes by urgency, then by what a workspace had, then by arrival', async t => {
	const line = WaitingQueue.create();
	line.charge(waiting('before', {workspace: 'greedy', work: 1000}), 0);
	line.add(waiting('late', {arrivedAt: 2}));
	line.add(waiting('greedy', {workspace: 'greedy', arrivedAt: 0}));
	line.add(waiting('urgent', {urgency: {route: 0, workspace: undefined}, arrivedAt: 3}));
	line.add(waiting('early', {arrivedAt: 1}));
	t.same(line.ordered(4).map(({id}) => id), ['urgent', 'early', 'late', 'greedy']);
	t.same(line.expired(2000).length, 4);
});

// A burst left a long line. Served by arrival alone, each of them is late when its turn comes, and so is
// everyone after; those that can still be in time go first, and the late ones follow.
tap.test('who can still be in time goes before who is late, within one urgency', async t => {
	const line = WaitingQueue.create();
	line.add(waiting('late', {arrivedAt: 0, inTimeUntil: 400}));
	line.add(waiting('in-time', {arrivedAt: 300, inTimeUntil: 700}));
	line.add(waiting('late-urgent', {urgency: {route: 0, workspace: undefined}, arrivedAt: 0, inTimeUntil: 100}));
	t.same(line.ordered(500).map(({id}) => id), ['late-urgent', 'in-time', 'late']);
});

tap.test('the rate at which work was started falls with time', async t => {
	const line = WaitingQueue.create();
	t.equal(line.startedWorkRate('s', 0), 0);
	for (let now = 0; now < 5000; now += 10) {
		line.charge(waiting('x', {work: 500}), now);
	}

	const rate = line.startedWorkRate('s', 5000);
	t.ok(rate > 40 && rate < 60, `${rate} a millisecond of 50`);
	t.ok(line.startedWorkRate('s', 9000) < 2);
});

// An endless burst of urgent requests: the least urgent one still has its turn.
tap.test('nobody starves in the line', async t => {
	const line = WaitingQueue.create();
	line.add(waiting('patient', {urgency: {route: 9, workspace: undefined}, arrivedAt: 0}));
	let served = -1;
	for (let turn = 0; turn < 20 && served === -1; turn++) {
		line.add(waiting(`urgent-${turn}`, {urgency: {route: 0, workspace: undefined}, arrivedAt: turn + 1}));
		const [first] = line.ordered(turn);
		line.remove(first!.id);
		served = first!.id === 'patient' ? turn : -1;
	}

	t.ok(served >= 0 && served <= 8);
});

// An instance that has just started hears of another's run before its own first request. It took the engine
// to have no memory, for good, so that all that it placed read beginnings again that were kept there.
tap.test('an engine whose runs were told before its memory was known keeps what it reads', async t => {
	const book = LoadTracker.create();
	const parts = prompt(1, 1);
	book.step({type: 'placed', run: {id: 'b/1', owner: 'b', endpoint: 'e', service: 'models', prefillTokens: 9200, isLatencyCritical: false, parts}}, 0);
	book.setCacheCapacity('e', 400_000);
	book.step({type: 'placed', run: {id: 'b/2', owner: 'b', endpoint: 'e', service: 'models', prefillTokens: 9200, isLatencyCritical: false, parts}}, 10);
	t.equal(book.uncachedTokens('e', prompt(1, 2)), 2900, 'only its own part');
});

function readOnce(book: LoadTracker, endpoint: string, parts: Demand['parts'], now: number): void {
	runs += 1;
	book.step({type: 'placed', run: {id: `run-${runs}`, owner: 'a', endpoint, service: 'models', prefillTokens: 100, isLatencyCritical: false, parts}}, now);
	book.step({type: 'first-event', id: `run-${runs}`}, now + 20);
	book.step({type: 'ended', id: `run-${runs}`}, now + 30);
}

const linkTokensPerMillisecond = 400;
const withLinks = {zone, now: 1000, propagationMilliseconds, view, fetchTokensPerMillisecond: linkTokensPerMillisecond, tuning: defaultTuning};

// The engine that holds a beginning is full. Its fellows read 6,300 tokens again, 70 ms in which all their streams
// pause, though the engines' own links carry them in 20 ms.
tap.test('a beginning that a full engine holds is fetched from it', async t => {
	const all = candidates(4, 2);
	const book = bookFor(all);
	readOnce(book, all[0]!.id, prompt(1, 1), 0);
	for (const index of [0, 1]) {
		book.step({type: 'placed', run: {id: `b/${index}`, owner: 'b', endpoint: all[0]!.id, service: 'models', prefillTokens: 0, isLatencyCritical: false, parts: []}}, 100);
	}

	const wanted = demand({parts: prompt(1, 2), targetMilliseconds: 100, waitedMilliseconds: 500});
	const choice = choosePlace(book, wanted, all, withLinks);
	t.match(choice, {type: 'place', prefillTokens: 2900, fetch: {from: all[0]!.id, tokens: 6300}});
	const without = choosePlace(book, wanted, all, {...withLinks, fetchTokensPerMillisecond: undefined});
	t.not(without.type === 'place' && without.fetch !== undefined, true, 'engines that pass nothing to each other are not asked to');
	const off = choosePlace(book, wanted, all, {...withLinks, tuning: {...defaultTuning, fetches: false}});
	t.not(off.type === 'place' && off.fetch !== undefined, true);
});

// A beginning was sent to an engine a moment ago and is not read yet. Another engine that asked for it would get nothing
// and read it all, unforeseen.
tap.test('nothing is fetched from an engine that has not read it yet', async t => {
	const all = candidates(3, 1);
	const book = bookFor(all);
	book.step({type: 'placed', run: {id: 'b/1', owner: 'b', endpoint: all[0]!.id, service: 'models', prefillTokens: 9200, isLatencyCritical: false, parts: prompt(1, 1)}}, 990);
	const early = choosePlace(book, demand({parts: prompt(1, 2), waitedMilliseconds: 5000, targetMilliseconds: 50}), all, withLinks);
	t.notMatch(early, {fetch: {from: all[0]!.id}});
	book.step({type: 'first-event', id: 'b/1'}, 1100);
	const later = choosePlace(book, demand({parts: prompt(1, 2), waitedMilliseconds: 5000, targetMilliseconds: 50}), all, {...withLinks, now: 1100});
	t.match(later, {type: 'place', fetch: {from: all[0]!.id, tokens: 6300}});
});

// Twelve urgent streams with pauses of 250 ms run on one engine, and all engines have read a little. A prompt of 26,000
// tokens there stops each of them for longer; it goes elsewhere even where that engine holds its beginning.
tap.test('a long reading stays out of the room that tight streams need, a short one may enter', async t => {
	const all = candidates(6);
	const book = bookFor(all);
	for (let number = 0; number < 12; number++) {
		const endpoint = place(book, demand({isLatencyCritical: true, urgency: 0, targetMilliseconds: 1200, maxPauseMilliseconds: 250, strictestPauseMilliseconds: 250, parts: [{id: 500 + number, tokens: 400}]}), all, number * 20);
		t.equal(endpoint, all[0]!.id, 'they share the first of the order');
		book.step({type: 'first-event', id: `run-${runs}`}, (number * 20) + 10);
	}

	book.step({type: 'kept', endpoint: all[0]!.id, parts: prompt(1, 1)}, 900);
	const long = [...prompt(1, 1).slice(0, 2), {id: 77, tokens: 26_000}];
	const choice = choosePlace(book, demand({parts: long, targetMilliseconds: 2000, strictestPauseMilliseconds: 250}), all, withLinks);
	t.ok(choice.type === 'place' && choice.endpoint !== all[0]!.id);
	const short = choosePlace(book, demand({parts: [...prompt(1, 1).slice(0, 2), {id: 78, tokens: 300}], targetMilliseconds: 2000, strictestPauseMilliseconds: 250}), all, withLinks);
	t.match(short, {type: 'place', endpoint: all[0]!.id});
});

// All instances start anew, and one has read an engine's list of what it keeps.
tap.test('what an engine says it keeps is believed, and what is on its way there stays', async t => {
	const memory = PrefixCache.create(100_000);
	memory.use([{id: 1, tokens: 10}, {id: 2, tokens: 20}]);
	memory.markPrefilled([{id: 1, tokens: 10}]);
	memory.replace([{id: 5, tokens: 50}]);
	t.equal(memory.unavailableTokens([{id: 5, tokens: 50}]), 0);
	t.equal(memory.uncachedTokens([{id: 1, tokens: 10}]), 10, 'the engine has dropped it');
	t.equal(memory.uncachedTokens([{id: 2, tokens: 20}]), 0, 'it is on its way');
	t.equal(memory.unavailableTokens([{id: 2, tokens: 20}]), 20);
});

tap.test('weights for a measurement are checked', async t => {
	t.same(parseTuning(undefined), defaultTuning);
	t.equal(parseTuning('{"fetches": false}').fetches, false);
	t.same(parseTuning(JSON.stringify(defaultTuning)), defaultTuning, 'every weight can be set');
	for (const wrong of ['{', '5', '{"fetch": true}', '{"tightFill": 0}', '{"roomMilliseconds": "1"}']) {
		t.throws(() => parseTuning(wrong), /CASSIAFLOW_TUNING/v);
	}
});

// All instances start while the store is down for some seconds. Callers were told to come back in 0.4 s, came back once into
// the same outage, and were lost. Told to wait as long as it has lasted, most come back after its end.
tap.test('callers come back after an outage of the store, not into it', async t => {
	const outage = 3500;
	const arrivals = Array.from({length: 35}, (_, index) => index * 100);
	const served = arrivals.filter(at => at + retryAfterWithoutTable(at) >= outage).length;
	t.ok(served >= arrivals.length / 2, `${served} of ${arrivals.length}`);
	t.ok(arrivals.filter(at => at + 400 >= outage).length < arrivals.length / 5, 'a fixed time brings few');
	t.equal(retryAfterWithoutTable(0), 400, 'a usual start is over by then');
	t.ok(retryAfterWithoutTable(60_000) <= 5000);
});

// A confirmation waits at one instance and a draft at another: the draft takes only what has nothing to read. Once the other
// instance says that nothing waits, is lost, or has said nothing for a while, the draft's usual bound is back.
tap.test('the less urgent leave places to what waits at another instance, as long as it is known to wait', async t => {
	const [first, second] = [{route: 1, workspace: 1}, {route: 2, workspace: 1}];
	const lines = PeerQueues.create();
	const tell = (now: number, urgencies: UrgencyPair[] = [first]): void => {
		lines.update({type: 'waiting', owner: 'b', service: 'models', urgencies: urgencies.map(urgency => ({...urgency, count: 3}))}, now);
	};

	tell(0);
	t.ok(lines.hasMoreUrgent('models', second, 200));
	t.notOk(lines.hasMoreUrgent('models', first, 200), 'not among equals');
	t.notOk(lines.hasMoreUrgent('orders', second, 200), 'not at another service');
	t.same([lines.ahead('models', first, 200), lines.ahead('models', second, 200), lines.ahead('models', {route: 0, workspace: 1}, 200)], [3, 3, 0], 'equals count, the less urgent don\'t');
	tell(200, [{route: 2, workspace: 0}]);
	t.notOk(lines.hasMoreUrgent('models', first, 210), 'not for a less urgent route');
	t.ok(lines.hasMoreUrgent('models', second, 210));
	tell(220);
	t.notOk(lines.hasMoreUrgent('models', second, 600), 'word that is old');
	t.equal(lines.ahead('models', second, 600), 0);
	tell(700);
	tell(800, []);
	t.notOk(lines.hasMoreUrgent('models', second, 810), 'nothing waits any more');
	tell(900);
	lines.forget('b');
	t.notOk(lines.hasMoreUrgent('models', second, 910), 'the instance is lost');
});

tap.test('an outranked request goes to an engine that has been idle for a while, and leaves slots', async t => {
	const book = LoadTracker.create();
	const [engine] = candidates(1);
	const draft = demand({isOutranked: true, parts: [{id: 1, tokens: 2000}]});
	const wants = (asked: typeof draft, now: number): string => choosePlace(book, asked, [engine!], {zone, now, propagationMilliseconds, view, tuning: defaultTuning}).type;
	t.equal(wants(draft, 0), 'place', 'never used');
	book.step({type: 'placed', run: {id: 'b/1', owner: 'b', endpoint: engine!.id, service: 'models', prefillTokens: 1000, isLatencyCritical: false, parts: []}}, 0);
	t.equal(wants(draft, 0), 'wait');
	t.equal(wants({...draft, isOutranked: false}, 0), 'place', 'a short backlog is no hindrance otherwise');
	book.step({type: 'first-event', id: 'b/1'}, 20);
	t.equal(wants(draft, 20 + propagationMilliseconds), 'wait', 'others may not have heard yet that it is free');
	t.equal(wants(draft, 20 + (2 * propagationMilliseconds)), 'place');
	for (let number = 2; number < engine!.slots; number++) {
		book.step({type: 'placed', run: {id: `b/${number}`, owner: 'b', endpoint: engine!.id, service: 'models', prefillTokens: 0, isLatencyCritical: false, parts: []}}, 30);
		book.step({type: 'first-event', id: `b/${number}`}, 30);
	}

	t.equal(wants(draft, 200), 'wait', 'one slot of eight is left');
	t.equal(wants({...draft, isOutranked: false}, 200), 'place');
});

// Guards against drafts of workspaces that go first, sent elsewhere for as long as they come, while a confirmation gets nothing.
tap.test('a request at risk is told by its kind alone, and less urgent kinds hold back for it, whoever sends them', async t => {
	const teller = QueueReporter.create('a');
	const lines = PeerQueues.create();
	const waiting = {service: 'models', urgency: {route: 1, workspace: 1}, arrivedAt: 0, lastStartAt: 2000};
	const draftThatGoesFirst = {route: 2, workspace: 0};
	const hear = (now: number): void => {
		for (const event of teller.events([waiting], now)) {
			lines.update({...event, owner: 'a'}, now);
		}
	};

	hear(500);
	t.notOk(lines.hasMoreUrgent('models', draftThatGoesFirst, 500), 'it has most of its time left');
	hear(1100);
	t.ok(lines.hasMoreUrgent('models', draftThatGoesFirst, 1100));
	t.notOk(lines.hasMoreUrgent('models', {route: 1, workspace: 1}, 1100), 'not among equals');
	t.notOk(lines.hasMoreUrgent('models', {route: 0, workspace: 2}, 1100), 'not for a more urgent kind');
});

// Guards against the order of workspaces that is lost, and against a kind that gets nothing by it.
tap.test('a workspace that goes first does so in all kinds, until another kind is at risk', async t => {
	const line = WaitingQueue.create();
	const add = (id: string, urgency: UrgencyPair, arrivedAt: number): void => {
		line.add({id, workspace: id, service: 'models', urgency, work: 1, arrivedAt, inTimeUntil: arrivedAt + 300, lastStartAt: arrivedAt + 2000});
	};

	add('their confirmation', {route: 1, workspace: 1}, 0);
	add('their ticket', {route: 0, workspace: 1}, 5);
	add('their draft', {route: 2, workspace: 1}, 6);
	add('first draft', {route: 2, workspace: 0}, 7);
	add('first confirmation', {route: 1, workspace: 0}, 8);
	const order = (now: number): string[] => line.ordered(now).map(({id}) => id);
	t.same(order(100), ['first confirmation', 'first draft', 'their ticket', 'their confirmation', 'their draft']);
	t.same(order(1003), ['first confirmation', 'their confirmation', 'first draft', 'their ticket', 'their draft'], 'the confirmation alone is at risk');
	t.same(order(1500), ['their ticket', 'first confirmation', 'their confirmation', 'first draft', 'their draft'], 'the more urgent kind first among those at risk');
	t.equal(line.ahead('models', {route: 1, workspace: 1}).count, 3, 'a less urgent kind steps back in time');
});

// Each message costs every other instance time: a line is told of a few times a second, and its end once.
tap.test('an instance tells of its line now and then, and once of its end', async t => {
	const teller = QueueReporter.create('a');
	const waiting = [{service: 'models', urgency: {route: 1, workspace: undefined}, arrivedAt: 0, lastStartAt: 2000}, {service: 'models', urgency: {route: 1, workspace: undefined}, arrivedAt: 20, lastStartAt: 22_000}];
	t.same(teller.events(waiting, 30), [], 'a short wait is usual');
	t.same(teller.events(waiting, 50), [{type: 'waiting', owner: 'a', service: 'models', urgencies: [{route: 1, workspace: undefined, count: 1}]}]);
	t.same(teller.events(waiting, 100), []);
	t.same(teller.events([], 110), [{type: 'waiting', owner: 'a', service: 'models', urgencies: []}]);
	t.same(teller.events([], 120), []);
});

// Thirty instances before 38 engines: half of the most urgent streams came late by their pauses (2083 of 4187), since engines beside them read
// without rest. What may wait to be read beside a tight stream had one and a half reactions as its floor, 93 ms there, so that the next
// prompt was always there before the last was read.
tap.test('little waits to be read beside a tight stream, however late instances hear of each other', async t => {
	const late = {zone, view, tuning: defaultTuning, propagationMilliseconds: 62};
	const unread = (beside: boolean, tokens: number): string => {
		const book = LoadTracker.create();
		const [engine] = candidates(1);
		const {id} = engine!;
		book.step({type: 'placed', run: {id: 'a/1', owner: 'a', endpoint: id, service: 'models', prefillTokens: 0, isLatencyCritical: beside, parts: []}}, 0);
		book.step({type: 'first-event', id: 'a/1'}, 1);
		book.step({type: 'placed', run: {id: 'a/2', owner: 'a', endpoint: id, service: 'models', prefillTokens: tokens, isLatencyCritical: false, parts: []}}, 100);
		return choosePlace(book, demand({parts: [{id: 1, tokens: 2000}], strictestPauseMilliseconds: 200}), [engine!], {...late, now: 100}).type;
	};

	const {tokensPerMillisecond} = LoadTracker.create().speed('models');
	t.equal(unread(true, tokensPerMillisecond * 60), 'wait', '60 ms to read, and streams that may pause for 200');
	t.equal(unread(true, tokensPerMillisecond * 20), 'place');
	t.equal(unread(false, tokensPerMillisecond * 60), 'place', 'nobody is harmed where none runs');
});
