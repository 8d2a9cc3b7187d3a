import tap from 'tap';
import {FakePlatformWorker, type WorkerAnswer, type WorkerRequest} from '../../fakes/platform-worker.js';
import {desiredState} from '../../fakes/platform-state.js';
import {type CallerResponse, eventually, Testbed} from './testbed.js';

const builds = ['v1', 'v1.2'] as const;
const streams = 60;
const eventCount = 5;
const eventsBefore = 2;
const whole: WorkerAnswer = {type: 'events', count: eventCount, gapMilliseconds: 5};
const broken: WorkerAnswer = {type: 'events', count: eventCount, cutAfter: eventsBefore, gapMilliseconds: 5};

/** A testbed whose model workers are of two builds, in turn. */
async function createTwoBuilds(answer: (request: WorkerRequest) => WorkerAnswer, workers = 6): Promise<Testbed> {
	const testbed = await Testbed.create({services: []});
	for (let number = 0; number < workers; number++) {
		const worker = await FakePlatformWorker.create(`model-${number}`, 'models');
		worker.answer = answer;
		testbed.workers.push(worker);
		testbed.store.put('keyed.servers', worker.id, worker.beat({version: buildOf(worker.id)}));
	}

	return testbed;
}

function buildOf(id: string): string {
	return builds[Number(id.split('-')[1]) % builds.length]!;
}

/** The builds of the workers that brought events of these requests. */
function buildsOf(testbed: Testbed, ids: readonly string[]): Set<string> {
	return new Set(testbed.workers.filter(({requests}) => requests.some(({id, wasRun}) => ids.includes(id) && wasRun)).map(({id}) => buildOf(id)));
}

function lastEventIdOf({body}: CallerResponse): string {
	return [...body.matchAll(/^id: (?<id>\d+)$/gmv)].at(-1)!.groups!.id!;
}

// The next endpoint was chosen without regard to its software, and a stream went on with what another version writes.
tap.test('a stream that goes on within one response goes on at the build that began it', async t => {
	let runs = 0;
	await using testbed = await createTwoBuilds(({headers}) => {
		runs += 1;
		return headers['last-event-id'] === undefined && runs % 3 === 0 ? broken : whole;
	});
	await testbed.startGateway();
	const ids = Array.from({length: streams}, (_, number) => `s${number}`);
	const responses = await Promise.all(ids.map(async id => testbed.send({path: '/chart/1', id})));
	const goneOn = ids.filter(id => testbed.attemptCount(id) > 1);
	t.ok(goneOn.length >= streams / 6, `${goneOn.length} streams went on`);
	t.equal(goneOn.filter(id => buildsOf(testbed, [id]).size > 1).length, 0, 'none at another build');
	t.equal(responses.filter(({isComplete}) => isComplete).length, streams, 'and all are whole');
});

tap.test('without another endpoint of its build a stream ends at once, and is not sent to another build', async t => {
	await using testbed = await createTwoBuilds(({headers}) => headers['last-event-id'] === undefined ? broken : whole, 2);
	await testbed.startGateway();
	const response = await testbed.send({path: '/chart/1', id: 's'});
	t.equal(lastEventIdOf(response), String(eventsBefore));
	t.notOk(response.isComplete, 'its caller can take it up');
	t.equal(testbed.attemptCount('s'), 1);
	t.ok(response.milliseconds < 600, `after ${Math.round(response.milliseconds)} ms`);
});

type TakenUp = {readonly first: string; readonly second: string; readonly status: number; readonly isWhole: boolean};

/** Sends a stream, and takes it up at another gateway once it has broken off. */
async function takeUp(testbed: Testbed, number: number, between: () => Promise<void>): Promise<TakenUp> {
	const gateway = testbed.gateways[number % testbed.gateways.length]!;
	const first = await testbed.send({path: '/chart/1', id: `s${number}`}, gateway);
	await between();
	const next = testbed.gateways[(number + 1) % testbed.gateways.length]!;
	const second = await testbed.send({path: '/chart/1', id: `t${number}`, headers: {Resumes: `s${number}`, 'Last-Event-Id': lastEventIdOf(first)}}, next);
	return {first: `s${number}`, second: `t${number}`, status: second.status, isWhole: second.isComplete && second.status === 200 && lastEventIdOf(second) === String(eventCount)};
}

const oneAttempt = {routes: (desiredState(1).routes as Array<Record<string, unknown>>).map(route => ({...route, maxAttempts: 1}))};

