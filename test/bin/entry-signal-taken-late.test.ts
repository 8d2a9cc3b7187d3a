import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import tap from 'tap';
import {until} from '../../bench/harness/local-fleet.js';
import {RoleFleet} from './entry-child.js';

const stopMilliseconds = 4000;
/** How long the process does nothing, from its signal on. */
const lateMilliseconds = 3000;
/** What the end of a process may take on a full machine, shorter than the lateness. */
const endMilliseconds = 2000;
const workMilliseconds = 20_000;
const parameters = ['--stop-milliseconds', String(stopMilliseconds)];

// A stop counted from when its signal was read: the platform, which counts from its sending, killed the process before its end.
for (const role of ['entry', 'side'] as const) {
	tap.test(`a stop of the ${role} whose signal is read late ends by the time of the signal`, async t => {
		await using fleet = await RoleFleet.create(parameters, parameters);
		fleet.service.faults.workMilliseconds = workMilliseconds;
		const order = fleet.sendOrder('long');
		await until(() => fleet.service.runsByBody.get('long') === 1);
		const run = role === 'entry' ? fleet.entry : fleet.serviceSide;
		const signalAt = performance.now();
		run.child.kill('SIGSTOP');
		run.child.kill('SIGTERM');
		await delay(lateMilliseconds);
		run.child.kill('SIGCONT');
		const kill = setTimeout(() => {
			run.child.kill('SIGKILL');
		}, signalAt + stopMilliseconds + endMilliseconds - performance.now());
		await until(() => run.endedBy !== undefined);
		clearTimeout(kill);
		t.equal(run.endedBy, 'code 0', 'it ends by itself');
		t.ok(performance.now() - signalAt >= stopMilliseconds - endMilliseconds, 'not at once');
		t.not(await order, 200);
	});
}

// Node spins for ever in its clean-up of handles at the end of this file, as in entry-signals; an exit by hand goes past that.
tap.teardown(() => {
	process.once('exit', code => {
		process.exit(code);
	});
});
