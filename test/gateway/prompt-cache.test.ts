import tap from 'tap';
import {desiredState} from '../../fakes/platform-state.js';
import {eventually, World} from './testbed.js';

const prompt = {'prefix-hash': 'aa:2500,bb:3800,cc:90', 'token-usage': '6390,50'};

async function createWorld(): Promise<World> {
	const world = await World.create({services: ['models']});
	const state = desiredState(2);
	const services = (state.services as Array<Record<string, unknown>>).map(service => service.engine === undefined
		? service
		: {...service, engine: {...service.engine as Record<string, unknown>, most: 4, moves: true, kvTokenBytes: 327_680, linkMbps: 1_000_000}});
	world.store.put('keyed.op', 'config', {...state, services});
	world.answerWith('models', () => ({type: 'events', count: 3}));
	return world;
}

function linesOf(world: World, message: string): Array<Record<string, unknown>> {
	return world.lines.filter(({msg}) => String(msg).includes(message));
}

// All instances start anew after a loss of power, and one engine keeps a beginning that callers ask for at once. No
// instance knew, and had it read again by whichever engine came first. Each engine is asked once, by one of the instances.
tap.test('after a start, one instance asks each engine what it keeps, and all place by it', async t => {
	await using world = await createWorld();
	const [holder, other] = world.ofService('models');
	holder!.kept = [['aa', 2500], ['bb', 3800]];
	other!.kept = [];
	const seeds: string[] = [];
	for (let number = 0; number < 2; number++) {
		await world.openGateway({seedHosts: seeds});
	}

	await eventually(() => world.gateways.every(({gateway, peers}) => gateway.isReady && peers.count === 1));
	await eventually(() => linesOf(world, 'Kept prompts read.').length >= 2);
	for (const [index, gateway] of world.gateways.entries()) {
		const {status} = await world.ask({path: '/chart/1', method: 'POST', id: `after-${index}`, body: 'draw', headers: {...prompt, 'prefix-hash': `aa:2500,bb:3800,c${index}:90`}}, gateway);
		t.equal(status, 200);
	}

	await eventually(() => linesOf(world, 'Sent.').length === 2);
	for (const line of linesOf(world, 'Sent.')) {
		t.match(line, {endpoint: holder!.id, unread: 90});
	}
});

// An engine can't tell what it keeps. Its instances say so in a line and serve as before.
tap.test('an engine without a list is told of in a line and used all the same', async t => {
	await using world = await createWorld();
	await world.startGateway();
	await eventually(() => linesOf(world, 'Kept prompts could not be read.').length >= 2);
	t.equal(await world.statusOf({path: '/chart/1', method: 'POST', body: 'draw', headers: prompt}), 200);
});

// A beginning is read at one engine, and the next request for it goes to another: it names the first, by its address, as the one
// to take it from, and a caller's own word of it is dropped.
tap.test('a fetch names the address of the engine that holds the beginning', async t => {
	await using world = await createWorld();
	const [holder, other] = world.ofService('models');
	holder!.kept = [['aa', 2500], ['bb', 3800]];
	other!.kept = [];
	await world.startGateway();
	await eventually(() => linesOf(world, 'Kept prompts read.').length >= 2);
	world.answerWith('models', ({id}) => ({type: 'events', count: id.startsWith('long') ? 40 : 3, gapMilliseconds: id.startsWith('long') ? 50 : 0}));
	// The holder's slots are full of others' work, so that the next one goes elsewhere.
	const long = Array.from({length: 16}, async (_, index) => world.ask({path: '/chart/1', method: 'POST', id: `long-${index}`, body: 'draw', headers: prompt}));
	await eventually(() => world.arrivals('long-15') === 1);
	await world.ask({path: '/chart/1', method: 'POST', id: 'spilled', body: 'draw', headers: {...prompt, 'kv-fetch': '10.0.0.1:1'}});
	await Promise.all(long);
	const taken = world.workers.flatMap(worker => worker.requests).filter(request => request.headers['kv-fetch'] !== undefined);
	t.ok(taken.length > 0, 'some went to the other engine');
	for (const {headers} of taken) {
		t.ok([holder!.address, other!.address].includes(String(headers['kv-fetch'])));
	}
});
