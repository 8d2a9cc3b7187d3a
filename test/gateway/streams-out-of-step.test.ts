import tap from 'tap';
import {instancesTopic} from '../../platform/feeds.js';
import {FakePath, type PathFaults} from '../../fakes/network-path.js';
import {type WorkerAnswer} from '../../fakes/platform-worker.js';
import {type CallerResponse, eventually, Testbed} from './testbed.js';

const streams = 30;
const eventCount = 5;
const eventsBefore = 2;
const whole: WorkerAnswer = {type: 'events', count: eventCount, gapMilliseconds: 5};
const broken: WorkerAnswer = {type: 'events', count: eventCount, cutAfter: eventsBefore, gapMilliseconds: 5};
const unreachableAddress = '127.0.0.1:1';
/** Two reads of the endpoints have failed by then. */
const outOfStepMilliseconds = 1500;

type Play = {readonly mixed: number; readonly whole: number; readonly notRun: number};

function lastEventIdOf({body}: CallerResponse): string {
	return [...body.matchAll(/^id: (?<id>\d+)$/gmv)].at(-1)!.groups!.id!;
}

/** Streams begin at one instance while endpoints of a new build join, break off, and are taken up at another one that is out of step. */
async function play(faults: Partial<PathFaults>, {joins}: {joins: boolean}): Promise<Play> {
	await using testbed = await Testbed.create({services: []});
	testbed.store.rewrite = (topic, _key, value) => topic === instancesTopic ? {...value as Readonly<Record<string, unknown>>, address: unreachableAddress} : value;
	const earlier = await testbed.addWorker('earlier', 'models');
	const path = await FakePath.create(testbed.store.address);
	const first = await testbed.startGateway();
	const second = await testbed.startGateway({storeAddress: path.address});
	Object.assign(path.faults, faults);
	if (joins) {
		const later = await testbed.addWorker('later', 'models');
		testbed.store.put('keyed.servers', later.id, later.beat({version: 'v2', seq: 2}));
		await eventually(() => first.routingState.directory.entries.has(later.id));
	}

	await new Promise(resolve => {
		setTimeout(resolve, outOfStepMilliseconds);
	});
	testbed.respondWith('models', ({headers}) => headers['last-event-id'] === undefined ? broken : whole);
	const taken = await Promise.all(Array.from({length: streams}, async (_, number) => {
		const begun = await testbed.send({path: '/chart/1', id: `b${number}`}, first);
		const response = await testbed.send({path: '/chart/1', id: `t${number}`, headers: {Resumes: `b${number}`, 'Last-Event-Id': lastEventIdOf(begun)}}, second);
		return {number, response};
	}));
	const ranEarlier = new Set(earlier.requests.filter(({wasRun}) => wasRun).map(({id}) => id));
	const result = {
		mixed: taken.filter(({number, response}) => response.status === 200 && ranEarlier.has(`b${number}`) !== ranEarlier.has(`t${number}`)).length,
		whole: taken.filter(({response}) => response.status === 200 && response.isComplete).length,
		notRun: taken.filter(({response}) => response.status === 503).length,
	};
	path.heal();
	await path[Symbol.asyncDispose]();
	return result;
}

for (const [name, faults] of Object.entries({silent: {silent: true}, refusing: {refusing: true}, late: {delayMilliseconds: 3000}})) {
	// An instance that had not heard of a new build took what it knew for all there is: streams that others began at the new one went on at the old one.
	tap.test(`a stream of unknown origin does not go on at an instance that is apart and whose store is ${name}`, async t => {
		const {mixed, notRun} = await play(faults, {joins: true});
		t.equal(mixed, 0, `${mixed} of ${streams} went on at another build`);
		t.equal(notRun, streams, 'their callers are told that they have not run');
	});
}

tap.test('it goes on where the store says that there is one build', async t => {
	const {mixed, whole: goneOn} = await play({}, {joins: false});
	t.equal(mixed, 0);
	t.ok(goneOn >= streams / 2, `${goneOn} of ${streams} went on`);
});
