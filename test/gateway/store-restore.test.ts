import tap from 'tap';
import {FakePath} from '../../fakes/network-path.js';
import {desiredState} from '../../fakes/platform-state.js';
import {FakePlatformWorker} from '../../fakes/platform-worker.js';
import {endpointStatusOf, EndpointStatus} from '../../src/routing/index.js';
import {eventually, World} from './testbed.js';

const tenants = (withB: boolean) => [{name: 'studio-a', apiKeys: ['key-a']}, {name: 'studio-b', apiKeys: withB ? ['key-b'] : []}];

// Guards against a follower that goes on behind offsets which were given out again, and never reads what stands there.
tap.test('what is written at offsets that are given out again is read, though the log has grown past the old ones', async t => {
	await using world = await World.create();
	world.store.put('keyed.op', 'config', desiredState(2, {tenants: tenants(true)}));
	const gateway = await world.startGateway();
	t.equal(await world.statusOf({key: 'key-b'}), 200);
	const copy = world.store.copy();
	world.store.put('keyed.op', 'config', desiredState(3, {tenants: tenants(true)}));
	await eventually(() => gateway.beliefs.table?.version === 3);
	world.store.comeBackFrom(copy);
	world.store.put('keyed.op', 'config', desiredState(3, {tenants: tenants(true)}));
	world.store.put('keyed.op', 'config', desiredState(4, {tenants: tenants(false)}));
	world.store.put('keyed.op', 'other', {});
	await eventually(() => gateway.beliefs.table?.version === 4);
	t.equal(await world.statusOf({key: 'key-b'}), 401, 'a key that was taken away meanwhile');
	await eventually(() => world.lines.some(({msg}) => msg === 'Store: The store came back from a copy.'));
	const line = world.lines.find(({msg, feed}) => msg === 'Store: The store came back from a copy.' && feed === 'keyed.op');
	t.match(line, {eraBefore: 1, era: 2, onTrust: 0}, 'with the era and the place before and after');
});

// Guards against a service that is gone for two minutes because all of it registered in the seconds that were lost.
tap.test('endpoints that registered since the copy serve on, and register again at lower offsets', async t => {
	await using world = await World.create();
	const copy = world.store.copy();
	for (let number = 0; number < 3; number++) {
		world.store.put('keyed.servers', `gone-${number}`, undefined);
	}

	const late = await FakePlatformWorker.create('late', 'orders');
	world.workers.push(late);
	world.store.put('keyed.servers', 'late', late.beat());
	for (const worker of world.ofService('orders').filter(({id}) => id !== 'late')) {
		world.store.put('keyed.servers', worker.id, undefined);
	}

	const gateway = await world.startGateway();
	t.equal(await world.statusOf(), 200);
	const standing = (): EndpointStatus => endpointStatusOf(gateway.beliefs.directory.entries.get('late')!, performance.now());
	const empty = {...copy, topics: new Map([...copy.topics].map(([name, {first}]) => [name, name === 'keyed.servers' ? {records: [], first} : copy.topics.get(name)!]))};
	world.store.comeBackFrom(empty);
	await eventually(() => world.lines.some(({msg}) => msg === 'Beliefs: Endpoints of a newer era.' || msg === 'Store: The store came back from a copy.'));
	await eventually(() => gateway.beliefs.directory.era === 2);
	t.equal(standing(), EndpointStatus.ready);
	t.equal(await world.statusOf(), 200, 'the only endpoint of the service is not in the copy');
	world.store.put('keyed.servers', 'late', late.beat());
	await eventually(() => gateway.beliefs.directory.unconfirmed(performance.now()).every(({record}) => record.id !== 'late'));
	t.equal(standing(), EndpointStatus.ready);
	t.equal(await world.statusOf(), 200);
});

// Guards against instances that nobody can find because their own records were lost.
tap.test('an instance writes its own record again', async t => {
	await using world = await World.create();
	const copy = world.store.copy();
	await world.startGateway();
	await eventually(() => world.store.keys('keyed.cassiaflow-instances').includes('gateway-0'));
	world.store.comeBackFrom(copy);
	await eventually(() => world.store.keys('keyed.cassiaflow-instances').includes('gateway-0'));
	t.pass();
});

// Guards against an instance without a way to the store that never learns of the drill.
tap.test('an instance that the store refuses hears of the era from a peer', async t => {
	await using world = await World.create();
	await using path = await FakePath.create(world.store.address);
	const first = await world.startGateway();
	const second = await world.startGateway({storeAddress: path.address});
	await eventually(() => first.peers.count === 1 && second.peers.count === 1);
	const copy = world.store.copy();
	path.faults.refusing = true;
	path.cut();
	world.store.comeBackFrom(copy);
	await eventually(() => first.beliefs.directory.era === 2 && second.beliefs.directory.era === 2);
	t.equal(second.beliefs.directory.unconfirmed(performance.now()).length, 0, 'the peer named all of them again');
	t.equal(await world.statusOf(undefined, second), 200);
});

// Guards against an era that can't be read, or goes down, taken for a drill.
tap.test('an unreadable, missing or lower era changes nothing and has a line', async t => {
	await using world = await World.create();
	const gateway = await world.startGateway();
	for (const said of ['x', undefined, '0']) {
		world.store.saysEra = () => said;
		world.store.put('keyed.servers', `w-${said}`, undefined);
		await new Promise(resolve => {
			setTimeout(resolve, 1200);
		});
		t.equal(await world.statusOf(), 200);
		t.equal(gateway.beliefs.directory.era, 1);
	}

	t.ok(world.lines.some(({msg}) => msg === 'Store: Store answered without a readable era.'));
	t.ok(world.lines.some(({msg}) => msg === 'Store: Store answered from an earlier era.'));
	t.notOk(world.lines.some(({msg}) => msg === 'Store: The store came back from a copy.'));
	world.store.saysEra = String;
	world.store.put('keyed.op', 'config', desiredState(9));
	await eventually(() => gateway.beliefs.table?.version === 9);
	t.pass('and the store is followed again');
});
