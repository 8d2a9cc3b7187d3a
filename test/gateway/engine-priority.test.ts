import tap from 'tap';
import {desiredState} from '../../fakes/platform-state.js';
import {eventually, Testbed} from './testbed.js';

const base = {host: 'studio.example', timeoutMs: 1500, targetLatencyMs: 100, maxAttempts: 1, public: false, sticky: false, resumable: false, kind: 'streaming', service: 'models'};
const routes = [
	{...base, name: 'draft', pathPrefix: '/draft/', priority: 2, gapAimMs: 600},
	{...base, name: 'question', pathPrefix: '/question/', priority: 0, gapAimMs: 100},
];

/** Sends a request of a workspace and returns the priority that the engine received with it. */
async function enginePriority(testbed: Testbed, path: string, key: string): Promise<number> {
	const id = `${path}${key}${Math.random()}`;
	const response = await testbed.send({path, method: 'POST', id, key, body: 'x'});
	if (response.status !== 200) {
		throw new Error(`${path} of ${key} got status ${response.status}`);
	}

	const arrived = testbed.workers.flatMap(worker => worker.requests).find(request => request.id === id)!;
	return Number(arrived.headers['request-priority']);
}

async function createTestbed(): Promise<Testbed> {
	const testbed = await Testbed.create();
	testbed.respondWith('models', () => ({type: 'events', count: 2}));
	return testbed;
}

// An engine that runs out of slots or memory preempts the newest of its least urgent requests. With priorities by workspace, tickets,
// the most urgent kind, were preempted in the middle of their streams while drafts kept running: 86 of them in a second.
tap.test('an urgent stream is not preempted for a draft of a more urgent workspace', async t => {
	await using testbed = await createTestbed();
	const tenants = [{name: 'studio-a', apiKeys: ['key-a'], priority: 1}, {name: 'studio-b', apiKeys: ['key-b'], priority: 0}];
	testbed.store.put('keyed.op', 'config', desiredState(2, {routes, tenants}));
	const gateway = await testbed.startGateway();
	await eventually(() => gateway.routingState.table?.version === 2);
	const ticket = await enginePriority(testbed, '/question/1', 'key-a');
	const draft = await enginePriority(testbed, '/draft/1', 'key-b');
	t.ok(ticket < draft, `the ticket has priority ${ticket} at the engine, the draft ${draft}`);
});

// When the operator adds a workspace, streams that started before the change run beside those that started after it.
tap.test('a priority at an engine means the same before and after a change of workspaces', async t => {
	await using testbed = await createTestbed();
	const one = {name: 'studio-a', apiKeys: ['key-a'], priority: 1};
	testbed.store.put('keyed.op', 'config', desiredState(2, {routes, tenants: [one]}));
	const gateway = await testbed.startGateway();
	await eventually(() => gateway.routingState.table?.version === 2);
	const draftBefore = await enginePriority(testbed, '/draft/1', 'key-a');
	testbed.store.put('keyed.op', 'config', desiredState(3, {routes, tenants: [one, {name: 'studio-b', apiKeys: ['key-b'], priority: 0}, {name: 'studio-c', apiKeys: ['key-c'], priority: 3}]}));
	await eventually(() => gateway.routingState.table?.version === 3);
	const ticketAfter = await enginePriority(testbed, '/question/1', 'key-a');
	const draftAfter = await enginePriority(testbed, '/draft/1', 'key-a');
	t.ok(ticketAfter < draftBefore, `the ticket after the change has priority ${ticketAfter}, the draft before it ${draftBefore}`);
	t.equal(draftAfter, draftBefore, 'equal drafts have equal priority');
});
