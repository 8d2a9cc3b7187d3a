import tap from 'tap';
import {allowedRuns, CrashingWorkers, crashingBody, freeCrashes, sendAgainAndAgain} from './crashing-workers.js';
import {Testbed} from './testbed.js';

const courses = [
	{name: 'a request', path: '/lookup/artwork', answer: {type: 'crash', isSilent: true}},
	{name: 'a request that may run once', path: '/release/artwork', answer: {type: 'crash', isSilent: true, afterMilliseconds: 200}},
	{name: 'a stream', path: '/question/artwork', answer: {type: 'crash', isSilent: true, afterEvents: 2}},
] as const;

// An endpoint that loses power closes no connection: nothing was remembered of the request, and it crashed one endpoint after the other.
for (const {name, path, answer} of courses) {
	tap.test(`${name} under which endpoints fall silent is not sent to further ones`, async t => {
		await using testbed = await Testbed.create({services: []});
		const service = path.startsWith('/question') ? 'models' : 'orders';
		await using workers = await CrashingWorkers.create(testbed, {service, count: 8, answer: () => answer});
		for (let number = 0; number < 3; number++) {
			await testbed.startGateway();
		}

		const statuses = await sendAgainAndAgain(testbed, {milliseconds: 11_000, pauseMilliseconds: 250, path});
		t.ok(workers.runs.length >= freeCrashes, 'the request did crash endpoints');
		t.ok(workers.lateRuns.length <= allowedRuns, `${workers.lateRuns.length} runs of ${allowedRuns} allowed, of ${workers.runs.length} in all`);
		t.equal(statuses.at(-1), 503, 'its caller is told at once that it has not run');
		t.equal(await testbed.statusOf({method: 'POST', path: '/release/artwork', body: `not ${crashingBody}`}), service === 'orders' ? 200 : 503, 'other requests of the caller are served');
	});
}
