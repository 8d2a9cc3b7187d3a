import tap from 'tap';
import {type FakePlatformWorker} from '../../fakes/platform-worker.js';
import {eventually, Testbed} from './testbed.js';

/** Time within which an instance stops sending to an endpoint that has told it that it leaves. */
const noticeMilliseconds = 1000;

/** Sends requests for a time, one after the other at each gateway. */
async function sendFor(testbed: Testbed, milliseconds: number): Promise<number[]> {
	const until = performance.now() + milliseconds;
	const statuses = await Promise.all(testbed.gateways.flatMap(gateway => [0, 1, 2].map(async () => {
		const received: number[] = [];
		while (performance.now() < until) {
			received.push(await testbed.statusOf({}, gateway));
		}

		return received;
	})));
	return statuses.flat();
}

function arrivalsAfter({requests}: FakePlatformWorker, from: number): number {
	return requests.filter(({at}) => at > from).length;
}

// The store is silent, so that the record of a leaving endpoint changes late; its responses said so at once, and requests went on to it.
tap.test('an endpoint that states in its responses that it leaves gets no further requests, though the store is silent', async t => {
	await using testbed = await Testbed.create({services: ['orders']});
	await testbed.startGateway();
	await testbed.startGateway();
	await eventually(() => testbed.gateways.every(({peers}) => peers.count === 1));
	testbed.respondWith('orders', () => ({type: 'whole', body: 'ok', afterMilliseconds: 30}));
	await sendFor(testbed, 300);
	testbed.store.fault = () => 'silent';
	const leaving = testbed.ofService('orders').find(({requests}) => requests.length > 0)!;
	leaving.statements = {'Server-Leaving': '1'};
	const statedAt = performance.now();
	const statuses = await sendFor(testbed, 2500);
	t.equal(arrivalsAfter(leaving, statedAt + noticeMilliseconds), 0);
	t.same(statuses.filter(status => status !== 200), [], 'the other endpoint serves');
});

// An old record of the store, or of a peer that has not heard it, made the endpoint ready again.
tap.test('an endpoint that states that it leaves does not become ready again by a later record', async t => {
	await using testbed = await Testbed.create({services: ['orders']});
	await testbed.startGateway();
	testbed.respondWith('orders', () => ({type: 'whole', body: 'ok', afterMilliseconds: 30}));
	await sendFor(testbed, 300);
	const leaving = testbed.ofService('orders').find(({requests}) => requests.length > 0)!;
	leaving.statements = {'Server-Leaving': '1'};
	await sendFor(testbed, noticeMilliseconds);
	testbed.store.put('keyed.servers', leaving.id, leaving.beat({seq: 7}));
	const from = performance.now();
	await sendFor(testbed, 2500);
	t.equal(arrivalsAfter(leaving, from), 0);
});
