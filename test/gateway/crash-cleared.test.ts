import tap from 'tap';
import {type WorkerAnswer} from '../../fakes/platform-worker.js';
import {allowedRuns, CrashingWorkers, sendAgainAndAgain} from './crashing-workers.js';
import {Testbed} from './testbed.js';

const failure: WorkerAnswer = {type: 'whole', status: 500, body: 'failed'};
const badRequest: WorkerAnswer = {type: 'whole', status: 400, body: 'bad'};

// Endpoints that fail part of what they get before they run it cleared the request each time, and the others went on crashing.
for (const [name, answer] of [['fails', failure], ['turns away', badRequest]] as const) {
	tap.test(`an endpoint that ${name} a request does not clear it of its crashes`, async t => {
		await using testbed = await Testbed.create({services: []});
		await using workers = await CrashingWorkers.create(testbed, {service: 'orders', count: 6, answer: number => number < 2 ? answer : {type: 'crash'}});
		for (let number = 0; number < 3; number++) {
			await testbed.startGateway();
		}

		const statuses = await sendAgainAndAgain(testbed, {milliseconds: 9000, pauseMilliseconds: 150});
		t.ok(workers.lateRuns.length <= allowedRuns, `${workers.lateRuns.length} runs of ${allowedRuns} allowed, of ${workers.runs.length} in all`);
		t.equal(statuses.at(-1), 503);
	});
}
