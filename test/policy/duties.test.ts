import tap from 'tap';
import {advanceTime, correctTime, createTimeEstimate, type DutySettings, estimatedTime, mayAct, nextReportStep, nextStoreStep, parseDutyLog} from '../../src/policy/duties/index.js';
import {Fate, type VirtualInstance, VirtualWorld} from './duties-model.js';

const settings: DutySettings = {leaseMilliseconds: 3000, checksFences: false, windowMilliseconds: 5000, lateMilliseconds: 10_000};
const tickMilliseconds = 50;

type Course = {
	/** Instances that make no calls. */
	readonly frozen?: readonly VirtualInstance[];
	/** Instances whose reports, or whose calls to the store, get no response and aren't carried out. */
	readonly unreported?: readonly VirtualInstance[];
	readonly storeless?: readonly VirtualInstance[];
	/** Counts of each instance in the open windows, by machine. */
	readonly counts?: Readonly<Record<string, number>>;
};

/** Lets all instances make their calls until a condition holds; fails after 60 s of virtual time. */
function runUntil(world: VirtualWorld, holds: () => boolean, {frozen = [], unreported = [], storeless = [], counts = {}}: Course = {}): void {
	for (let tick = 0; !holds(); tick++) {
		if (tick > 1200) {
			throw new Error('The condition was not met.');
		}

		world.now += tickMilliseconds;
		for (const own of world.instances.filter(instance => !frozen.includes(instance))) {
			own.stepStore(storeless.includes(own) ? Fate.refused : Fate.answered);
			own.stepReport(unreported.includes(own) ? Fate.refused : Fate.answered);
			const window = Math.floor(world.now / settings.windowMilliseconds);
			for (const other of tick % 10 === 0 ? world.instances.filter(instance => !frozen.includes(instance) && instance.state.tenure !== undefined) : []) {
				own.sendUsage(other, [window - 1, window], counts[own.machine] ?? 1);
			}
		}
	}
}

function runFor(world: VirtualWorld, milliseconds: number, course: Course = {}): void {
	const until = world.now + milliseconds;
	runUntil(world, () => world.now >= until, course);
}

/** True while an instance holds the duties and its lease lasts. */
function isHolder(instance: VirtualInstance): boolean {
	const {state} = instance;
	return state.tenure !== undefined && mayAct(state, state.tenure, instance.clock());
}

/** A world in which the first instance holds the duties. */
function createWorld(): {readonly world: VirtualWorld; readonly first: VirtualInstance; readonly second: VirtualInstance} {
	const world = VirtualWorld.create(settings, ['a', 'b']);
	const [first, second] = world.instances as [VirtualInstance, VirtualInstance];
	runUntil(world, () => isHolder(first), {frozen: [second]});
	return {world, first, second};
}

// Guards against a report by an instance that woke up after its lease, with a lower token than its successor's.
tap.test('a holder that was frozen for longer than its lease sends nothing before it has renewed', async t => {
	const {world, first, second} = createWorld();
	runUntil(world, () => (first.state.known?.log.decisions.size ?? 0) > 0, {frozen: [second], unreported: [first]});
	runUntil(world, () => isHolder(second) && world.receiver.executed.length > 0, {frozen: [first]});
	t.equal(nextReportStep(first.state, first.clock()).type, 'wait');
	runFor(world, 2000);
	t.ok(world.receiver.executed.every(({machine}) => machine === 'b'));
	t.notOk(isHolder(first));
});

// Guards against duties that go from one instance to another and back while the first one's calls may still be on their way.
tap.test('a former holder does not claim within a lease of its successor\'s release', async t => {
	const {world, first, second} = createWorld();
	runUntil(world, () => world.receiver.executed.length > 0, {frozen: [second]});
	runUntil(world, () => isHolder(second), {storeless: [first]});
	second.apply({type: 'stopping'});
	runUntil(world, () => !isHolder(second));
	const releasedAt = world.now;
	runUntil(world, () => isHolder(first));
	t.ok(world.now - releasedAt >= settings.leaseMilliseconds, `claimed after ${world.now - releasedAt} ms`);
});

// Guards against a second, different report of a window whose decision the store has lost.
tap.test('after a restore a new holder leaves out windows that an earlier one may have reported', async t => {
	const {world, first, second} = createWorld();
	world.log.backUp();
	runUntil(world, () => world.receiver.executed.some(({accepted}) => accepted), {counts: {a: 5}});
	const {window} = world.receiver.executed[0]!;
	world.log.restore();
	runUntil(world, () => isHolder(second), {frozen: [first]});
	runFor(world, 14_000, {frozen: [first], counts: {b: 7}});
	t.equal(world.receiver.executed.filter(call => call.window === window).length, 1);
	t.ok(world.receiver.executed.some(call => call.machine === 'b' && call.window > window), 'later windows are reported');
});

