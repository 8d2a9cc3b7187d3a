import tap from 'tap';
import {type WorkerAnswer} from '../../fakes/platform-worker.js';
import {plannedState} from '../gateway/planned-play.js';
import {eventually} from '../gateway/testbed.js';
import {sleep} from './gateway-child.js';
import {again} from './stop-play.js';
import {answerOf, isStream, patientRoutes, type StreamCall, StreamRun, textOf, whenEnded} from './stream-run.js';

const graceMilliseconds = 8000;
const lastSixthMilliseconds = graceMilliseconds * 5 / 6;
/** What was sent later counts, however late it is cut. */
const lastExcusedMilliseconds = 3000;
const gapMilliseconds = 100;
const shortEvents = 5;
const longMilliseconds = 9000;
/** More than the buffers on the way hold, together. */
const paddingBytes = 128 * 1024;
const readsAgainMilliseconds = 6200;
const newsMilliseconds = 300;
const kinds = ['chart', 'question', 'lookup', 'release', 'parts'] as const;
const times = [2600, 2900, 3100, 3300] as const;
/** One that is there before keeps the process, and with it the connections, until its end. */
const before = {id: 'question-long-before', at: -300};
const cases = [before, ...times.flatMap(at => kinds.flatMap(kind => ['short', 'long', 'short-paused'].map(work => ({id: `${kind}-${work}-${at}`, at}))))];
/** Requests that have shown, before the stop, that those of each route are short. */
const earlier = ['chart', 'question', 'lookup', 'release'].flatMap(kind => Array.from({length: 10}, (_, number) => `${kind}-earlier-${number}`));

function answer(id: string): WorkerAnswer {
	const isLong = id.includes('long');
	if (isStream(id)) {
		return {type: 'events', count: isLong ? longMilliseconds / gapMilliseconds : shortEvents, gapMilliseconds, paddingBytes: id.includes('paused') ? paddingBytes : 0};
	}

	if (id.includes('paused')) {
		return {type: 'pieces', count: shortEvents, bytes: paddingBytes, gapMilliseconds, hasLength: id.startsWith('release')};
	}

	return {type: 'whole', body: 'done', afterMilliseconds: isLong ? longMilliseconds : gapMilliseconds};
}

type Sent = {readonly call: StreamCall; sentAt: number; endedAt: number};

/** Sends a request on a connection that was open before the stop; its caller may stop reading at the first bytes. */
async function sendAt(run: StreamRun, {id, at}: {readonly id: string; readonly at: number}, signalAt: number): Promise<Sent> {
	const call = await run.connect(id);
	if (id.includes('paused')) {
		call.socket.once('data', () => {
			call.socket.pause();
			setTimeout(() => {
				call.socket.resume();
			}, signalAt + readsAgainMilliseconds - performance.now());
		});
	}

	await sleep(signalAt + at - performance.now());
	const sent = {call, sentAt: performance.now() - signalAt, endedAt: Infinity};
	call.socket.write(textOf(id));
	await whenEnded([call], 2 * graceMilliseconds);
	sent.endedAt = performance.now() - signalAt;
	return sent;
}

function endOf(run: StreamRun, {call, sentAt, endedAt}: Sent): string {
	const {id, status, isWhole} = answerOf(call);
	if (isWhole && status === 503) {
		return run.runsOf(id) === 0 ? 'not run' : 'refused, though it has run';
	}

	if (isWhole) {
		return status === 200 || !isStream(id) ? 'answered' : `status ${status}`;
	}

	// Not read, and so not passed on: the close crossed the request.
	if (run.runsOf(id) === 0 && call.text === '') {
		return 'crossed';
	}

	return sentAt <= lastExcusedMilliseconds && endedAt >= lastSixthMilliseconds ? 'cut late' : `cut after ${Math.round(endedAt)} ms, sent after ${Math.round(sentAt)} ms`;
}

// What arrives when the rule's three seconds end, while routes and endpoints change, must end whole, be refused as not run, or be cut in the last sixth if it was sent within them.
tap.test('what arrives around three seconds after the signal is cut only where an exception says so', async t => {
	await using run = await StreamRun.start(t.testdir({}), answer, {stopSeconds: graceMilliseconds / 1000}, async ({store}) => {
		store.put('keyed.op', 'config', plannedState(2, {routes: patientRoutes}));
	});
	await whenEnded(await Promise.all(earlier.map(async id => run.call(id))));
	const signalAt = performance.now() + 500;
	const sending = cases.map(async one => sendAt(run, one, signalAt));
	await sleep(signalAt - performance.now());
	run.gateway.child.kill('SIGTERM');
	await again(graceMilliseconds, newsMilliseconds, number => {
		run.store.put('keyed.op', 'config', plannedState(number + 3, number % 2 === 0 ? {routes: patientRoutes.map(route => ({...route, timeoutMs: 15_000}))} : {routes: patientRoutes}));
		for (const worker of run.workers) {
			run.store.put('keyed.servers', worker.id, worker.beat({seq: number + 2, state: worker.id.endsWith('0') && number > 5 ? 'draining' : 'ready'}));
		}
	});
	const sent = await Promise.all(sending);
	const ends = sent.map(one => ({id: one.call.id, end: endOf(run, one)}));
	t.same(ends.filter(({end}) => !['not run', 'answered', 'crossed', 'cut late'].includes(end)), []);
	t.comment(ends.map(({id, end}) => `${id}: ${end}`).join('; '));
	t.ok(ends.some(({id, end}) => id.startsWith('parts') && end === 'answered'), 'orders whose bodies come in chunks are still begun');
	await eventually(() => run.gateway.endedBy !== undefined);
	t.equal(run.gateway.endedBy, 'code 0');
	if (ends.some(({end}) => end.startsWith('cut after'))) {
		t.comment(run.gateway.lines);
	}
});
