import tap from 'tap';
import {plannedState, routesWith} from './planned-play.js';
import {eventually, Testbed} from './testbed.js';

const workerCount = 5;
const gapMilliseconds = 40;
/** More than a second of events: so long is a connection that breaks no crash yet. */
const eventsEach = 30;
const events = eventsEach * workerCount;
const deadlineMilliseconds = 15_000;

type Play = {readonly testbed: Testbed; readonly ended: readonly string[]};

/** Endpoints that each take the stream up, and end in the middle of it; `leave` is called when one has it. */
async function createPlay(leave: (play: Testbed, id: string) => void): Promise<Play> {
	const testbed = await Testbed.create({services: [], workersEach: 0});
	const ended: string[] = [];
	for (let number = 0; number < workerCount; number++) {
		const worker = await testbed.addWorker(`models-${number}`, 'models');
		worker.answer = ({headers}) => {
			leave(testbed, worker.id);
			ended.push(worker.id);
			const after = Number(headers['last-event-id'] ?? 0);
			return {type: 'events', count: events, gapMilliseconds, ...(ended.length < workerCount && {cutAfter: after + eventsEach})};
		};
	}

	testbed.store.put('keyed.op', 'config', plannedState(2, {routes: routesWith({maxAttempts: workerCount, timeoutMs: 20_000})}));
	const {routingState} = await testbed.startGateway({retryRatio: 9});
	await eventually(() => routingState.table?.version === 2 && routingState.directory.entries.size === workerCount);
	return {testbed, ended};
}

/** Sends a stream that may be resumed, and the same request again. */
async function playStreams({testbed}: Play): Promise<{readonly first: string; readonly again: number}> {
	const headers = {'deadline-ms': String(deadlineMilliseconds)};
	const {body, isComplete} = await testbed.send({path: '/chart/1', method: 'POST', body: 'draw', headers});
	testbed.respondWith('models', () => ({type: 'events', count: 3}));
	const replacement = await testbed.addWorker('models-new', 'models');
	replacement.answer = () => ({type: 'events', count: 3});
	await eventually(() => testbed.gateways[0]!.routingState.directory.entries.has('models-new'));
	const again = await testbed.statusOf({path: '/chart/1', method: 'POST', body: 'draw', headers});
	return {first: `${isComplete ? 'whole' : 'cut'} after ${body.match(/^id: /gmv)?.length ?? 0}`, again};
}

// Endpoints that had announced their leaving ended one after the other, and the stream that each broke off was refused for ten minutes as one that crashes endpoints.
tap.test('a stream that endpoints break off that had announced their leaving is no suspect', async t => {
	const play = await createPlay((testbed, id) => {
		const worker = testbed.workers.find(one => one.id === id)!;
		testbed.store.put('keyed.servers', id, worker.beat({state: 'draining', seq: 2}));
	});
	await using _testbed = play.testbed;
	t.same(await playStreams(play), {first: `whole after ${events}`, again: 200});
	t.equal(play.ended.length, workerCount);
	t.notOk(play.testbed.logLines.some(({msg}) => String(msg).includes('Endpoint crashed.')));
});

// The same where they leave the list without a word, as some do: they go on serving for a while, and end.
tap.test('a stream that endpoints break off that had left the list before is no suspect', async t => {
	const play = await createPlay((testbed, id) => {
		testbed.store.put('keyed.servers', id);
	});
	await using _testbed = play.testbed;
	t.same(await playStreams(play), {first: `whole after ${events}`, again: 200});
	t.notOk(play.testbed.logLines.some(({msg}) => String(msg).includes('Endpoint crashed.')));
});

// What crashes endpoints is still found: their registrations stand when they end.
tap.test('a stream that endpoints in use break off is a suspect', async t => {
	const play = await createPlay(() => undefined);
	await using _testbed = play.testbed;
	const {first} = await playStreams(play);
	t.not(first, `whole after ${events}`);
	t.ok(play.testbed.logLines.some(({msg}) => String(msg).includes('Endpoint crashed.')));
});