// Guards against a second, different report, or none, of a window whose decision is known from the earlier holder alone.
tap.test('after a restore a known decision is reported as it was, and one that is not known is left out', async t => {
	const {world, first, second} = createWorld();
	runFor(world, 1000, {frozen: [second]});
	world.log.backUp();
	const counts = {a: 5, b: 7};
	runUntil(world, () => (first.state.known?.log.decisions.size ?? 0) === 1, {frozen: [second], unreported: [first], counts});
	first.announceHolder(second);
	const [known] = first.state.known!.log.decisions.keys();
	runUntil(world, () => world.receiver.executed.length === 2, {frozen: [second], counts});
	world.log.restore();
	runUntil(world, () => isHolder(second), {frozen: [first], counts});
	runFor(world, 4000, {frozen: [first], counts});
	const reportedBy = (machine: string): string[] => world.receiver.executed.filter(call => call.machine === machine && call.window <= known! + 1).map(({window, counts: reported}) => `${window - known!} ${reported}`);
	t.same(reportedBy('a'), ['0 {"workspace":5}', '1 {"workspace":5}']);
	t.same(reportedBy('b'), ['0 {"workspace":5}']);
});

// Guards against a claim while the holder, whose claim the store has lost, still acts within its lease.
tap.test('a log without a holder is no reason to claim at once, nor is a release of an earlier era', async t => {
	const isReleasedBefore = [false, true];
	for (const isReleased of isReleasedBefore) {
		const world = VirtualWorld.create(settings, ['a', 'b']);
		const [first, second] = world.instances as [VirtualInstance, VirtualInstance];
		if (isReleased) {
			runUntil(world, () => isHolder(first), {frozen: [second]});
			first.apply({type: 'stopping'});
			runUntil(world, () => !isHolder(first), {frozen: [second]});
		}

		world.log.backUp();
		world.log.restore();
		runUntil(world, () => second.state.known !== undefined, {frozen: [first]});
		const readAt = world.now;
		runUntil(world, () => isHolder(second), {frozen: [first]});
		t.ok(world.now - readAt >= settings.leaseMilliseconds - tickMilliseconds, isReleased ? 'a released holder' : 'no holder');
	}
});

// Guards against a fencing token that another instance used for the same offset of an earlier era.
tap.test('a claim that lands in a later era than it was made for is not used', async t => {
	const {world, first, second} = createWorld();
	world.log.backUp();
	runFor(world, 3000, {frozen: [second]});
	const staleEnd = world.log.end;
	first.apply({type: 'stopping'});
	runUntil(world, () => !isHolder(first), {frozen: [second]});
	runUntil(world, () => nextStoreStep(second.state, second.clock()).type === 'append');
	const step = nextStoreStep(second.state, second.clock());
	world.log.restore();
	while (world.log.end < (step.type === 'append' ? step.at.offset : staleEnd)) {
		world.log.append(world.log.end, [{key: 'filler', value: '{}'}]);
	}

	runUntil(world, () => isHolder(second), {frozen: [first]});
	t.ok(second.state.tenure!.token > 2 ** 33, 'the token names the second era');
});

// Guards against a token of two processes: one that is suspended, and one that has been started in its place under its name.
tap.test('a process that starts under the holder\'s name does not take up its token', async t => {
	const world = VirtualWorld.create(settings, ['a']);
	runUntil(world, () => isHolder(world.instances[0]!));
	const {token} = world.instances[0]!.state.tenure!;
	world.restart(0);
	const startedAt = world.now;
	runUntil(world, () => isHolder(world.instances[0]!));
	t.ok(world.instances[0]!.state.tenure!.token > token);
	t.ok(world.now - startedAt >= settings.leaseMilliseconds, 'it waits for the end of the lease');
});

// Guards against further calls with a token that the receiver has refused.
tap.test('after a refusal by the fencing token that token is not used again', async t => {
	const {world, first, second} = createWorld();
	const {token} = first.state.tenure!;
	runUntil(world, () => (first.state.known?.log.decisions.size ?? 0) > 0, {frozen: [second], unreported: [first]});
	first.apply({type: 'reported', window: first.state.tenure!.closedThrough + 1, token, outcome: 'fenced'});
	t.notOk(isHolder(first));
	runUntil(world, () => isHolder(first), {frozen: [second]});
	t.ok(first.state.tenure!.token > token);
});

