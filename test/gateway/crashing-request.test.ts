import tap from 'tap';
import {FakePlatformWorker, type WorkerRequest} from '../../fakes/platform-worker.js';
import {eventually, Testbed} from './testbed.js';

const crashingBody = 'artwork that crashes';
const workersEach = 8;
/** A crashed worker registers again, under a new id, after this time. */
const restartMilliseconds = 800;
/** The platform's rule: how many crashes are free, how many runs are allowed afterwards, and from which time on they count. */
const freeCrashes = 3;
const allowedRuns = 3;
const noticeMilliseconds = 3000;

/** Lets a worker crash on the request; it comes back as a new one while the test sends requests. */
function crashOn(testbed: Testbed, worker: FakePlatformWorker, {body, signal}: {body: string; signal: AbortSignal}): void {
	worker.answer = request => request.body === body ? {type: 'crash'} : {type: 'whole', body: 'ok', afterMilliseconds: 5};
	worker.onCrash = () => {
		testbed.store.put('keyed.servers', worker.id);
		setTimeout(() => {
			if (!signal.aborted) {
				void startNext(testbed, worker, {body, signal});
			}
		}, restartMilliseconds);
	};
}

async function startNext(testbed: Testbed, {id, service}: FakePlatformWorker, crash: {body: string; signal: AbortSignal}): Promise<void> {
	const next = await FakePlatformWorker.create(`${id}'`, service);
	testbed.workers.push(next);
	crashOn(testbed, next, crash);
	testbed.store.put('keyed.servers', next.id, next.beat());
}

function runsOf(testbed: Testbed, body: string): WorkerRequest[] {
	return testbed.workers.flatMap(({requests}) => requests).filter(request => request.body === body).toSorted((left, right) => left.at - right.at);
}

// Its caller sent it again and again, and it crashed one endpoint after the other for as long as it came.
tap.test('a request that crashes each endpoint that runs it is not sent to further ones', async t => {
	await using testbed = await Testbed.create({services: ['orders'], workersEach});
	for (let number = 0; number < 3; number++) {
		await testbed.startGateway();
	}

	const sending = new AbortController();
	for (const worker of testbed.workers) {
		crashOn(testbed, worker, {body: crashingBody, signal: sending.signal});
	}

	const statuses: number[] = [];
	const until = performance.now() + 9000;
	for (let number = 0; performance.now() < until; number++) {
		const gateway = testbed.gateways[number % testbed.gateways.length];
		statuses.push(await testbed.statusOf({method: 'POST', path: '/lookup/artwork', body: crashingBody}, gateway));
		await new Promise(resolve => {
			setTimeout(resolve, 150);
		});
	}

	sending.abort();
	const runs = runsOf(testbed, crashingBody);
	const late = runs.filter(({at}) => at > (runs[freeCrashes - 1]?.at ?? Infinity) + noticeMilliseconds);
	t.ok(runs.length >= freeCrashes, 'the request did crash endpoints');
	t.ok(late.length <= allowedRuns, `${late.length} runs of ${allowedRuns} allowed, of ${runs.length} in all`);
	t.equal(statuses.at(-1), 503, 'its caller is told at once that it has not run');
	t.equal(await testbed.statusOf({method: 'POST', path: '/lookup/artwork', body: 'other artwork'}), 200, 'other requests of the caller are served');
	t.equal(await testbed.statusOf({method: 'POST', path: '/lookup/artwork', body: crashingBody, key: 'key-b'}), 502, 'the same body of another workspace is another request');
	const countTold = (): number => testbed.logLines.filter(({msg}) => String(msg).includes('Request quarantined.')).length;
	const toldBefore = countTold();
	const startedLater = await testbed.startGateway();
	await eventually(() => countTold() > toldBefore);
	const before = runsOf(testbed, crashingBody).length;
	t.equal(await testbed.statusOf({method: 'POST', path: '/lookup/artwork', body: crashingBody}, startedLater), 503, 'an instance that starts learns it from its peers');
	t.equal(runsOf(testbed, crashingBody).length, before);
});
