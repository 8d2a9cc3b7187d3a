import tap from 'tap';
import {type ClassStatement, EngineClass, EnginePaces, LatePauses, createPrefillSpeed, statementLeaseMilliseconds, ToldClasses} from '../../src/policy/dispatch/index.js';

const service = 'models';

function statement(teller: string, classes: Readonly<Record<string, EngineClass>>): ClassStatement {
	const speeds: Readonly<Record<EngineClass, number>> = {fast: 1.6, usual: 1, slow: 0.6};
	return {teller, service, engines: Object.entries(classes).map(([endpoint, engineClass]) => ({endpoint, engineClass, relativeSpeed: speeds[engineClass]}))};
}

// Guards against one instance with wrong beliefs that moves the streams of all that know nothing themselves.
tap.test('of several statements the one of most tellers counts', async t => {
	const told = ToldClasses.create();
	told.record(statement('a', {one: EngineClass.fast, two: EngineClass.slow}), 0);
	told.record(statement('b', {one: EngineClass.fast, two: EngineClass.slow}), 0);
	told.record(statement('c', {one: EngineClass.slow, two: EngineClass.fast}), 0);
	t.same(told.view(service)?.classes, new Map([['one', EngineClass.fast], ['two', EngineClass.slow]]));
	t.same(told.view(service)?.speeds, new Map([['one', 1.6], ['two', 0.6]]));
	told.record(statement('a', {}), 10);
	told.record(statement('b', {}), 10);
	t.equal(told.view(service), undefined, 'most tell that engines are alike');
});

// Guards against classes that hold for good after those who knew them are gone.
tap.test('what was told ends with its lease, and with a new start of its engine', async t => {
	const told = ToldClasses.create();
	told.record(statement('a', {one: EngineClass.fast, two: EngineClass.slow}), 0);
	told.forget('one');
	t.same(told.view(service)?.classes, new Map([['two', EngineClass.slow]]));
	t.same(told.lapse(statementLeaseMilliseconds - 1), []);
	t.same(told.lapse(statementLeaseMilliseconds), [service]);
	t.equal(told.view(service), undefined);
});

// Guards against a fleet of hundreds in which each instance tells each other one.
tap.test('the first three by name tell, when a class has changed and again after a while', async t => {
	const classes = new Map([['one', EngineClass.fast]]);
	const told = ToldClasses.create();
	for (const teller of ['a', 'b', 'c']) {
		told.record(statement(teller, {one: EngineClass.fast}), 0);
	}

	t.notOk(told.isDue({teller: 'd', service, classes}, 0), 'three before it tell');
	t.ok(told.isDue({teller: 'bb', service, classes}, 0), 'two before it do');
	t.notOk(told.isDue({teller: 'bb', service, classes}, 900));
	t.ok(told.isDue({teller: 'bb', service, classes: new Map([['one', EngineClass.slow]])}, 1000), 'a class has changed');
	t.notOk(told.isDue({teller: 'bb', service, classes: new Map([['one', EngineClass.slow]])}, 8900));
	t.ok(told.isDue({teller: 'bb', service, classes: new Map([['one', EngineClass.slow]])}, 9000));
	told.lapse(statementLeaseMilliseconds);
	t.ok(told.isDue({teller: 'd', service, classes}, statementLeaseMilliseconds), 'those before it are silent');
	t.notOk(ToldClasses.create().isDue({teller: 'a', service, classes: new Map()}, 0), 'engines are alike, and nobody was told otherwise');
});

// Guards against an instance that goes by others although it knows better, or although it is told not to.
tap.test('what is told counts where an instance does not learn', async t => {
	const paces = EnginePaces.create();
	const ended: unknown[] = [];
	paces.onTold = (...told) => {
		ended.push(told);
	};

	paces.recordTold(statement('a', {one: EngineClass.fast, two: EngineClass.slow}), 0);
	const speed = createPrefillSpeed();
	t.ok(paces.isUneven(service));
	t.same(paces.classes(service), new Map([['one', EngineClass.fast], ['two', EngineClass.slow]]));
	t.equal(paces.prefillSpeed('one', service, {speed, now: 0}).tokensPerMillisecond, speed.tokensPerMillisecond * 1.6);
	t.same(paces.prefillSpeed('three', service, {speed, now: 0}), speed, 'nothing is told of it');
	paces.setting = false;
	t.notOk(paces.isUneven(service));
	paces.setting = undefined;
	paces.prune(statementLeaseMilliseconds);
	t.notOk(paces.isUneven(service));
	t.same(ended, [[service, 2], [service, undefined]]);
});

// Guards against streams that move by what engines seem to be where all of them are in time.
tap.test('speeds are needed once streams are late by pauses, for as long as engines are uneven', async t => {
	const pauses = LatePauses.create();
	const record = (pauseMilliseconds: number, lagMilliseconds = 0): void => {
		pauses.record(service, {pauseMilliseconds, lagMilliseconds, maxPauseMilliseconds: 200});
	};

	for (let number = 0; number < 20; number++) {
		record(200);
		record(500, 400);
	}

	t.notOk(pauses.isNeeded(service), 'in time, but for what this instance read late');
	record(201);
	t.notOk(pauses.isNeeded(service), 'one is late');
	record(300);
	t.ok(pauses.isNeeded(service), 'two in a row are');
	for (let number = 0; number < 20; number++) {
		record(10);
	}

	t.ok(pauses.isNeeded(service), 'in time again because of them');
	pauses.reset(service);
	t.notOk(pauses.isNeeded(service), 'engines are alike now');
	t.notOk(pauses.isNeeded('other'));
});
