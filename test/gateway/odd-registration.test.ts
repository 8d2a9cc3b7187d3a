import tap from 'tap';
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
