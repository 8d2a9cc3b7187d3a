import {Buffer} from 'node:buffer';
import tap from 'tap';
import {requestCodec} from '../../platform/request-codec.js';
import {desiredState} from '../../fakes/platform-state.js';
import {type ZoneName} from '../../src/model/index.js';
import {dial, protocolVersion} from '../../src/wire/index.js';
import {eventually, Testbed} from './testbed.js';

/** Ids that cannot stand in a header: bytes that are no UTF-8 are read as replacement characters. */
const oddIds: ReadonlyArray<{readonly name: string; readonly id: string}> = [
	{name: 'bytes that are no text', id: '\u{FFFD}\u{FFFD}\u{FFFD}'},
	{name: 'a line break', id: 'worker\r\nTenant: other'},
	{name: 'a zero byte', id: 'worker\0'},
	{name: 'an unpaired surrogate', id: 'worker\u{D800}'},
];

// One entry with such an id ended every instance that placed a request there, again after each start.
for (const {name, id} of oddIds) {
	tap.test(`a registration whose id has ${name} ends no instance and gets no request`, async t => {
		await using testbed = await Testbed.create({services: ['orders'], workersEach: 1});
		const gateway = await testbed.startGateway();
		const odd = await testbed.addWorker('beside', 'orders');
		testbed.store.put('keyed.servers', odd.id);
		testbed.store.put('keyed.servers', id, odd.beat());
		const late = await testbed.addWorker('late', 'orders');
		await eventually(() => gateway.routingState.directory.entries.has(late.id));
		const statuses = await Promise.all(Array.from({length: 16}, async () => testbed.statusOf()));
		t.ok(statuses.every(status => status === 200), statuses.join(', '));
		t.equal(odd.requests.length, 0);
	});
}

// An instance of an older version had such an entry in its list and told it on.
tap.test('a registration with an odd id that another instance tells ends no instance', async t => {
	await using testbed = await Testbed.create({services: ['orders'], workersEach: 1});
	const gateway = await testbed.startGateway();
	const connection = await dial(gateway.peers.address, {type: 'plaintext'});
	connection.send({type: 'gateway-hello', protocol: protocolVersion, instance: 'older', incarnation: 'older-first', knowsEndpoints: true});
	await eventually(() => gateway.peers.count === 1);
	const [worker] = testbed.workers;
	const record = {id: 'odd\n', service: 'orders', address: worker!.address, zone: 'zone-a' as ZoneName, isLeaving: false, slots: 1, revision: 1};
	connection.send({type: 'endpoints', changes: [{type: 'registered', era: 0, offset: 1000, record}, {type: 'registered', era: 0, offset: 1001, record: {...record, id: 'sound'}}]});
	await eventually(() => gateway.routingState.directory.entries.has('sound'));
	t.notOk(gateway.routingState.directory.entries.has('odd\n'), 'the others of the message are taken');
	t.equal(await testbed.statusOf(), 200);
	connection.close('the test ends');
});

// A name beyond Latin-1 reached the header unchecked, and the instance ended at the first request of that workspace.
tap.test('a workspace and an endpoint whose names are beyond Latin-1 are served, and named in UTF-8', async t => {
	await using testbed = await Testbed.create({services: []});
	const worker = await testbed.addWorker('pracownik-łódź', 'orders');
	testbed.store.put('keyed.op', 'config', desiredState(2, {tenants: [{name: 'hafciarnia-łódź', apiKeys: ['key-a']}]}));
	await testbed.startGateway();
	t.equal(await testbed.statusOf({id: 'named'}), 200);
	const received = worker.requests.find(({id}) => id === 'named');
	t.equal(Buffer.from(String(received?.headers.tenant), 'latin1').toString('utf8'), 'hafciarnia-łódź');
});

// A state with such a name was in force, and each request of the workspace ended the instance that served it.
tap.test('a workspace whose name has a line break is left out of a desired state, and its requests end no instance', async t => {
	await using testbed = await Testbed.create({services: ['orders'], workersEach: 1});
	const gateway = await testbed.startGateway();
	testbed.store.put('keyed.op', 'config', desiredState(2, {tenants: [{name: 'studio\na', apiKeys: ['key-a']}]}));
	await eventually(() => gateway.routingState.table?.version === 2);
	t.equal(await testbed.statusOf({id: 'left-out'}), 401);
	t.equal(testbed.attemptCount('left-out'), 0);
	t.equal(gateway.routingState.table?.workspaceCount, 0);
	testbed.store.put('keyed.op', 'config', desiredState(3));
	await eventually(() => gateway.routingState.table?.version === 3);
	t.equal(await testbed.statusOf(), 200);
	t.ok(testbed.logLines.some(({msg}) => String(msg).includes('Workspaces are left out')));
});

// Where Node's parser lets such an id pass, the answer that names it ended the instance.
tap.test('a request whose id cannot stand in a header is wrong', async t => {
	for (const id of ['a\u{1}b', 'a\u{7F}', 'a\r\nb', 'ł', '', 'x'.repeat(129)]) {
		t.equal(requestCodec.readRequest({'request-id': id}).type, 'wrong');
	}
});
