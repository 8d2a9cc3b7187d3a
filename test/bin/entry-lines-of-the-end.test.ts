import process from 'node:process';
import tap from 'tap';
import {until} from '../../bench/harness/local-fleet.js';
import {RoleFleet} from './entry-child.js';

const calls = 3;
/** More than the stop lasts, at 10 ms a token. */
const tokens = 1000;
const workMilliseconds = 10_000;
const parameters = ['--stop-milliseconds', '2000', '--notice-milliseconds', '200'];

// The last lines were lost with the process: of what the end of a stop cut off nothing in the log told.
tap.test('each response that the end of a stop of an entry cuts off has its line in the log', async t => {
	await using fleet = await RoleFleet.create(parameters);
	fleet.service.faults.workMilliseconds = workMilliseconds;
	const earlier = fleet.service.runsByBody.size;
	const streams = Array.from({length: calls}, async () => fleet.sendStream(tokens));
	const orders = Array.from({length: calls}, async (_, number) => fleet.sendOrder(`order-${number}`));
	await until(() => fleet.engine.running === calls && fleet.service.runsByBody.size === earlier + calls);
	fleet.entry.child.kill('SIGTERM');
	await until(() => fleet.entry.endedBy !== undefined);
	t.equal(fleet.entry.endedBy, 'code 0');
	const open = Number(/"open":(?<open>\d+),"msg":"Entry: Stopped/v.exec(fleet.entry.lines)?.groups?.open);
	t.equal(open, 2 * calls);
	const outcomes = await Promise.all(streams);
	const statuses = await Promise.all(orders);
	const cut = outcomes.filter(outcome => outcome !== 'whole').length + statuses.filter(status => status === 0).length;
	t.equal(fleet.entry.lines.split('A response was cut off.').length - 1, cut, 'as many as callers have lost');
	t.ok(cut >= calls, String(cut));
});

// Node spins for ever in its clean-up of handles at the end of this file, as in entry-signals; an exit by hand goes past that.
tap.teardown(() => {
	process.once('exit', code => {
		process.exit(code);
	});
});
