import tap from 'tap';
import {type WorkerAnswer} from '../../fakes/platform-worker.js';
import {BuildHistory, RoutingState} from '../../src/gateway/index.js';
import {type ZoneName} from '../../src/model/index.js';
import {createLogger, forPart} from '../../src/telemetry/index.js';
import {type CallerResponse, eventually, Testbed} from './testbed.js';

const buildsTopic = 'keyed.cassiaflow-builds';
const eventCount = 5;
const eventsBefore = 2;
const whole: WorkerAnswer = {type: 'events', count: eventCount, gapMilliseconds: 5};
const broken: WorkerAnswer = {type: 'events', count: eventCount, cutAfter: eventsBefore, gapMilliseconds: 5};

type Play = {readonly isStored: boolean; readonly isReplaced: boolean; readonly isFirstStart: boolean};

/** A stream begins at one build, all instances are lost, its build is replaced meanwhile or not, and its caller takes it up at an instance that has just started. */
async function play({isStored, isReplaced, isFirstStart}: Play): Promise<CallerResponse & {readonly runs: number}> {
	await using testbed = await Testbed.create({services: []});
	const earlier = await testbed.addWorker('earlier', 'models');
	earlier.answer = ({headers}) => headers['last-event-id'] === undefined ? broken : whole;
	await testbed.startGateway();
	await testbed.send({path: '/chart/1', id: 's'});
	if (isStored) {
		await eventually(() => testbed.store.keys(buildsTopic).includes('models'));
	}

	await testbed.gateways.pop()![Symbol.asyncDispose]();
	if (isReplaced) {
		const later = await testbed.addWorker('later', 'models');
		later.answer = () => whole;
		testbed.store.put('keyed.servers', later.id, later.beat({version: 'v2', seq: 2}));
		testbed.store.put('keyed.servers', earlier.id);
	}

	await testbed.startGateway({instance: 'gateway-0', isFirstStart});
	const response = await testbed.send({path: '/chart/1', id: 't', headers: {Resumes: 's', 'Last-Event-Id': String(eventsBefore)}});
	return {...response, runs: testbed.attemptCount('t')};
}

// The builds of a service were stored only once there were two; streams of the one that left in the dark went on at the next.
tap.test('a stream whose build is replaced while all instances are lost does not go on at another one', async t => {
	const {status, headers, runs} = await play({isStored: true, isReplaced: true, isFirstStart: false});
	t.same([status, runs], [503, 0]);
	t.ok(headers['retry-after'] !== undefined, 'its caller is told when to come back');
});

// The instances were lost before one of them had stored the build: a start that reads nothing knows nothing.
tap.test('a stream does not go on at an instance that has started and finds nothing stored', async t => {
	const {status, runs} = await play({isStored: false, isReplaced: true, isFirstStart: false});
	t.same([status, runs], [503, 0]);
});

// The rightful ones: the refusals above must not reach those whose build still serves.
tap.test('a stream whose build still serves goes on after all instances are lost', async t => {
	const {status, isComplete, body, runs} = await play({isStored: true, isReplaced: false, isFirstStart: false});
	t.same([status, isComplete, runs], [200, true, 1]);
	t.match(body, /^id: 3\n/v);
});

tap.test('at the first start of all, nothing can have served before', async t => {
	const {status, runs} = await play({isStored: false, isReplaced: false, isFirstStart: true});
	t.same([status, runs], [200, 1]);
});

const fleetSize = 350;
const serviceCount = 19;
const namesKnownMilliseconds = 1000;
const writersEach = 2;

// Each of the instances that start together knows no other for a moment; all of them would store what they see, thousands of writes in a second.
tap.test('of 350 instances that start together a few store the builds, and none where they are stored', async t => {
	const logger = forPart(createLogger({name: 'gateway', level: 'fatal', output: {write: () => undefined}}), 'Streams');
	const stored = new Map<string, readonly string[]>();
	const names = Array.from({length: fleetSize}, (_, number) => `gateway-${number}`);
	for (const [round, mostWrites] of [writersEach * serviceCount, 0].entries()) {
		const startedAt = performance.now();
		let writes = 0;
		const states = names.map(() => RoutingState.create(logger));
		const histories = names.map((instance, number) => BuildHistory.create({
			instance, routingState: states[number]!, isFirstStart: round === 0, logger, random: Math.random,
			instances: () => performance.now() - startedAt < namesKnownMilliseconds ? [] : names,
			read: async () => Array.from(stored, ([service, builds]) => ({service, builds})),
			async write({service, builds}) {
				writes += 1;
				stored.set(service, builds);
			},
			readEndpoints: async () => true,
		}));
		await Promise.all(histories.map(async ({whenRead}) => whenRead));
		for (const state of states) {
			state.applyEndpointChanges(Array.from({length: serviceCount}, (_, number) => ({
				type: 'registered' as const, era: 0, offset: number, record: {id: `e-${number}`, service: `model-${number}`, address: '127.0.0.1:1', zone: 'zone-a' as ZoneName, isLeaving: false, slots: 1, revision: 1, build: 'v1'},
			})), 'store', performance.now());
		}

		await new Promise(resolve => {
			setTimeout(resolve, 4500);
		});
		t.ok(writes <= mostWrites, `${writes} writes`);
		t.equal(stored.size, serviceCount);
		for (const history of histories) {
			history[Symbol.dispose]();
		}
	}
});
