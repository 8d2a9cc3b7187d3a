import {setTimeout as sleep} from 'node:timers/promises';
import tap from 'tap';
import {callModel} from '../../bench/harness/caller.js';
import {keyOf, planCatalogue} from '../../bench/harness/catalogue.js';
import {LocalFleet} from '../../bench/harness/local-fleet.js';

const model = 'model';
const workspace = 'stickwerk';
/** An unused share is returned when its lease expires, and the next demand report assigns it to this entry. */
const leasesToWait = 3;

// Callers of one class send ten calls at once, although the catalogue limits it to two. Two entries
// share the limit by leases. Calls over the limit are refused immediately as not run, with a time to
// retry; the engines have run exactly the calls that got a response.
tap.test('a class is held to its fleet-wide limit, and refused calls have not run', async t => {
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
	// The other entry's lease may still hold the whole limit; a call that is retried after Retry-After gets the freed slot.
	const ask = async () => callModel({address: fleet.entries[0]!.entry.address, key: keyOf(workspace), model, prompt: 'Later [[tokens=5]]'});
	const refusedLater: Array<typeof results[number]> = [];
	let later = await ask();
	for (let retries = 1; later.outcome !== 'whole' && retries <= leasesToWait; retries++) {
		refusedLater.push(later);
		await sleep((later.retryAfterSeconds ?? 0) * 1000);
		later = await ask();
	}

	t.ok(refusedLater.every(({status, code, verdict}) => status === 429 && code === 'limit_exceeded' && verdict === 'not-run'), 'calls until then are refused as not run');
	t.equal(later.outcome, 'whole', 'a finished request releases its slot');
});
