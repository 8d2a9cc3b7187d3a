import tap from 'tap';
import {expectedAnswers, PlannedPlay, workMilliseconds} from './planned-play.js';
import {eventually} from './testbed.js';

const before = ['orders-0', 'orders-1', 'models-0', 'models-1', 'scarce-0'];

/** Adds an endpoint of each service, to which requests go that are not yet sent. */
async function addReplacements({testbed}: PlannedPlay): Promise<void> {
	for (const service of ['orders', 'models', 'scarce']) {
		const worker = await testbed.addWorker(`${service}-new`, service);
		worker.answer = testbed.workers[0]!.answer;
	}

	await eventually(() => ['orders-new', 'models-new', 'scarce-new'].every(id => testbed.gateways[0]!.routingState.directory.entries.has(id)));
}

/** Waits until the gateway knows that all endpoints of the beginning are in use, or that none is. */
async function whenAll({testbed}: PlannedPlay, areIn: boolean): Promise<void> {
	const {routingState} = testbed.gateways[0]!;
	await eventually(() => before.every(id => (routingState.directory.entries.get(id)?.endedAt === undefined) === areIn));
}

function registerAll({testbed}: PlannedPlay, more: Readonly<Record<string, unknown>>): void {
	for (const worker of testbed.workers.filter(({id}) => before.includes(id))) {
		testbed.store.put('keyed.servers', worker.id, worker.beat({...(worker.service === 'scarce' && {slots: 1}), seq: 9, ...more}));
	}
}

function removeAll({testbed}: PlannedPlay): void {
	for (const id of before) {
		testbed.store.put('keyed.servers', id);
	}
}

type EndpointChange = {readonly name: string; readonly apply: (play: PlannedPlay) => Promise<void>};

const changes: readonly EndpointChange[] = [
	{
		name: 'endpoints that turn draining', async apply(play) {
			await addReplacements(play);
			registerAll(play, {state: 'draining'});
			await whenAll(play, false);
		},
	},
	{
		name: 'endpoints that leave the list without draining', async apply(play) {
			await addReplacements(play);
			removeAll(play);
			await whenAll(play, false);
		},
	},
	{
		name: 'endpoints whose registration expires and comes back', async apply(play) {
			await addReplacements(play);
			removeAll(play);
			await whenAll(play, false);
			registerAll(play, {});
			await whenAll(play, true);
		},
	},
	{
		name: 'a store that loses its list and gets it back', async apply(play) {
			const {store, gateways: [gateway]} = play.testbed;
			const copy = store.copy();
			store.comeBackFrom({...copy, topics: new Map([...copy.topics].filter(([topic]) => topic !== 'keyed.servers'))});
			await eventually(() => gateway!.routingState.directory.era === 2);
			registerAll(play, {});
			await whenAll(play, true);
		},
	},
	{
		name: 'endpoints that state their start for the first time', async apply(play) {
			registerAll(play, {born: Date.now() - 60_000});
			await eventually(() => play.testbed.gateways[0]!.routingState.directory.entries.get('scarce-0')?.record.bornAt !== undefined);
		},
	},
	{
		name: 'endpoints that leave and start again under their ids', async apply(play) {
			await addReplacements(play);
			const {routingState} = play.testbed.gateways[0]!;
			const bornAt = Date.now() - 60_000;
			registerAll(play, {born: bornAt, state: 'draining'});
			await whenAll(play, false);
			registerAll(play, {born: bornAt + 50_000, seq: 1});
			await eventually(() => before.every(id => routingState.directory.entries.get(id)?.record.bornAt === bornAt + 50_000));
		},
	},
	{
		name: 'an address that another service uses next', async apply(play) {
			await addReplacements(play);
			removeAll(play);
			await whenAll(play, false);
			const [orders] = play.testbed.ofService('orders');
			play.testbed.store.put('keyed.servers', 'other-new', orders!.beat({service: 'other'}));
			await eventually(() => play.testbed.gateways[0]!.routingState.directory.entries.has('other-new'));
		},
	},
];

/** Long enough that a connection counts as older than an endpoint's restart. */
const ageMilliseconds = 2100;

async function sleep(milliseconds: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}

// Requests in progress at endpoints that leave, or whose records change, were cut off although the endpoints go on with them.
for (const {name, apply} of changes) {
	tap.test(`${name} leave the requests in progress their answers`, async t => {
		await using play = await PlannedPlay.create();
		const requests = await play.begin();
		await apply(play);
		t.same(await play.finish(requests), expectedAnswers(requests));
		t.same(play.abandoned, [], 'no endpoint is cut off');
		await t.resolves(play.released(), 'nothing is held');
	});
}

// Connections that were older than two seconds were closed under their requests, as if the endpoint had restarted, when its record stated for the first time when it had started.
for (const {name, apply} of changes) {
	tap.test(`${name} leave requests on old connections their answers`, async t => {
		await using play = await PlannedPlay.create({workMilliseconds: workMilliseconds + ageMilliseconds});
		const requests = await play.begin();
		await sleep(ageMilliseconds);
		await apply(play);
		t.same(await play.finish(requests), expectedAnswers(requests));
		t.same(play.abandoned, [], 'no endpoint is cut off');
		await t.resolves(play.released(), 'nothing is held');
	});
}
