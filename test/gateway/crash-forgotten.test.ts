import tap from 'tap';
import {allowedRuns, CrashingWorkers, crashingBody, freeCrashes, sendAgainAndAgain} from './crashing-workers.js';
import {eventually, Testbed} from './testbed.js';

// Instances have no disk: after a loss of power of all of them the request crashed as many endpoints again.
tap.test('a request that crashed endpoints is still refused after all instances have been lost at once', async t => {
	await using testbed = await Testbed.create({services: []});
	await using workers = await CrashingWorkers.create(testbed, {service: 'orders', count: 8, answer: () => ({type: 'crash'})});
	for (let life = 0; life < 3; life++) {
		const names = ['first', 'second', 'third'].map(name => ({instance: name}));
		for (const name of names) {
			await testbed.startGateway(name);
		}

		const statuses = await sendAgainAndAgain(testbed, {milliseconds: 4500, pauseMilliseconds: 250});
		t.equal(statuses.at(-1), 503);
		for (const gateway of testbed.gateways.splice(0)) {
			await gateway[Symbol.asyncDispose]();
		}
	}

	t.ok(workers.runs.length >= freeCrashes, 'the request did crash endpoints');
	t.ok(workers.lateRuns.length <= allowedRuns, `${workers.lateRuns.length} runs of ${allowedRuns} allowed, of ${workers.runs.length} in all`);
	await testbed.startGateway({instance: 'fourth'});
	await eventually(() => testbed.logLines.some(({msg}) => String(msg).includes('Crashes read from the store.')));
	const before = workers.runs.length;
	t.equal(await testbed.statusOf({method: 'POST', path: '/lookup/artwork', body: crashingBody}), 503, 'an instance of another name knows it too');
	t.equal(workers.runs.length, before);
});
