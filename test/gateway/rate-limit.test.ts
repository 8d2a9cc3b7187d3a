import tap from 'tap';
import {type FakePlatformWorker} from '../../fakes/platform-worker.js';
import {Testbed} from './testbed.js';

const limitPerSecond = 2;
const spanMilliseconds = 4000;
/** A request may be on its way while the response that states the limit is received. */
const learningMilliseconds = 1000;
/** The platform's rule: one and a half times the limit, and five requests. */
const allowedInSpan = (limitPerSecond * spanMilliseconds / 1000 * 1.5) + 5;

/** The largest number of requests that arrived at a worker within any span of this length, from a time on. */
function largestArrivals({requests}: FakePlatformWorker, from: number): number {
	const times = requests.map(({at}) => at).filter(at => at >= from);
	return Math.max(0, ...times.map(start => times.filter(at => at >= start && at < start + spanMilliseconds).length));
}

/** Sends requests at a steady pace to the gateways in turn. */
async function sendSteadily(testbed: Testbed, {milliseconds, pauseMilliseconds}: {milliseconds: number; pauseMilliseconds: number}): Promise<number[]> {
	const until = performance.now() + milliseconds;
	const statuses: Array<Promise<number>> = [];
	for (let number = 0; performance.now() < until; number++) {
		statuses.push(testbed.statusOf({}, testbed.gateways[number % testbed.gateways.length]));
		await new Promise(resolve => {
			setTimeout(resolve, pauseMilliseconds);
		});
	}

	return Promise.all(statuses);
}

// An endpoint in need got as many requests from the instances together as before it named its limit.
tap.test('an endpoint that states a rate limit gets no more than that from all instances together', async t => {
	await using testbed = await Testbed.create({services: ['orders']});
	for (let number = 0; number < 3; number++) {
		await testbed.startGateway();
	}

	testbed.respondWith('orders', () => ({type: 'whole', body: 'ok', afterMilliseconds: 60}));
	const [limited] = testbed.ofService('orders');
	limited!.statements = {'Server-Limit': String(limitPerSecond)};
	const statedAt = performance.now();
	const statuses = await sendSteadily(testbed, {milliseconds: 7000, pauseMilliseconds: 15});
	t.ok(largestArrivals(limited!, statedAt + learningMilliseconds) <= allowedInSpan, `${largestArrivals(limited!, statedAt + learningMilliseconds)} of ${allowedInSpan}`);
	t.same(statuses.filter(status => status !== 200), [], 'the other endpoint serves the rest');
});
