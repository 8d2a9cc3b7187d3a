import tap from 'tap';
import {FakePlatformWorker, type WorkerAnswer, type WorkerRequest} from '../../fakes/platform-worker.js';
import {events, NewsPlay, sleep, summaryOf} from './news-play.js';
import {eventually} from './testbed.js';

/** A new registration reaches all instances within this time. */
const registrationMilliseconds = 500;
const cutAfter = 20;
const gapMilliseconds = 50;

function breaksOff({headers}: WorkerRequest): WorkerAnswer {
	return {type: 'events', count: events, gapMilliseconds, ...(headers['last-event-id'] === undefined && {cutAfter})};
}

// An endpoint ended just before its replacement was known: its streams were cut, although the replacement was there half a second later.
tap.test('a stream whose endpoint breaks off just before its replacement is known goes on there', async t => {
	await using play = await NewsPlay.create();
	const worker = play.workers.find(({service}) => service === 'models')!;
	worker.answer = breaksOff;
	const answer = play.testbed.send({path: '/chart/1', method: 'POST', id: 'begun', body: 'draw', headers: {'deadline-ms': '8000'}});
	await sleep(cutAfter * gapMilliseconds / 2);
	play.tell('store', 'removed');
	await using replacement = await FakePlatformWorker.create('models-new', 'models');
	replacement.answer = breaksOff;
	await eventually(() => worker.abandoned.includes('begun'));
	await sleep(registrationMilliseconds);
	const record = {...play.records.find(({service}) => service === 'models')!, id: replacement.id, address: replacement.address, revision: 1};
	play.gateway.routingState.applyEndpointChanges([{type: 'registered', era: play.era, offset: 2_000_000, record}], 'store', performance.now());
	t.equal(summaryOf(await answer), `200 whole, ${events} events`);
});

// Without an end of the wait its caller would be held until the time of its request is over.
tap.test('a stream whose endpoint breaks off, and for which no other one comes, ends soon', async t => {
	await using play = await NewsPlay.create();
	play.workers.find(({service}) => service === 'models')!.answer = breaksOff;
	const answer = play.testbed.send({path: '/chart/1', method: 'POST', id: 'begun', body: 'draw', headers: {'deadline-ms': '8000'}});
	await sleep(cutAfter * gapMilliseconds / 2);
	play.tell('store', 'removed');
	const {milliseconds} = await answer;
	t.equal(summaryOf(await answer), `200 cut, ${cutAfter} events`);
	t.ok(milliseconds < 5000, `${Math.round(milliseconds)} ms`);
});

// One that has got nothing yet is refused at once, so that its caller comes back elsewhere.
tap.test('a request without a response is refused at once where there is no endpoint', async t => {
	await using play = await NewsPlay.create();
	play.gateway.routingState.applyEndpointSnapshot([], play.era, performance.now());
	await sleep(1500);
	const {status, milliseconds} = await play.testbed.send({path: '/chart/1', method: 'POST', id: 'new', body: 'draw'});
	t.equal(status, 503);
	t.ok(milliseconds < 500, `${Math.round(milliseconds)} ms`);
});
