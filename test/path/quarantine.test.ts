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

/** Resolves in the event-loop turn in which the last entry learns of the first crash; polling could notice it only after the second. */
async function firstCrashKnown(fleet: LocalFleet): Promise<void> {
	await Promise.all(fleet.entries.map(({quarantine}) => new Promise<void>(resolve => {
		quarantine.addListener(() => {
			resolve();
		});
	})));
}

// Without quarantine, a request that is sent again with changed ids crashes one endpoint after the other.
tap.test('a poison request sent again through other entries crashes at most two endpoints', async t => {
	await using fleet = await createFleet(4);
	const harmless = Array.from({length: 12}, async (_, index) => call(fleet, index, `Harmless ${index} [[tokens=80]]`));
	const first = await call(fleet, 0, `${poison} order 0191d5a2-7b1c-7aaa-8bbb-000000000000`);
	t.match(first, {outcome: 'failed', code: 'quarantined'});
	t.equal(crashes(fleet), 2);
	for (let again = 1; again < 7; again++) {
		const result = await call(fleet, again, `${poison} order 0191d5a2-7b1c-7aaa-8bbb-00000000000${again}`);
		t.match(result, {outcome: 'failed', status: 422, code: 'quarantined', verdict: 'not-run'});
	}

	t.equal(crashes(fleet), 2);
	const harmlessResults = await Promise.all(harmless);
	t.same(harmlessResults.map(({outcome}) => outcome), Array.from({length: 12}, () => 'whole'));
	const later = await Promise.all(Array.from({length: 12}, async (_, index) => call(fleet, index, `Harmless ${index} [[tokens=80]]`)));
	t.ok(later.every(({outcome}) => outcome === 'whole'));
	for (const {quarantine} of fleet.entries) {
		t.equal(listQuarantined(quarantine.state, Date.now()).length, 1);
	}
});

// Without the check, copies of a suspect request run at several endpoints at the same instant.
tap.test('copies of a poison request that arrive after its first crash is known are not run concurrently', async t => {
	await using fleet = await createFleet(5);
	const known = firstCrashKnown(fleet);
	const first = call(fleet, 0, `${poison} first`);
	await known;
	const copies = await Promise.all([1, 2, 3, 4, 5].map(async entry => call(fleet, entry, `${poison} first`)));
	const firstResult = await first;
	t.equal(firstResult.outcome, 'failed');
	t.ok(copies.every(({code}) => code === 'quarantined'));
	t.equal(crashes(fleet), 2);
});

// Requests that only happened to run when their endpoint crashed must not be quarantined.
tap.test('an endpoint that crashes by itself causes no request to be refused', async t => {
	await using fleet = await createFleet(3);
	const [crashing] = fleet.endpoints;
	crashing!.engine.faults.crashAfterTokens = 60;
	const results = await Promise.all(Array.from({length: 15}, async (_, index) => call(fleet, index, `Running ${index} [[tokens=30]]`)));
	t.equal(crashes(fleet), 1);
	t.same(results.map(({outcome}) => outcome), Array.from({length: 15}, () => 'whole'));
	const [entry] = fleet.entries;
	const suspects = [...entry!.quarantine.state.crashes.values()].flatMap(({fingerprints}) => fingerprints);
	t.ok(suspects.length > 0);
	await until(() => suspects.every(fingerprint => entry!.quarantine.evaluate(fingerprint).suspicion === Suspicion.none));
});