// Guards against a lease that counts from a claim whose append may have been carried out long ago.
tap.test('a claim whose response was lost is renewed before anything is sent', async t => {
	const world = VirtualWorld.create(settings, ['a']);
	const [own] = world.instances as [VirtualInstance];
	runUntil(world, () => nextStoreStep(own.state, own.clock()).type === 'append');
	own.stepStore(Fate.lost);
	own.stepStore(Fate.lost);
	runUntil(world, () => own.state.tenure !== undefined);
	t.equal(own.state.tenure!.renewedAt, -Infinity);
	runFor(world, 200);
	t.ok(own.state.tenure!.renewedAt > world.now - 500);
});

// Guards against a report that nobody makes because the holder reaches the store but not the receiver.
tap.test('a holder whose reports get no response hands over to one whose reports do', async t => {
	const {world, first, second} = createWorld();
	runUntil(world, () => world.receiver.executed.some(({machine}) => machine === 'b'), {unreported: [first]});
	t.ok(isHolder(second));
	const {window, at} = world.receiver.executed[0]!;
	t.ok(at < ((window + 1) * settings.windowMilliseconds) + settings.lateMilliseconds, 'in time');
});

// Guards against requests that are missing in a report since their instance was cut off for some seconds.
tap.test('a decision waits for an instance that is cut off, but not so long that the report is late', async t => {
	const {world, first, second} = createWorld();
	runFor(world, 6000);
	const cutAt = world.now;
	const reported = new Set(world.receiver.executed.map(({window}) => window));
	first.apply({type: 'disconnected', incarnation: second.state.own.incarnation});
	runUntil(world, () => world.receiver.executed.some(({window}) => !reported.has(window)), {frozen: [second]});
	const last = world.receiver.executed.at(-1)!;
	const sinceEnd = last.at - ((last.window + 1) * settings.windowMilliseconds);
	t.ok(sinceEnd > settings.lateMilliseconds / 2 && sinceEnd < settings.lateMilliseconds * 0.8, `${sinceEnd} ms after the window, cut at ${cutAt}`);
});

// Guards against a report without the requests of the holder that was cut off, by its successor.
tap.test('a new holder waits for the one before it, in all windows of its absence', async t => {
	const {world, first, second} = createWorld();
	const counts = {a: 5, b: 7};
	runFor(world, 6000, {counts});
	const cutAt = world.now;
	runUntil(world, () => isHolder(second), {frozen: [first], counts});
	runUntil(world, () => world.now > cutAt + 7000, {frozen: [first], counts});
	const window = Math.floor(cutAt / settings.windowMilliseconds);
	first.sendUsage(second, [window, window + 1], 5);
	runUntil(world, () => world.receiver.executed.some(call => call.window === window + 1), {counts});
	const reported = world.receiver.executed.filter(call => call.window >= window && call.window <= window + 1).map(call => call.counts);
	t.same(new Set(reported), new Set(['{"workspace":12}']));
});

tap.test('a snapshot that lacks the last record of the log is not used', async t => {
	t.equal(parseDutyLog({end: {era: 1, offset: 3}, items: [{key: 'holder', value: '{}', offset: 1}]}), undefined);
	t.match(parseDutyLog({end: {era: 1, offset: 0}, items: []}), {holder: undefined, progress: undefined});
});

// Guards against requests that are counted in another window because the time of day jumped.
tap.test('a jump of the time of day is not followed, drift is, and the median of the others corrects', async t => {
	let estimate = createTimeEstimate({steady: 0, wall: 1_000_000});
	estimate = advanceTime(estimate, {steady: 100, wall: 1_000_101});
	t.equal(estimatedTime(estimate), 1_000_101);
	estimate = advanceTime(estimate, {steady: 200, wall: 1_002_201});
	t.equal(estimatedTime(estimate), 1_000_201);
	t.equal(estimate.lease, 2201, 'a lease may have ended meanwhile');
	for (const ahead of [-2000, -1900, -2100]) {
		estimate = correctTime(estimate, ahead);
	}

	t.equal(estimatedTime(estimate), 1_000_201, 'three messages are not enough');
	t.equal(estimatedTime(correctTime(estimate, -1950)), 998_301);
	t.equal(estimatedTime(correctTime(correctTime(estimate, 20), -1950)), 1_000_201);
});
