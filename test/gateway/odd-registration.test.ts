import tap from 'tap';
import {type ZoneName} from '../../src/model/index.js';
import {dial, protocolVersion} from '../../src/wire/index.js';
import {eventually, Testbed} from './testbed.js';

const depth = 100_000;
const nested = `${'['.repeat(depth)}${']'.repeat(depth)}`;
const sound = {service: 'orders', zone: 'zone-a', version: 'v1', slots: 16, state: 'ready', seq: 1};

/** Entries of another writer among those of the workers; an address with a port beyond 65,535 names no endpoint. */
const entries: ReadonlyArray<{readonly name: string; readonly text: string}> = [
	{name: 'a port out of range', text: JSON.stringify({...sound, address: '127.0.0.1:70000'})},
	{name: 'a port of zero', text: JSON.stringify({...sound, address: '127.0.0.1:0'})},
	{name: 'an address that is none', text: JSON.stringify({...sound, address: '999.0.0.1:80'})},
	{name: 'too many numbers in an address', text: JSON.stringify({...sound, address: '127.0.0.1.1:80'})},
	{name: 'deep nesting in place of an entry', text: nested},
	{name: 'deep nesting in a field', text: `{"service":"orders","address":"127.0.0.1:1","zone":"zone-a","slots":16,"state":"ready","seq":1,"version":${nested}}`},
	{name: 'deep nesting beside the fields', text: `{"service":"orders","address":"127.0.0.1:70000","zone":"zone-a","slots":16,"state":"ready","seq":1,"more":${nested}}`},
	{name: 'numbers that are too large', text: JSON.stringify({...sound, address: '127.0.0.1:70000', slots: 1}).replace('"slots":1', '"slots":1e400').replace('"seq":1', '"seq":1e400')},
	{name: 'a sequence number that is too large', text: JSON.stringify({...sound, address: '127.0.0.1:1'}).replace('"seq":1', '"seq":1e400')},
	{name: 'a birth beyond all times', text: JSON.stringify({...sound, address: '127.0.0.1:65536', born: 1}).replace('"born":1', '"born":1e308')},
];

// Another writer's entry ended the instances that read it, again at each start, or they stopped following the list.
for (const {name, text} of entries) {
	tap.test(`an entry with ${name} among those of the workers ends no instance, and the others are followed`, async t => {
		await using testbed = await Testbed.create({services: ['orders'], workersEach: 1});
		const gateway = await testbed.startGateway();
		testbed.store.putText('keyed.servers', 'odd', text);
		testbed.store.putText('keyed.cassiaflow-instances', 'odd', text);
		const late = await testbed.addWorker('late', 'orders');
		await eventually(() => gateway.routingState.directory.entries.has(late.id));
		t.notOk(gateway.routingState.directory.entries.has('odd'));
		const statuses = await Promise.all(Array.from({length: 8}, async () => testbed.statusOf()));
		t.ok(statuses.every(status => status === 200), statuses.join(', '));
		const second = await testbed.startGateway({instance: 'second'});
		t.equal(await testbed.statusOf({}, second), 200, 'so does one that starts now');
	});
}

const tooLarge = '{"crash":"c","endpoint":"e","fingerprints":["f"],"ageMilliseconds":1e400}';
/** Odd values of what instances and the operator keep in the store, by topic and key. */
const storedEntries: ReadonlyArray<{readonly topic: string; readonly key: string; readonly texts: readonly string[]}> = [
	{
		topic: 'keyed.cassiaflow-crashes', key: 'odd', texts: [
			nested,
			`{"crashes":${nested},"runs":[]}`,
			`{"crashes":[${tooLarge}],"runs":[]}`,
			`{"crashes":[${tooLarge.replace('1e400', '1e308')}],"runs":[{"fingerprint":"f","runs":1e308}]}`,
			`{"crashes":[${tooLarge.replace('1e400', '1e308')}],"runs":[]}`,
			'not JSON',
			'[]',
		],
	},
	{topic: 'keyed.cassiaflow-builds', key: 'models', texts: [nested, '["v1",1e400]', '{"v1":1}', 'not JSON', JSON.stringify(['v'.repeat(100_000)])]},
	{topic: 'keyed.op', key: 'config', texts: [nested, `{"version":${nested}}`, '{"version":1e400}', 'not JSON']},
	{topic: 'keyed.op', key: 'odd', texts: [nested, 'not JSON']},
];

// The same of other entries that all instances read.
for (const {topic, key, texts} of storedEntries) {
	tap.test(`an odd entry ${key} in ${topic} ends no instance, and requests are served`, async t => {
		for (const text of texts) {
			await using testbed = await Testbed.create({services: ['orders'], workersEach: 1});
			const gateway = await testbed.startGateway();
			testbed.store.putText(topic, key, text);
			const late = await testbed.addWorker('late', 'orders');
			await eventually(() => gateway.routingState.directory.entries.has(late.id));
			t.equal(await testbed.statusOf(), 200, text.slice(0, 60));
			if (topic !== 'keyed.op' || key !== 'config') {
				const second = await testbed.startGateway({instance: 'second'});
				t.equal(await testbed.statusOf({}, second), 200, 'so does one that starts now');
			}
		}
	});
}

// An instance of an older build had the entry in its list and told it on.
tap.test('an odd entry that another instance tells ends no instance', async t => {
	await using testbed = await Testbed.create({services: ['orders'], workersEach: 1});
	const gateway = await testbed.startGateway();
	const connection = await dial(gateway.peers.address, {type: 'plaintext'});
	connection.send({type: 'gateway-hello', protocol: protocolVersion, instance: 'older', incarnation: 'older-first', knowsEndpoints: true});
	await eventually(() => gateway.peers.count === 1);
	const record = {id: 'odd', service: 'orders', address: '127.0.0.1:70000', zone: 'zone-a' as ZoneName, isLeaving: false, slots: 1, revision: 1};
	const told = {...record, id: 'sound', address: '127.0.0.1:1'};
	connection.send({type: 'endpoints', changes: [{type: 'registered', era: 0, offset: 1000, record}, {type: 'registered', era: 0, offset: 1001, record: told}]});
	await eventually(() => gateway.routingState.directory.entries.has('sound'));
	t.notOk(gateway.routingState.directory.entries.has('odd'), 'the others of the message are taken');
	const statuses = await Promise.all(Array.from({length: 12}, async () => testbed.statusOf()));
	t.ok(statuses.every(status => status === 200 || status === 502), statuses.join(', '));
	connection.close('the test ends');
});
