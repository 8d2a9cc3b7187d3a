import {setTimeout as sleep} from 'node:timers/promises';
import tap from 'tap';
import {callModel} from '../../bench/harness/caller.js';
import {keyOf, planCatalogue} from '../../bench/harness/catalogue.js';
import {LocalFleet} from '../../bench/harness/local-fleet.js';

const model = 'model';
const workspace = 'stickwerk';
/** A share that nobody uses goes back with its lease, and the next report of demand brings it here. */
const leasesToWait = 3;

// Callers of one class send ten calls at once, though the catalogue lets it run two. Two entries
// share the limit by leases. Those beyond it hear at once that they were not run and when to come
// back; the engines have run just those that were answered.
tap.test('a class is held to its fleet-wide limit, and refusals are certain', async t => {
	await using fleet = await LocalFleet.create({
		entries: 2, endpoints: 2, zones: ['zone-a'], models: [model], random: () => 0.5, logLevel: 'fatal',
	});
	const entries = planCatalogue([model], [workspace]).map(entry => (entry.kind === 'class' ? {...entry, limits: {concurrency: 2}} : entry));
	await fleet.publish(entries);
	await fleet.connected();
	const results = await Promise.all(Array.from({length: 10}, async (_, index) => callModel({
		address: fleet.entries[index % 2]!.entry.address, key: keyOf(workspace), model, prompt: `Chart ${index} [[tokens=60]]`,
	})));
	const whole = results.filter(({outcome}) => outcome === 'whole');
	const refused = results.filter(({outcome}) => outcome !== 'whole');
	t.ok(whole.length > 0, 'some run');
	t.ok(refused.length >= 5, 'most are over the limit');
	t.ok(refused.every(({status, code, verdict, retryAfterSeconds}) => status === 429 && code === 'limit_exceeded' && verdict === 'not-run' && (retryAfterSeconds ?? 0) > 0));
	t.equal(fleet.endpoints.reduce((sum, {engine}) => sum + engine.runsByRequest.size, 0), whole.length);
	// The other entry's lease may still hold the whole limit; who comes back when told gets the place that has come free.
	const ask = async () => callModel({address: fleet.entries[0]!.entry.address, key: keyOf(workspace), model, prompt: 'Later [[tokens=5]]'});
	let later = await ask();
	for (let told = 1; later.outcome !== 'whole' && told <= leasesToWait; told++) {
		t.match(later, {status: 429, code: 'limit_exceeded', verdict: 'not-run'});
		await sleep((later.retryAfterSeconds ?? 0) * 1000);
		later = await ask();
	}

	t.equal(later.outcome, 'whole', 'an ended request gives its place back');
});
