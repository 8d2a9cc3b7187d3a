import tap from 'tap';
import {FakePath} from '../../fakes/network-path.js';
import {desiredState} from '../../fakes/platform-state.js';
import {holdTurns} from './late-turns.js';
import {eventually, Testbed} from './testbed.js';

const instances = 3;
/** The time in which a change has to be in force everywhere. */
const applyMilliseconds = 5000;
const turnMilliseconds = 250;
const changes = 3;

/** Publishes one change after the other, each once the one before is in force at all instances; returns how long each took. */
async function publish(testbed: Testbed): Promise<number[]> {
	const took: number[] = [];
	for (let version = 2; version <= changes + 1; version++) {
		const publishedAt = performance.now();
		testbed.store.put('keyed.op', 'config', desiredState(version));
		await eventually(() => inForceAt(testbed, version) === instances, 3 * applyMilliseconds);
		took.push(performance.now() - publishedAt);
	}

	return took;
}

function inForceAt(testbed: Testbed, version: number): number {
	return testbed.logLines.filter(line => line.msg === 'Beliefs: Routing table in force.' && line.version === version).length;
}

// Between a change and its effect lie several turns of a busy instance's event loop; what waits for each of them must not add up to the time it has.
tap.test('a change is in force in time while each turn of the event loop takes a quarter of a second', async t => {
	await using testbed = await Testbed.create({services: ['orders'], workersEach: 1});
	for (let number = 0; number < instances; number++) {
		await testbed.startGateway();
	}

	using _late = holdTurns(turnMilliseconds);
	for (const milliseconds of await publish(testbed)) {
		t.ok(milliseconds <= applyMilliseconds, `in force after ${Math.round(milliseconds)} ms`);
	}
});

// With the store away, versions and tables take further turns at the instance that lacks them and at the one that sends them.
tap.test('the same for an instance that does not reach the store', async t => {
	await using testbed = await Testbed.create({services: ['orders'], workersEach: 1});
	await using path = await FakePath.create(testbed.store.address);
	for (let number = 1; number < instances; number++) {
		await testbed.startGateway();
	}

	await testbed.startGateway({storeAddress: path.address});
	await eventually(() => testbed.logLines.filter(({msg}) => msg === 'Peers: Peer connected.').length >= instances * (instances - 1));
	path.faults.silent = true;
	using _late = holdTurns(turnMilliseconds);
	for (const milliseconds of await publish(testbed)) {
		t.ok(milliseconds <= applyMilliseconds, `in force after ${Math.round(milliseconds)} ms`);
	}
});
