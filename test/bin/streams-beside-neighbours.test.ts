import tap from 'tap';
import {FakeDutyReceiver} from '../../fakes/duty-receiver.js';
import {type WorkerAnswer} from '../../fakes/platform-worker.js';
import {eventually} from '../gateway/testbed.js';
import {type GatewayRun, sleep} from './gateway-child.js';
import {answerOf, isStream, type Neighbour, quietPort, type StreamCall, StreamRun, whenEnded} from './stream-run.js';

const events = 30;
const gapMilliseconds = 100;
const applyMilliseconds = 1000;
const neighbours = ['one', 'two', 'three'] as const;

function answer(id: string): WorkerAnswer {
	if (id.includes('resets')) {
		return {type: 'reset'};
	}

	if (id.includes('silent')) {
		return {type: 'silent'};
	}

	if (id.includes('probe')) {
		return isStream(id) ? {type: 'events', count: 1} : {type: 'whole', body: 'done'};
	}

	return isStream(id) ? {type: 'events', count: events, gapMilliseconds} : {type: 'whole', body: 'done', afterMilliseconds: events * gapMilliseconds};
}

/** What may run again goes on elsewhere when its endpoint is silent for half a second, as on a busy machine. */
function mayRepeat(id: string): boolean {
	return id.startsWith('chart') || id.startsWith('lookup');
}

/** The instances beside the one that is looked at, and what they run. */
type Fleet = {readonly run: StreamRun; readonly neighbours: readonly Neighbour[]; readonly runs: GatewayRun[]};
type Step = {readonly name: string; readonly play: (fleet: Fleet) => Promise<void>};

async function restart({neighbours: all, runs}: Fleet, number: number): Promise<void> {
	await eventually(() => runs[number]!.endedBy !== undefined);
	runs[number] = all[number]!.start();
	await runs[number].isReady();
}

function killAll(runs: readonly GatewayRun[], signal: NodeJS.Signals): void {
	for (const {child} of runs) {
		child.kill(signal);
	}
}

/** Neighbours send requests to which endpoints answer in a way that they tell all others. */
async function provoke({run, neighbours: all}: Fleet, name: string): Promise<void> {
	await Promise.all(all.flatMap(({callerPort}, number) => ['lookup', 'chart', 'question', 'release'].map(async kind => run.call(`${kind}-${name}-${number}`, callerPort))));
	await sleep(600);
}

function register({run: {store, workers}}: Fleet, more: Readonly<Record<string, unknown>>): void {
	for (const worker of workers) {
		store.put('keyed.servers', worker.id, worker.beat(more));
	}
}

/** Waits until the instance serves requests of each service again, once it had the time to read what was registered. */
async function untilServed({run}: Fleet): Promise<void> {
	await sleep(applyMilliseconds);
	for (const kind of ['lookup', 'question']) {
		for (let number = 0, status = 0; status !== 200; number++) {
			const call = await run.call(`${kind}-probe-${number}`);
			await whenEnded([call]);
			({status} = answerOf(call));
		}
	}
}

const steps: readonly Step[] = [
	{
		name: 'a neighbour is killed and starts again', async play(fleet) {
			fleet.runs[0]!.child.kill('SIGKILL');
			await restart(fleet, 0);
		},
	},
	{
		name: 'a neighbour stands still', async play({runs}) {
			runs[1]!.child.kill('SIGSTOP');
			await sleep(1200);
			runs[1]!.child.kill('SIGCONT');
		},
	},
	{
		name: 'all neighbours are killed at once, and start again', async play(fleet) {
			killAll(fleet.runs, 'SIGKILL');
			await Promise.all(neighbours.map(async (_, number) => restart(fleet, number)));
		},
	},
	{
		name: 'endpoints state their starts, are gone from the list, and come back', async play(fleet) {
			const born = Date.now() - 60_000;
			register(fleet, {born, seq: 2});
			await sleep(200);
			for (const {id} of fleet.run.workers) {
				fleet.run.store.put('keyed.servers', id);
			}

			await sleep(200);
			register(fleet, {born, seq: 4});
			await untilServed(fleet);
		},
	},
	{
		name: 'neighbours tell of silent endpoints, of requests that endpoints reset, and all stop', async play(fleet) {
			await provoke(fleet, 'silent');
			await provoke(fleet, 'resets');
			killAll(fleet.runs, 'SIGTERM');
			await sleep(500);
		},
	},
];

// The end of a neighbour, or what it told, cut streams that this instance had begun.
tap.test('nothing that neighbours do or tell cuts a request in progress', async t => {
	await using receiver = await FakeDutyReceiver.create();
	const duties = async (): Promise<unknown> => ({
		receiverAddress: receiver.address, address: `127.0.0.1:${await quietPort()}`, leaseMilliseconds: 600, checksFences: true, usageWindowSeconds: 1, usageLateSeconds: 3,
	});
	const all: Neighbour[] = [];
	const runs: GatewayRun[] = [];
	t.teardown(() => {
		killAll(runs, 'SIGKILL');
	});
	await using run = await StreamRun.start(t.testdir({}), answer, {duties: await duties()}, async before => {
		all.push(...await Promise.all(neighbours.map(async name => before.neighbour(name, {duties: await duties()}))));
		runs.push(...all.map(({start}) => start()));
		await eventually(() => receiver.calls.length > 0);
	});
	const fleet: Fleet = {run, neighbours: all, runs};
	t.same(await Promise.all(fleet.runs.map(async one => one.isReady())), neighbours.map(() => true));
	const sets: Array<{readonly name: string; readonly calls: readonly StreamCall[]}> = [];
	for (const [number, {name, play}] of steps.entries()) {
		sets.push({name, calls: await run.begin(`-${number}`)});
		await play(fleet);
	}

	// The last set ends in a stop of all instances.
	run.gateway.child.kill('SIGTERM');
	for (const {name, calls} of sets) {
		await whenEnded(calls);
		t.same(calls.map(call => answerOf(call, events)), calls.map(({id}) => ({id, status: 200, isWhole: true})), name);
		const once = calls.filter(({id}) => !mayRepeat(id));
		t.same(once.map(({id}) => run.runsOf(id)), once.map(() => 1), `${name}: what may run once has`);
	}

	await eventually(() => [run.gateway, ...fleet.runs].every(({endedBy}) => endedBy !== undefined));
	t.same([run.gateway, ...fleet.runs].map(({endedBy}) => endedBy), ['code 0', 'code 0', 'code 0', 'code 0']);
	t.ok(new Set(receiver.calls.map(({holder}) => holder)).size > 1, 'the duties have changed hands');
});
