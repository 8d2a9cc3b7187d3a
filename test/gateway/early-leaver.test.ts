import tap from 'tap';
import {Testbed} from './testbed.js';

/** Longer than the silence after which an endpoint is suspected. */
const suspectedMilliseconds = 1200;

// An idle endpoint sends nothing that could refute it, and a later request that silences the endpoint would pass for innocent.
tap.test('a caller that leaves early makes no endpoint suspect', async t => {
	await using testbed = await Testbed.create({services: ['models'], workersEach: 1});
	await testbed.startGateway();
	testbed.respondWith('models', () => ({type: 'events', count: 3, firstAfterMilliseconds: 150, gapMilliseconds: 100}));
	for (const disconnectAfterMilliseconds of [50, 300]) {
		await testbed.send({method: 'POST', path: '/question/1', body: 'artwork', disconnectAfterMilliseconds});
	}

	await new Promise(resolve => {
		setTimeout(resolve, suspectedMilliseconds);
	});
	t.notOk(testbed.logLines.some(({msg}) => String(msg).includes('Endpoint may have crashed.')));
});

tap.test('many requests that an endpoint leaves unanswered are one log line', async t => {
	await using testbed = await Testbed.create({services: ['orders'], workersEach: 1});
	await testbed.startGateway();
	testbed.respondWith('orders', () => ({type: 'silent'}));
	await Promise.all(Array.from({length: 40}, async () => testbed.send({headers: {'deadline-ms': '700'}})));
	t.equal(testbed.logLines.filter(({msg}) => String(msg).includes('Endpoint leaves a request unanswered.')).length, 1);
});
