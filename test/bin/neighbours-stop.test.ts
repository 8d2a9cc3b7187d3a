import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import tap from 'tap';
import {until} from '../../bench/harness/local-fleet.js';
import {RoleFleet, type RoleRun} from './entry-child.js';

const tokens = 150;
const callsEach = 2;
const workMilliseconds = 1500;
/** Between the signals to neighbours, shorter than what runs. */
const pauseMilliseconds = 150;

type Neighbours = {readonly fleet: RoleFleet; readonly other: RoleRun};

/** Starts streams and orders by both entries; resolves to their outcomes once all of them run. */
async function startCalls({fleet, other}: Neighbours): Promise<Array<{readonly streams: Promise<readonly string[]>; readonly orders: Promise<readonly number[]>}>> {
	fleet.service.faults.workMilliseconds = workMilliseconds;
	const {address} = await other.listening();
	const earlier = fleet.service.runsByBody.size;
	const calls = [undefined, address].map(at => ({
		streams: Promise.all(Array.from({length: callsEach}, async () => fleet.sendStream(tokens, at))),
		orders: Promise.all(Array.from({length: callsEach}, async (_, number) => fleet.sendOrder(`order-${number}-${at ?? 'first'}`, at))),
	}));
	await until(() => fleet.engine.running === 2 * callsEach && fleet.service.runsByBody.size === earlier + (2 * callsEach));
	return calls;
}

async function stopAll(runs: readonly RoleRun[]): Promise<void> {
	for (const {child} of runs) {
		child.kill('SIGTERM');
		await delay(pauseMilliseconds);
	}
}

/** What stops, in this order, and again by a second signal. */
const stopped = {
	'a side': ({fleet}: Neighbours) => [fleet.engineSide, fleet.serviceSide],
	'an entry': ({other}: Neighbours) => [other],
	'both entries': ({fleet, other}: Neighbours) => [fleet.entry, other],
	'a side and an entry': ({fleet, other}: Neighbours) => [fleet.engineSide, fleet.serviceSide, other],
	'an entry and then a side': ({fleet, other}: Neighbours) => [other, fleet.engineSide, fleet.serviceSide],
} as const;

// Streams of several entries run on a side: the stop of the side or of one entry, with a second signal, must end none of them.
for (const [name, runsOf] of Object.entries(stopped)) {
	tap.test(`the stop of ${name} cuts off no call of any entry`, async t => {
		await using fleet = await RoleFleet.create();
		await using other = await fleet.startServing();
		const calls = await startCalls({fleet, other});
		const runs = runsOf({fleet, other});
		await stopAll(runs);
		await stopAll(runs);
		for (const {streams, orders} of calls) {
			t.same(await streams, Array.from({length: callsEach}, () => 'whole'));
			t.same(await orders, Array.from({length: callsEach}, () => 200));
		}

		await until(() => runs.every(({endedBy}) => endedBy !== undefined));
		t.same(runs.map(({endedBy}) => endedBy), runs.map(() => 'code 0'));
	});
}

// Node spins for ever in its clean-up of handles at the end of this file, as in entry-signals; an exit by hand goes past that.
tap.teardown(() => {
	process.once('exit', code => {
		process.exit(code);
	});
});
