/** The era is the generation number of the store's log. It rises when the store is restored from a backup. */
import tap from 'tap';
import {FakePath} from '../../fakes/network-path.js';
import {desiredState} from '../../fakes/platform-state.js';
import {FakePlatformWorker} from '../../fakes/platform-worker.js';
import {endpointStatusOf, EndpointStatus} from '../../src/routing/index.js';
import {eventually, Testbed} from './testbed.js';

const tenants = (withB: boolean) => [{name: 'studio-a', apiKeys: ['key-a']}, {name: 'studio-b', apiKeys: withB ? ['key-b'] : []}];

// A restored store assigns offsets again. A follower that continued from its old offset would never read the records before it.
tap.test('records at reassigned offsets are read, though the log has grown past the old offset', async t => {
	await using testbed = await Testbed.create();
	testbed.store.put('keyed.op', 'config', desiredState(2, {tenants: tenants(true)}));
	const gateway = await testbed.startGateway();
	t.equal(await testbed.statusOf({key: 'key-b'}), 200);
	const backup = testbed.store.copy();
	testbed.store.put('keyed.op', 'config', desiredState(3, {tenants: tenants(true)}));
	await eventually(() => gateway.routingState.table?.version === 3);
	testbed.store.comeBackFrom(backup);
	testbed.store.put('keyed.op', 'config', desiredState(3, {tenants: tenants(true)}));
	testbed.store.put('keyed.op', 'config', desiredState(4, {tenants: tenants(false)}));
	testbed.store.put('keyed.op', 'other', {});
	await eventually(() => gateway.routingState.table?.version === 4);
	t.equal(await testbed.statusOf({key: 'key-b'}), 401, 'the key was removed meanwhile');
	await eventually(() => testbed.logLines.some(({msg}) => msg === 'Store: The store was restored from a backup.'));
	const line = testbed.logLines.find(({msg, feed}) => msg === 'Store: The store was restored from a backup.' && feed === 'keyed.op');
	t.match(line, {eraBefore: 1, era: 2, onTrust: 0}, 'with the era before and after');
});

// Without this, a service would be missing for two minutes if all its endpoints registered in the seconds that the restore lost.
tap.test('endpoints that registered since the backup stay in use, and register again at lower offsets', async t => {
	await using testbed = await Testbed.create();
	const backup = testbed.store.copy();
	for (let number = 0; number < 3; number++) {
		testbed.store.put('keyed.servers', `gone-${number}`, undefined);
	}

	const late = await FakePlatformWorker.create('late', 'orders');
	testbed.workers.push(late);
	testbed.store.put('keyed.servers', 'late', late.beat());
	for (const worker of testbed.ofService('orders').filter(({id}) => id !== 'late')) {
		testbed.store.put('keyed.servers', worker.id, undefined);
	}

	const gateway = await testbed.startGateway();
	t.equal(await testbed.statusOf(), 200);
	const currentStatus = (): EndpointStatus => endpointStatusOf(gateway.routingState.directory.entries.get('late')!, performance.now());
	const empty = {...backup, topics: new Map([...backup.topics].map(([name, {first}]) => [name, name === 'keyed.servers' ? {records: [], first} : backup.topics.get(name)!]))};
	testbed.store.comeBackFrom(empty);
	await eventually(() => testbed.logLines.some(({msg}) => msg === 'Beliefs: Endpoints belong to a newer era of the store.' || msg === 'Store: The store was restored from a backup.'));
	await eventually(() => gateway.routingState.directory.era === 2);
	t.equal(currentStatus(), EndpointStatus.ready);
	t.equal(await testbed.statusOf(), 200, 'the only endpoint of the service is not in the backup');
	testbed.store.put('keyed.servers', 'late', late.beat());
	await eventually(() => gateway.routingState.directory.unconfirmed(performance.now()).every(({record}) => record.id !== 'late'));
	t.equal(currentStatus(), EndpointStatus.ready);
	t.equal(await testbed.statusOf(), 200);
});

// An instance whose own record was lost could not be found by others.
tap.test('an instance writes its own record again', async t => {
	await using testbed = await Testbed.create();
	const backup = testbed.store.copy();
	await testbed.startGateway();
	await eventually(() => testbed.store.keys('keyed.cassiaflow-instances').includes('gateway-0'));
	testbed.store.comeBackFrom(backup);
	await eventually(() => testbed.store.keys('keyed.cassiaflow-instances').includes('gateway-0'));
	t.pass();
});

// An instance that cannot reach the store must still learn of the restore.
tap.test('an instance that the store refuses receives the era from a peer', async t => {
	await using testbed = await Testbed.create();
	await using path = await FakePath.create(testbed.store.address);
	const first = await testbed.startGateway();
	const second = await testbed.startGateway({storeAddress: path.address});
	await eventually(() => first.peers.count === 1 && second.peers.count === 1);
	const backup = testbed.store.copy();
	path.faults.refusing = true;
	path.cut();
	testbed.store.comeBackFrom(backup);
	await eventually(() => first.routingState.directory.era === 2 && second.routingState.directory.era === 2);
	t.equal(second.routingState.directory.unconfirmed(performance.now()).length, 0, 'the peer has confirmed all of them');
	t.equal(await testbed.statusOf(undefined, second), 200);
});

// An era that is unreadable, missing or lower than before must not be taken for a restore.
tap.test('an unreadable, missing or lower era changes nothing and is logged', async t => {
	await using testbed = await Testbed.create();
	const gateway = await testbed.startGateway();
	for (const reportedEra of ['x', undefined, '0']) {
		testbed.store.saysEra = () => reportedEra;
		testbed.store.put('keyed.servers', `w-${reportedEra}`, undefined);
		await new Promise(resolve => {
			setTimeout(resolve, 1200);
		});
		t.equal(await testbed.statusOf(), 200);
		t.equal(gateway.routingState.directory.era, 1);
	}

	t.ok(testbed.logLines.some(({msg}) => msg === 'Store: Store answered without a readable era.'));
	t.ok(testbed.logLines.some(({msg}) => msg === 'Store: Store answered from an earlier era.'));
	t.notOk(testbed.logLines.some(({msg}) => msg === 'Store: The store was restored from a backup.'));
	testbed.store.saysEra = String;
	testbed.store.put('keyed.op', 'config', desiredState(9));
	await eventually(() => gateway.routingState.table?.version === 9);
	t.pass('the store is followed again');
});
