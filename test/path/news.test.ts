import {randomUUID} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import tap, {type Test} from 'tap';
import {callModel} from '../../bench/harness/caller.js';
import {keyOf, planCatalogue, threeClasses} from '../../bench/harness/catalogue.js';
import {LocalFleet, until} from '../../bench/harness/local-fleet.js';
import {FakePath} from '../../fakes/index.js';
import {catalogueStream, type Change} from '../../src/catalogue/index.js';
import {type CallEnd} from '../../src/entry/index.js';
import {HttpLogClient} from '../../src/platform/index.js';

const model = 'model';
const workspace = 'stickwerk';
/** Longer than two reads of the membership list. */
const listReadsMilliseconds = 2200;

type Play = {readonly fleet: LocalFleet; readonly path: FakePath};

function call({fleet}: Play, prompt: string): ReturnType<typeof callModel> {
	return callModel({address: fleet.entries[0]!.entry.address, key: keyOf(workspace), className: 'chart', model, prompt});
}

/** Runs a stream at the only side, brings the news, and expects the whole stream from one attempt. */
async function assertGoesOn(t: Test, news: (play: Play) => Promise<void>): Promise<void> {
	const ends: CallEnd[] = [];
	let path: FakePath | undefined;
	await using fleet = await LocalFleet.create({
		entries: 1, endpoints: 1, zones: ['zone-a'], models: [model], random: () => 0.5, logLevel: 'fatal', costs: {stepMilliseconds: 8},
		onEnd(_caller, end) {
			ends.push(end);
		},
		async route(_endpoint, address) {
			path = await FakePath.create(address);
			return path.address;
		},
	});
	await fleet.publish(planCatalogue([model], [workspace]));
	await fleet.connected();
	const play = {fleet, path: path!};
	const stream = call(play, 'Runs on [[tokens=400]]');
	await until(() => fleet.endpoints[0]!.engine.tokensProduced > 10);
	await news(play);
	const {outcome} = await stream;
	t.equal(outcome, 'whole');
	t.match(ends[0], {type: 'whole', attempts: 1});
	await path![Symbol.asyncDispose]();
}

// Guards against streams that end because the membership list drops their side, which goes on.
tap.test('a stream goes on when its side is no longer in the membership list', async t => {
	await assertGoesOn(t, async ({fleet}) => {
		fleet.members.remove(fleet.endpoints[0]!.instance);
		await delay(listReadsMilliseconds);
		t.equal(fleet.entries[0]!.entry.fleet.connected.length, 1);
	});
});

// Guards against streams that end because the membership list names their side as leaving.
tap.test('a stream goes on when the membership list says that its side leaves', async t => {
	await assertGoesOn(t, async ({fleet, path}) => {
		const [{instance, name}] = fleet.endpoints as [LocalFleet['endpoints'][number]];
		fleet.members.set({instance, role: 'side', address: path.address, zone: 'zone-a', state: 'leaving', endpoint: name, targets: [model]});
		await delay(listReadsMilliseconds);
	});
});

// Guards against streams that end with the catalogue entries by which they were admitted.
tap.test('a stream goes on when its workspace, its key and its class are removed', async t => {
	await assertGoesOn(t, async play => {
		const {fleet} = play;
		const log = HttpLogClient.create({baseUrl: fleet.log.url, timeoutMilliseconds: 2000});
		const catalogue = fleet.entries[0]!.follower.current();
		const {offset: revision} = catalogue;
		const change: Change = {
			type: 'change', id: randomUUID(), author: 'operator', time: Date.now(), operations: [
				...threeClasses.map(({name}) => ({type: 'remove' as const, revision, kind: 'class' as const, name: `${workspace}/${name}`})),
				{type: 'remove', revision, kind: 'workspace', name: workspace},
				{type: 'remove', revision, kind: 'model', name: model},
			],
		};
		await log.append(catalogueStream, change);
		await until(() => fleet.entries[0]!.follower.current().models().length === 0);
		const {status} = await call(play, 'After the removal');
		t.equal(status, 401);
	});
});
