import tap from 'tap';
import {instancesTopic} from '../../platform/feeds.js';
import {allowedRuns, CrashingWorkers, freeCrashes, sendAgainAndAgain} from './crashing-workers.js';
import {Testbed} from './testbed.js';

/** Nothing listens here. */
const unreachableAddress = '127.0.0.1:1';

// Each instance had to see three crashes of its own where they reach the store and the endpoints, but not each other.
for (const instances of [4, 8]) {
	tap.test(`a request that crashes endpoints is known to ${instances} instances that do not reach each other`, async t => {
		await using testbed = await Testbed.create({services: []});
		testbed.store.rewrite = (topic, _key, value) => topic === instancesTopic ? {...value as Readonly<Record<string, unknown>>, address: unreachableAddress} : value;
		await using workers = await CrashingWorkers.create(testbed, {service: 'orders', count: 8, answer: () => ({type: 'crash'})});
		for (let number = 0; number < instances; number++) {
			await testbed.startGateway();
		}

		const statuses = await sendAgainAndAgain(testbed, {milliseconds: 11_000, pauseMilliseconds: 500});
		t.ok(testbed.gateways.every(({peers}) => peers.count === 0), 'no instance reaches another');
		t.ok(workers.runs.length >= freeCrashes, 'the request did crash endpoints');
		t.ok(workers.lateRuns.length <= allowedRuns, `${workers.lateRuns.length} runs of ${allowedRuns} allowed, of ${workers.runs.length} in all`);
		t.equal(statuses.at(-1), 503, 'its caller is told at once that it has not run');
	});
}