// The instance at which a caller takes a stream up had not sent it, and knew nothing of the build that began it.
tap.test('a stream that its caller takes up at another instance goes on at the build that began it', async t => {
	await using testbed = await createTwoBuilds(({headers}) => headers['last-event-id'] === undefined ? broken : whole);
	testbed.store.put('keyed.op', 'config', desiredState(2, oneAttempt));
	for (let number = 0; number < 4; number++) {
		await testbed.startGateway();
	}

	await eventually(() => testbed.gateways.every(({peers}) => peers.count === 3));
	const taken = await Promise.all(Array.from({length: streams}, async (_, number) => takeUp(testbed, number, async () => undefined)));
	t.equal(taken.filter(({first, second}) => buildsOf(testbed, [first, second]).size > 1).length, 0, 'none at another build');
	t.ok(taken.filter(({isWhole}) => isWhole).length >= streams * 0.9, `${taken.filter(({isWhole}) => isWhole).length} of ${streams} go on`);
});

tap.test('a stream of which no instance knows the build is not taken up while there are two, and its caller is told so', async t => {
	await using testbed = await createTwoBuilds(() => whole);
	await testbed.startGateway();
	const response = await testbed.send({path: '/chart/1', id: 't', headers: {Resumes: 'unknown', 'Last-Event-Id': '2'}});
	t.equal(response.status, 503);
	t.equal(testbed.attemptCount('t'), 0);
	t.ok(response.milliseconds < 600, `after ${Math.round(response.milliseconds)} ms`);
});

tap.test('a stream is taken up although nothing is known of it while there is one build', async t => {
	await using testbed = await Testbed.create({services: ['models']});
	testbed.respondWith('models', () => whole);
	await testbed.startGateway();
	const response = await testbed.send({path: '/chart/1', id: 't', headers: {Resumes: 'unknown', 'Last-Event-Id': '2'}});
	t.equal(response.status, 200);
});

tap.test('a stream that no event was received of is free to begin at any build', async t => {
	await using testbed = await createTwoBuilds(() => whole);
	await testbed.startGateway();
	t.equal(await testbed.statusOf({path: '/chart/1', id: 't', headers: {Resumes: 'unknown'}}), 200);
});

// A silent stream was given up although only another build had an endpoint left, so that it could no longer go on.
tap.test('a stream that falls silent is not given up while no other endpoint has its build', async t => {
	await using testbed = await createTwoBuilds(() => ({type: 'crash', isSilent: true, afterEvents: 2}), 2);
	await testbed.startGateway();
	const response = await testbed.send({path: '/chart/1', id: 's'});
	t.ok(response.milliseconds > 1400, `its endpoint has until the deadline, ${Math.round(response.milliseconds)} ms`);
	t.equal(testbed.attemptCount('s'), 1);
});

// A route that is divided between services chose by the id of the take-up, and half of the streams went on at another service.
tap.test('a stream of a divided route is taken up at the service that began it', async t => {
	await using testbed = await Testbed.create({services: ['models', 'more-models']});
	testbed.respondWith('models', () => whole);
	testbed.respondWith('more-models', () => whole);
	const state = desiredState(2);
	const split = [{service: 'models', weight: 1}, {service: 'more-models', weight: 1}];
	testbed.store.put('keyed.op', 'config', {
		...state,
		routes: (state.routes as Array<Record<string, unknown>>).map(route => route.name === 'chart' ? {...route, service: undefined, split} : route),
		services: [...state.services as Array<Record<string, unknown>>, {name: 'more-models', maxConnections: 100}],
	});
	const gateway = await testbed.startGateway();
	await eventually(() => gateway.routingState.table?.version === 2);
	const serviceOf = (id: string): string | undefined => testbed.workers.find(({requests}) => requests.some(request => request.id === id))?.service;
	for (let number = 0; number < 12; number++) {
		await testbed.send({path: '/chart/1', id: `s${number}`});
		await testbed.send({path: '/chart/1', id: `t${number}`, headers: {Resumes: `s${number}`, 'Last-Event-Id': '2'}});
	}

	const numbers = Array.from({length: 12}, (_, number) => number);
	t.equal(new Set(numbers.map(number => serviceOf(`s${number}`))).size, 2, 'both services get streams');
	t.ok(numbers.every(number => serviceOf(`s${number}`) === serviceOf(`t${number}`)));
});
