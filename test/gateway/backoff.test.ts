import tap from 'tap';
import {type FakePlatformWorker} from '../../fakes/platform-worker.js';
import {eventually, Testbed} from './testbed.js';

const restSeconds = 3;
/** A request may be on its way while the response that asks for rest is received. */
const noticeMilliseconds = 500;
/** The platform's rule for each instance and each request for rest. */
const allowedWhileResting = 2;

/** Sends requests for a time, three at once. */
async function sendFor(testbed: Testbed, milliseconds: number, path: string): Promise<number[]> {
	const until = performance.now() + milliseconds;
	const statuses = await Promise.all([0, 1, 2].map(async () => {
		const received: number[] = [];
		while (performance.now() < until) {
			received.push(await testbed.statusOf({path}));
		}

		return received;
	}));
	return statuses.flat();
}

/** The most requests that arrived in the rest after any refusal that asked for it. */
function mostWhileResting({requests}: FakePlatformWorker, from: number): number {
	const times = requests.map(({at}) => at).filter(at => at >= from);
	const refused = requests.filter(({at, wasRun}) => at >= from && !wasRun);
	return Math.max(0, ...refused.map(({at: asked}) => times.filter(at => at > asked + noticeMilliseconds && at < asked + (restSeconds * 1000)).length));
}

// Requests went on to an endpoint that had refused one and asked for rest, and were refused again or added to its load.
tap.test('an endpoint that asks for rest gets no requests until it is over', async t => {
	await using testbed = await Testbed.create({services: ['orders']});
	await testbed.startGateway();
	testbed.respondWith('orders', () => ({type: 'whole', body: 'ok', afterMilliseconds: 30}));
	await sendFor(testbed, 300, '/lookup/1');
	const resting = testbed.ofService('orders').find(({requests}) => requests.length > 0)!;
	let received = 0;
	resting.answer = () => {
		received += 1;
		return received % 3 === 0 ? {type: 'not-run'} : {type: 'whole', body: 'ok', afterMilliseconds: 30};
	};

	resting.statements = {'Retry-After': String(restSeconds)};
	const from = performance.now();
	const statuses = await sendFor(testbed, 7000, '/lookup/1');
	t.ok(mostWhileResting(resting, from) <= allowedWhileResting, `${mostWhileResting(resting, from)}`);
	t.same(statuses.filter(status => status !== 200), [], 'the other endpoint serves');
	t.ok(resting.requests.some(({at}) => at > from + (restSeconds * 1000)), 'it is used again after the rest');
});

// Guards against requests that wait to their deadline, or that are promised a time that is too early, where every endpoint rests.
tap.test('a request for whose service every endpoint rests is refused at once, with the time of the first that may be used again', async t => {
	await using testbed = await Testbed.create({services: ['orders']});
	await testbed.startGateway();
	testbed.respondWith('orders', () => ({type: 'not-run'}));
	for (const worker of testbed.ofService('orders')) {
		worker.statements = {'Retry-After': String(restSeconds)};
	}

	await sendFor(testbed, 300, '/lookup/1');
	const before = testbed.ofService('orders').flatMap(({requests}) => requests).length;
	const response = await testbed.send({path: '/lookup/1'});
	t.equal(response.status, 503);
	t.ok(response.milliseconds < 300, `${response.milliseconds}`);
	t.ok(Number(response.headers['retry-after']) >= 1.5, String(response.headers['retry-after']));
	t.equal(testbed.ofService('orders').flatMap(({requests}) => requests).length, before, 'nothing is sent');
});

// The same for endpoints that have refused so many requests that they are suspended besides: callers were told 0.7 s.
tap.test('endpoints that rest and are suspended are waited for as long as they rest', async t => {
	await using testbed = await Testbed.create({services: ['orders']});
	const gateway = await testbed.startGateway();
	testbed.respondWith('orders', () => ({type: 'not-run'}));
	await sendFor(testbed, 600, '/lookup/1');
	await eventually(() => testbed.logLines.filter(({msg}) => String(msg).includes('Endpoint suspended.')).length >= 2);
	for (const worker of testbed.ofService('orders')) {
		worker.statements = {'Retry-After': String(restSeconds)};
	}

	await eventually(() => {
		void testbed.statusOf({path: '/lookup/1'});
		return testbed.logLines.filter(({msg}) => String(msg).includes('Endpoint asks for a backoff.')).length >= 2;
	});
	const response = await testbed.send({path: '/lookup/1'}, gateway);
	t.equal(response.status, 503);
	t.ok(Number(response.headers['retry-after']) >= 1.2, String(response.headers['retry-after']));
});

// Guards against a request that leaves a slow endpoint for one that may not be sent to: its answer would be lost, and nothing gained.
tap.test('a slow request stays where it is while the only other endpoint rests', async t => {
	await using testbed = await Testbed.create({services: ['orders']});
	await testbed.startGateway();
	const [resting, slow] = testbed.ofService('orders');
	resting!.answer = () => ({type: 'not-run'});
	resting!.statements = {'Retry-After': String(restSeconds)};
	slow!.answer = () => ({type: 'whole', body: 'ok', afterMilliseconds: 30});
	await eventually(() => {
		void testbed.statusOf({path: '/lookup/1'});
		return testbed.logLines.some(({msg}) => String(msg).includes('Endpoint asks for a backoff.'));
	});
	slow!.answer = () => ({type: 'whole', body: 'ok', afterMilliseconds: 800});
	t.equal(await testbed.statusOf({path: '/lookup/1'}), 200);
});
