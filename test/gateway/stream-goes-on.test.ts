import tap from 'tap';
import {type WorkerAnswer} from '../../fakes/platform-worker.js';
import {type CallerResponse, Testbed} from './testbed.js';

const eventCount = 5;
const eventsBefore = 2;
const broken: WorkerAnswer = {type: 'events', count: eventCount, cutAfter: eventsBefore, gapMilliseconds: 5};
const whole: WorkerAnswer = {type: 'events', count: eventCount, gapMilliseconds: 5};
const manyBytes = 600 * 1024;

function idsOf({body}: CallerResponse): string[] {
	return [...body.matchAll(/^id: (?<id>.*)$/gmv)].map(({groups}) => groups!.id!);
}

/** One worker breaks each stream off after its second event; the other one does something to what goes on. */
async function createTestbed(answer: WorkerAnswer): Promise<Testbed> {
	const testbed = await Testbed.create({services: ['orders', 'models']});
	testbed.respondWith('models', ({headers}) => headers['last-event-id'] === undefined ? broken : answer);
	return testbed;
}

const bodies = {empty: '', short: 'no such run', long: 'x'.repeat(manyBytes)};
const statuses = [300, 302, 400, 401, 404, 408, 413, 421, 429, 499, 500, 502, 503, 504];
const failures: ReadonlyArray<{readonly name: string; readonly answer: WorkerAnswer}> = statuses.flatMap(status => Object.entries(bodies).map(([size, body]) => ({
	name: `status ${status} and a body that is ${size}`, answer: {type: 'whole' as const, status, body},
})));

// The status of the second endpoint was written after the first one's, and the error ended the instance.
for (const {name, answer} of failures) {
	tap.test(`a stream that goes on at an endpoint that answers with ${name} ends alone`, async t => {
		await using testbed = await createTestbed(answer);
		testbed.respondWith('orders', () => ({type: 'whole', body: 'done', afterMilliseconds: 100}));
		await testbed.startGateway();
		const order = testbed.send({id: 'order'});
		const stream = await testbed.send({path: '/chart/1', id: 'stream'});
		t.same([stream.status, stream.isComplete, idsOf(stream)], [200, false, ['1', '2']], 'what came is delivered, and does not look whole');
		const {status} = await order;
		t.equal(status, 200, 'the others are served');
	});
}

// The same where a third endpoint can go on: the failure of the second one must not end the stream.
tap.test('a stream whose second endpoint answers with a status goes on at a third one', async t => {
	await using testbed = await Testbed.create({services: [], workersEach: 0});
	await Promise.all(['one', 'two', 'three'].map(async id => testbed.addWorker(id, 'models')));
	let resumed = 0;
	testbed.respondWith('models', ({headers}) => {
		if (headers['last-event-id'] === undefined) {
			return broken;
		}

		resumed += 1;
		return resumed === 1 ? {type: 'whole', status: 404, body: 'no such run'} : whole;
	});

	const route = {host: 'studio.example', timeoutMs: 1500, targetLatencyMs: 100, priority: 1, public: false, kind: 'streaming', service: 'models', resumable: true, maxAttempts: 3, gapAimMs: 200};
	testbed.store.put('keyed.op', 'config', {
		version: 2, routes: [{...route, name: 'chart', pathPrefix: '/chart/'}], services: [{name: 'models', maxConnections: 100}],
		limits: {maxHeaderBytes: 16_384, maxBodyBytes: 100_000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000}, tenants: [{name: 'studio-a', apiKeys: ['key-a']}],
	});
	await testbed.startGateway({retryRatio: 5});
	const stream = await testbed.send({path: '/chart/1', id: 'stream'});
	t.same([stream.status, stream.isComplete, idsOf(stream)], [200, true, ['1', '2', '3', '4', '5']]);
});
