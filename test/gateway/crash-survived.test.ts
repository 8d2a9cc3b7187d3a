import tap from 'tap';
import {type WorkerAnswer} from '../../fakes/platform-worker.js';
import {allowedRuns, CrashingWorkers, freeCrashes, sendAgainAndAgain} from './crashing-workers.js';
import {Testbed} from './testbed.js';

const whole: WorkerAnswer = {type: 'whole', body: 'ok', afterMilliseconds: 5};

// One endpoint that survives a request cleared it of all its crashes, and the others went on crashing.
tap.test('a request that one of three endpoints survives is refused for the crashes of the others', async t => {
	await using testbed = await Testbed.create({services: []});
	await using workers = await CrashingWorkers.create(testbed, {service: 'orders', count: 3, answer: number => number === 0 ? whole : {type: 'crash'}});
	for (let number = 0; number < 4; number++) {
		await testbed.startGateway();
	}

	const statuses = await sendAgainAndAgain(testbed, {milliseconds: 14_000, pauseMilliseconds: 500});
	t.ok(workers.runs.length >= freeCrashes, 'the request did crash endpoints');
	t.ok(workers.lateRuns.length <= allowedRuns, `${workers.lateRuns.length} runs of ${allowedRuns} allowed, of ${workers.runs.length} in all`);
	t.equal(statuses.at(-1), 503, 'its caller is told at once that it has not run');
});
