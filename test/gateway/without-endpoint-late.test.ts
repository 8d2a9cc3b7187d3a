import tap from 'tap';
import {FakePlatformWorker, type WorkerAnswer, type WorkerRequest} from '../../fakes/platform-worker.js';
import {events, NewsPlay, sleep, summaryOf} from './news-play.js';
import {eventually} from './testbed.js';

const cutAfter = 20;
const gapMilliseconds = 50;
/** For so long the instance stands still: longer than a registration takes to reach it. */
const standMilliseconds = 1200;
/** Turns of the event loop pass before the news that came meanwhile is read and applied. */
const readMilliseconds = 150;

function breaksOff({headers}: WorkerRequest): WorkerAnswer {
	return {type: 'events', count: events, gapMilliseconds, ...(headers['last-event-id'] === undefined && {cutAfter})};
}

function standStill(milliseconds: number): void {
	const until = performance.now() + milliseconds;
	while (performance.now() < until) {
		// Nothing else runs.
	}
}

// The wait for a replacement was counted through a second in which the instance read nothing: its first look behind that was the last, and the stream was cut.
tap.test('a stream that waits for a replacement goes on there although its instance stood still meanwhile', async t => {
	await using play = await NewsPlay.create();
	const worker = play.workers.find(({service}) => service === 'models')!;
	worker.answer = breaksOff;
	const answer = play.testbed.send({path: '/chart/1', method: 'POST', id: 'begun', body: 'draw', headers: {'deadline-ms': '8000'}});
	await sleep(cutAfter * gapMilliseconds / 2);
	play.tell('store', 'removed');
	await using replacement = await FakePlatformWorker.create('models-new', 'models');
	replacement.answer = breaksOff;
	await eventually(() => worker.abandoned.includes('begun'));
	await sleep(readMilliseconds);
	standStill(standMilliseconds);
	await sleep(readMilliseconds);
	const record = {...play.records.find(({service}) => service === 'models')!, id: replacement.id, address: replacement.address, revision: 1};
	play.gateway.routingState.applyEndpointChanges([{type: 'registered', era: play.era, offset: 2_000_000, record}], 'store', performance.now());
	t.equal(summaryOf(await answer), `200 whole, ${events} events`);
});
