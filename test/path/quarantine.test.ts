import tap from 'tap';
import {callModel, type CallOptions, type CallResult} from '../../bench/harness/caller.js';
import {keyOf, planCatalogue} from '../../bench/harness/catalogue.js';
import {LocalFleet, until} from '../../bench/harness/local-fleet.js';
import {Suspicion, listQuarantined} from '../../src/policy/quarantine/index.js';

const model = 'model';
const workspace = 'cuarto-andino';
const poison = 'POISON';

async function createFleet(endpoints: number, entries = 3): Promise<LocalFleet> {
	const fleet = await LocalFleet.create({
		entries, endpoints, zones: ['zone-a', 'zone-b', 'zone-c'], models: [model], random: () => 0.5, logLevel: 'fatal',
	});
	await fleet.publish(planCatalogue([model], [workspace]));
	await fleet.connected();
	for (const {engine} of fleet.endpoints) {
		engine.faults.poison = poison;
		engine.faults.restartMilliseconds = 300;
	}

	return fleet;
}

async function call(fleet: LocalFleet, entry: number, prompt: string, more: Partial<CallOptions> = {}): Promise<CallResult> {
	return callModel({address: fleet.entries[entry % fleet.entries.length]!.entry.address, key: keyOf(workspace), className: 'order', model, prompt, ...more});
}

function crashes(fleet: LocalFleet): number {
	return fleet.endpoints.reduce((sum, {engine}) => sum + engine.crashes, 0);
}

// A request kills every endpoint that runs it. The entry tries it once more, alone among suspects, and
// then refuses it. Its caller sends it again through other entries, with a changed id each time: it
// takes down two endpoints in all, and each later sending is refused at once as quarantined. Requests
// that ran beside it go on elsewhere, and are answered whole, also when sent again.
tap.test('a poison request sent again through other entries takes down at most two endpoints', async t => {
	await using fleet = await createFleet(4);
	const innocents = Array.from({length: 12}, async (_, index) => call(fleet, index, `Innocent ${index} [[tokens=80]]`));
	const first = await call(fleet, 0, `${poison} order 0191d5a2-7b1c-7aaa-8bbb-000000000000`);
	t.match(first, {outcome: 'failed', code: 'quarantined'});
	t.equal(crashes(fleet), 2);
	for (let again = 1; again < 7; again++) {
		const result = await call(fleet, again, `${poison} order 0191d5a2-7b1c-7aaa-8bbb-00000000000${again}`);
		t.match(result, {outcome: 'failed', status: 422, code: 'quarantined', verdict: 'not-run'});
	}

	t.equal(crashes(fleet), 2);
	const innocentResults = await Promise.all(innocents);
	t.same(innocentResults.map(({outcome}) => outcome), Array.from({length: 12}, () => 'whole'));
	const later = await Promise.all(Array.from({length: 12}, async (_, index) => call(fleet, index, `Innocent ${index} [[tokens=80]]`)));
	t.ok(later.every(({outcome}) => outcome === 'whole'));
	for (const {quarantine} of fleet.entries) {
		t.equal(listQuarantined(quarantine.state, Date.now()).length, 1);
	}
});

// A poison request has killed one endpoint, and the entries know. Its caller sends five copies through
// all entries at the same instant, while the first one's second attempt goes on. All suspects wait at one
// side, one runs, and its crash refuses the others. What had left before the first crash was known could
// not be called back.
tap.test('copies of a poison request that come once its first crash is known are not run side by side', async t => {
	await using fleet = await createFleet(5);
	const first = call(fleet, 0, `${poison} first`);
	await until(() => fleet.entries.every(({quarantine}) => quarantine.state.crashes.size === 1));
	const copies = await Promise.all([1, 2, 3, 4, 5].map(async entry => call(fleet, entry, `${poison} first`)));
	const firstResult = await first;
	t.equal(firstResult.outcome, 'failed');
	t.ok(copies.every(({code}) => code === 'quarantined'));
	t.equal(crashes(fleet), 2);
});

// An endpoint dies by itself, with requests of many kinds running. All of them are suspects, none is at
// fault: each goes on elsewhere to its end, which clears it, and the caller sees nothing but a pause.
tap.test('an endpoint that dies by itself leaves no request refused', async t => {
	await using fleet = await createFleet(3);
	const [crashing] = fleet.endpoints;
	crashing!.engine.faults.crashAfterTokens = 60;
	const results = await Promise.all(Array.from({length: 15}, async (_, index) => call(fleet, index, `Running ${index} [[tokens=30]]`)));
	t.equal(crashes(fleet), 1);
	t.same(results.map(({outcome}) => outcome), Array.from({length: 15}, () => 'whole'));
	const [entry] = fleet.entries;
	const suspects = [...entry!.quarantine.state.crashes.values()].flatMap(({fingerprints}) => fingerprints);
	t.ok(suspects.length > 0);
	await until(() => suspects.every(fingerprint => entry!.quarantine.judge(fingerprint).suspicion === Suspicion.none));
});
