import tap from 'tap';
import {createRandom} from '../../bench/harness/random.js';
import {type ClassChange, EngineClass, EnginePaces} from '../../src/policy/dispatch/index.js';
import {createEngineSpeed, learnEngineSpeed, passingFactor} from '../../src/policy/dispatch/engine-speed.js';
import {createPrefillSpeed} from '../../src/policy/dispatch/speed.js';

const service = 'models';
const sampleMilliseconds = 100;

/** An engine of this speed over a time, one sample every 100 ms. */
function learn(factor: number, {from, to}: {from: number; to: number}, state = createEngineSpeed()): ReturnType<typeof createEngineSpeed> {
	let learned = state;
	for (let now = from; now < to; now += sampleMilliseconds) {
		learned = learnEngineSpeed(learned, {predictedMilliseconds: 100, takenMilliseconds: 100 / factor}, now);
	}

	return learned;
}

/** Six engines of these speeds in turn read prompts for a time. */
function observe(paces: EnginePaces, speeds: readonly number[], {from, to}: {from: number; to: number}): void {
	const random = createRandom(1);
	for (let now = from; now < to; now += sampleMilliseconds) {
		for (let engine = 0; engine < 6; engine++) {
			paces.recordReading(`engine-${engine}`, service, {predictedMilliseconds: 100, takenMilliseconds: 100 * (0.8 + (random.uniform() * 0.4)) / speeds[engine % speeds.length]!, running: 10, now});
		}
	}
}

// Guards against engines that lose their streams and cached prefixes for a moment of slowness.
tap.test('a moment of slowness counts at once and does not move what lasts', async t => {
	const before = learn(1.6, {from: 0, to: 10_000});
	const within = learn(1.6 / 2.5, {from: 10_000, to: 10_600}, before);
	const after = learn(1.6, {from: 10_600, to: 12_000}, within);
	t.ok(Math.abs(before.lastingFactor - 1.6) < 0.1, `${before.lastingFactor} lasts`);
	t.ok(within.lastingFactor > before.lastingFactor * 0.95, `${within.lastingFactor} after the moment`);
	t.equal(passingFactor(before, 10_000), 1);
	t.ok(passingFactor(learn(1.6 / 2.5, {from: 10_000, to: 10_300}, before), 10_210) < 0.6, 'three samples show the moment');
	t.equal(passingFactor(after, 12_000), 1);
	t.equal(passingFactor(within, 11_200), 1, 'without samples it fades');
});

// Guards against a service that never finds out that an engine was replaced by a slower one.
tap.test('an engine that is slower from now on is known as slow within seconds', async t => {
	const slower = learn(0.6, {from: 10_000, to: 25_000}, learn(1, {from: 0, to: 10_000}));
	t.ok(slower.lastingFactor < 0.75, `${slower.lastingFactor}`);
});

// Guards against a new start under an old id that gets what its predecessor could do.
tap.test('a new start of an endpoint is unknown', async t => {
	const paces = EnginePaces.create();
	observe(paces, [0.6, 1, 1.6], {from: 0, to: 5000});
	const speed = createPrefillSpeed();
	t.equal(paces.classes(service)?.get('engine-2'), EngineClass.fast);
	t.ok(paces.prefillSpeed('engine-2', service, {speed, now: 5000}).tokensPerMillisecond > speed.tokensPerMillisecond * 1.3);
	paces.forget('engine-2');
	t.same(paces.prefillSpeed('engine-2', service, {speed, now: 5000}), speed);
	observe(paces, [0.6, 1, 0.6], {from: 5000, to: 9000});
	t.not(paces.classes(service)?.get('engine-2'), EngineClass.fast);
});

// Guards against an operator who can't see why an engine gets other requests than before.
tap.test('each change of an engine\'s class is told with what it follows from', async t => {
	const paces = EnginePaces.create();
	const changes: ClassChange[] = [];
	paces.onChange = (_, change) => {
		changes.push(change);
	};

	observe(paces, [0.6, 1, 1.6], {from: 0, to: 20_000});
	t.same(changes.map(({endpoint, to}) => `${endpoint} ${to}`).toSorted(), ['engine-0 slow', 'engine-2 fast', 'engine-3 slow', 'engine-5 fast']);
	t.ok(changes.every(({samples, spanMilliseconds, spread}) => samples >= 12 && spanMilliseconds >= 2000 && spread >= 1.5));
	t.equal(paces.summaryOf(EngineClass.fast).engines, 2);
	t.ok(paces.summaryOf(EngineClass.fast).reading > paces.summaryOf(EngineClass.slow).reading * 2);
});

// Guards against settings that are overruled.
tap.test('the setting decides whether engines are uneven, whatever they show', async t => {
	const alike = EnginePaces.create();
	alike.setting = false;
	observe(alike, [0.6, 1, 1.6], {from: 0, to: 20_000});
	t.equal(alike.classes(service), undefined);
	const uneven = EnginePaces.create();
	uneven.setting = true;
	observe(uneven, [0.95, 1, 1.05], {from: 0, to: 20_000});
	t.ok(uneven.isUneven(service));
	const learned = EnginePaces.create();
	observe(learned, [0.87, 1, 1.13], {from: 0, to: 20_000});
	t.notOk(learned.isUneven(service), `${learned.spread(service)}`);
});

// Guards against a full fast engine that is taken for a slow one: its steps take longer only because it runs more.
tap.test('an engine that runs many requests is not taken for a slow one by the time between its events', async t => {
	const paces = EnginePaces.create();
	for (let now = 0; now < 20_000; now += sampleMilliseconds) {
		for (let engine = 0; engine < 6; engine++) {
			const running = engine === 0 ? 90 : 5 + (engine * 4) + (now % 700 / 100);
			paces.recordEvents(`engine-${engine}`, service, {events: 4, milliseconds: 20 * (4.84 + (0.0725 * running)), running, prefillTimeShare: 0, now});
		}
	}

	t.notOk(paces.isUneven(service), `${paces.spread(service)}`);
});

// Guards against uneven engines that look alike while the instances are short of processor time and all first events come late.
tap.test('engines whose first events are all late for another reason are told apart by their steps', async t => {
	const paces = EnginePaces.create();
	const speeds = [0.6, 1, 1.6];
	for (let now = 0; now < 10_000; now += sampleMilliseconds) {
		for (let engine = 0; engine < 6; engine++) {
			const speed = speeds[engine % speeds.length]!;
			paces.recordReading(`engine-${engine}`, service, {predictedMilliseconds: 400, takenMilliseconds: 350 + (50 / speed), running: 10, now});
			paces.recordEvents(`engine-${engine}`, service, {events: 4, milliseconds: 120 / speed, running: 10, prefillTimeShare: 0, now});
		}
	}

	t.ok(paces.isUneven(service), `${paces.spread(service)}`);
	t.equal(paces.classes(service)?.get('engine-0'), EngineClass.slow);
	t.equal(paces.classes(service)?.get('engine-2'), EngineClass.fast);
});

// Guards against an instance short of processor time that takes its own delays for differences between engines.
tap.test('an instance that reads events late learns nothing of engines', async t => {
	const paces = EnginePaces.create();
	paces.mayLearn = () => false;
	observe(paces, [0.5, 1, 2], {from: 0, to: 10_000});
	t.notOk(paces.isUneven(service));
	paces.mayLearn = () => true;
	observe(paces, [0.5, 1, 2], {from: 10_000, to: 20_000});
	t.ok(paces.isUneven(service));
});
