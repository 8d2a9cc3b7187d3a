import tap from 'tap';
import {desiredState} from '../../fakes/platform-state.js';
import {eventually, World} from './testbed.js';

const base = {host: 'studio.example', timeoutMs: 1500, targetLatencyMs: 100, maxAttempts: 1, public: false, sticky: false, resumable: false, kind: 'streaming', service: 'models'};
const routes = [
	{...base, name: 'draft', pathPrefix: '/draft/', priority: 2, gapAimMs: 600},
	{...base, name: 'question', pathPrefix: '/question/', priority: 0, gapAimMs: 100},
];

/** The rank that the engine got with one request of a workspace. */
async function rankOf(world: World, path: string, key: string): Promise<number> {
	const id = `${path}${key}${Math.random()}`;
	const seen = await world.ask({path, method: 'POST', id, key, body: 'x'});
	if (seen.status !== 200) {
		throw new Error(`${path} of ${key} was answered ${seen.status}`);
	}

	const arrived = world.workers.flatMap(worker => worker.requests).find(request => request.id === id)!;
	return Number(arrived.headers['request-priority']);
}

async function createWorld(): Promise<World> {
	const world = await World.create();
	world.answerWith('models', () => ({type: 'events', count: 2}));
	return world;
}

// An engine that runs out of slots or memory puts back the newest of the least urgent. Tickets, the most urgent kind, were
// put back in the middle of their streams while drafts ran on beside them: 86 of them in a second.
tap.test('an urgent stream is not put back for a draft of a workspace that goes first', async t => {
	await using world = await createWorld();
	const tenants = [{name: 'studio-a', apiKeys: ['key-a'], priority: 1}, {name: 'studio-b', apiKeys: ['key-b'], priority: 0}];
	world.store.put('keyed.op', 'config', desiredState(2, {routes, tenants}));
	const gateway = await world.startGateway();
	await eventually(() => gateway.beliefs.table?.version === 2);
	const ticket = await rankOf(world, '/question/1', 'key-a');
	const draft = await rankOf(world, '/draft/1', 'key-b');
	t.ok(ticket < draft, `the ticket has rank ${ticket} at the engine, the draft ${draft}`);
});

// The same across a change: the operator adds a workspace, and streams that began before it run beside those that began after.
tap.test('a rank at an engine means the same before and after a change of workspaces', async t => {
	await using world = await createWorld();
	const one = {name: 'studio-a', apiKeys: ['key-a'], priority: 1};
	world.store.put('keyed.op', 'config', desiredState(2, {routes, tenants: [one]}));
	const gateway = await world.startGateway();
	await eventually(() => gateway.beliefs.table?.version === 2);
	const draftBefore = await rankOf(world, '/draft/1', 'key-a');
	world.store.put('keyed.op', 'config', desiredState(3, {routes, tenants: [one, {name: 'studio-b', apiKeys: ['key-b'], priority: 0}, {name: 'studio-c', apiKeys: ['key-c'], priority: 3}]}));
	await eventually(() => gateway.beliefs.table?.version === 3);
	const ticketAfter = await rankOf(world, '/question/1', 'key-a');
	const draftAfter = await rankOf(world, '/draft/1', 'key-a');
	t.ok(ticketAfter < draftBefore, `the ticket from after has rank ${ticketAfter}, the draft from before ${draftBefore}`);
	t.equal(draftAfter, draftBefore, 'equal drafts are equal');
});
