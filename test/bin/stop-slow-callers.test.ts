import tap from 'tap';
import {type WorkerAnswer} from '../../fakes/platform-worker.js';
import {plannedState} from '../gateway/planned-play.js';
import {eventually} from '../gateway/testbed.js';
import {sleep} from './gateway-child.js';
import {answerOf, isStream, patientRoutes, type StreamCall, StreamRun, whenEnded} from './stream-run.js';

const graceMilliseconds = 8000;
const lastSixthMilliseconds = graceMilliseconds * 5 / 6;
const events = 50;
const gapMilliseconds = 100;
/** More than the buffers on the way hold: the endpoint itself has to wait for its caller. */
const paddingBytes = 256 * 1024;
const pieceBytes = 64 * 1024;
/** When a caller reads again, from the signal on; and when it sends its request. */
const cases = [
	{name: 'begun-reads-at-2.9', at: -300, readsAt: 2900},
	{name: 'begun-reads-at-3.1', at: -300, readsAt: 3100},
	{name: 'begun-reads-at-5', at: -300, readsAt: 5000},
	{name: 'sent-at-1-reads-at-3.1', at: 1000, readsAt: 3100},
] as const;
const kinds = ['chart', 'question', 'parts'] as const;

/** Requests that have shown, before the stop, that those of each route are short. */
const earlier = ['chart', 'question', 'release'].flatMap(kind => Array.from({length: 10}, (_, number) => `${kind}-earlier-${number}`));

function answer(id: string): WorkerAnswer {
	if (id.includes('earlier')) {
		return isStream(id) ? {type: 'events', count: 2, gapMilliseconds} : {type: 'whole', body: 'done', afterMilliseconds: gapMilliseconds};
	}

	return isStream(id) ? {type: 'events', count: events, gapMilliseconds, paddingBytes} : {type: 'pieces', count: events, bytes: pieceBytes, gapMilliseconds, hasLength: id.endsWith('counted')};
}

async function sendAt(run: StreamRun, id: string, at: number): Promise<StreamCall> {
	await sleep(at - performance.now());
	const call = await run.call(id);
	call.socket.once('data', () => {
		call.socket.pause();
	});
	return call;
}

// A stop must not end the answers of callers that have paused, whatever frames them, before the endpoint has been read to its end.
tap.test('a stop cuts nothing of callers that read slowly', async t => {
	await using run = await StreamRun.start(t.testdir({}), answer, {stopSeconds: graceMilliseconds / 1000, memoryMegabytes: 400}, async ({store}) => {
		store.put('keyed.op', 'config', plannedState(2, {routes: patientRoutes}));
	});
	await whenEnded(await Promise.all(earlier.map(async id => run.call(id))));
	const signalAt = performance.now() + 800;
	const sent = cases.flatMap(({name, at, readsAt}) => [...kinds.map(kind => `${kind}-${name}`), `release-${name}-counted`].map(async id => {
		const call = await sendAt(run, id, signalAt + at);
		await sleep(signalAt + readsAt - performance.now());
		call.socket.resume();
		return call;
	}));
	await sleep(signalAt - performance.now());
	run.gateway.child.kill('SIGTERM');
	const calls = await Promise.all(sent);
	await whenEnded(calls, 2 * graceMilliseconds);
	const atWorkLate = run.workers.flatMap(({abandonedAt}) => [...abandonedAt]).filter(([, at]) => at >= signalAt + lastSixthMilliseconds).map(([id]) => id);
	const notRun = calls.map(call => answerOf(call)).filter(({id, status, isWhole}) => status === 503 && isWhole && run.runsOf(id) === 0).map(({id}) => id);
	t.same(notRun.filter(id => !id.includes('sent-at')), [], 'those before the signal have run');
	t.comment(`cut in the last sixth: ${atWorkLate.join(' ')}; refused: ${notRun.join(' ')}`);
	const excused = new Set([...atWorkLate, ...notRun]);
	const early = calls.map(call => answerOf(call, events)).filter(({id, status, isWhole}) => (status !== 200 || !isWhole) && !excused.has(id));
	t.same(early, []);
	if (early.length > 0) {
		t.comment(run.gateway.lines);
	}

	await eventually(() => run.gateway.endedBy !== undefined);
	t.equal(run.gateway.endedBy, 'code 0');
});
