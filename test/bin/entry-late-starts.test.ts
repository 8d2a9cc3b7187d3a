import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import tap from 'tap';
import {until} from '../../bench/harness/local-fleet.js';
import {RoleFleet} from './entry-child.js';

const stopMilliseconds = 3000;
const noticeMilliseconds = 2000;
/** Late in the notice: what takes longer than half of the stop cannot end any more. */
const lateMilliseconds = 1500;
const longMilliseconds = 1800;
const shortMilliseconds = 50;
const stepMilliseconds = 10;
const earlier = 8;
const parameters = ['--stop-milliseconds', String(stopMilliseconds), '--notice-milliseconds', String(noticeMilliseconds)];

// A call that could not end in the stop was begun late in the notice, and the end of the stop cut it off: nobody knew whether it had run.
tap.test('a call that cannot end in the stop of an entry is refused and has not run', async t => {
	await using fleet = await RoleFleet.create(parameters);
	fleet.service.faults.workMilliseconds = longMilliseconds;
	await Promise.all(Array.from({length: earlier}, async (_, number) => fleet.sendOrder(`earlier-${number}`)));
	fleet.entry.child.kill('SIGTERM');
	await delay(lateMilliseconds);
	t.equal(await fleet.sendOrder('late'), 503);
	t.equal(fleet.service.runsByBody.get('late') ?? 0, 0);
	await until(() => fleet.entry.endedBy !== undefined);
	t.equal(fleet.entry.endedBy, 'code 0');
});

// The same for a stream.
tap.test('a stream that cannot end in the stop of an entry is refused and has not begun', async t => {
	await using fleet = await RoleFleet.create(parameters);
	const tokens = longMilliseconds / stepMilliseconds;
	await Promise.all(Array.from({length: earlier}, async () => fleet.sendStream(tokens)));
	const runsBefore = fleet.engine.runsByRequest.size;
	fleet.entry.child.kill('SIGTERM');
	await delay(lateMilliseconds);
	t.equal(await fleet.sendStream(tokens), 'failed');
	t.equal(fleet.engine.runsByRequest.size, runsBefore);
	await until(() => fleet.entry.endedBy !== undefined);
	t.equal(fleet.entry.endedBy, 'code 0');
});

// Short calls do end in the stop: refusing them would cost their callers a way to another instance.
tap.test('a short call late in the notice of an entry is served', async t => {
	await using fleet = await RoleFleet.create(parameters);
	fleet.service.faults.workMilliseconds = shortMilliseconds;
	for (let number = 0; number < 2 * earlier; number++) {
		await fleet.sendOrder(`earlier-${number}`);
	}

	fleet.entry.child.kill('SIGTERM');
	await delay(lateMilliseconds);
	t.equal(await fleet.sendOrder('late'), 200);
	await until(() => fleet.entry.endedBy !== undefined);
	t.equal(fleet.entry.endedBy, 'code 0');
});

// Node spins for ever in its clean-up of handles at the end of this file, as in entry-signals; an exit by hand goes past that.
tap.teardown(() => {
	process.once('exit', code => {
		process.exit(code);
	});
});
