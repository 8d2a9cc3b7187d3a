import tap, {type Test} from 'tap';
import {type WorkerAnswer} from '../../fakes/platform-worker.js';
import {plannedState} from '../gateway/planned-play.js';
import {eventually} from '../gateway/testbed.js';
import {sleep} from './gateway-child.js';
import {answerOf, isStream, patientRoutes, StreamRun, whenEnded} from './stream-run.js';

const events = 50;
const gapMilliseconds = 100;
/** When the next process starts, from the signal on: while the earlier one still accepts connections, and while it ends what it has. */
const startsMilliseconds = [0, 3000];
const endMilliseconds = 20_000;

function answer(id: string): WorkerAnswer {
	if (id.startsWith('lookup-later')) {
		return {type: 'whole', body: 'done'};
	}

	return isStream(id) ? {type: 'events', count: events, gapMilliseconds} : {type: 'pieces', count: events, bytes: 10, gapMilliseconds, hasLength: id.startsWith('lookup')};
}

async function playNext(t: Test, folder: string, startMilliseconds: number): Promise<void> {
	const name = `next process after ${startMilliseconds} ms`;
	await using run = await StreamRun.start(folder, answer, {}, async ({store}) => {
		store.put('keyed.op', 'config', plannedState(2, {routes: patientRoutes}));
	});
	const calls = await run.begin();
	run.gateway.child.kill('SIGTERM');
	await sleep(startMilliseconds);
	await using next = run.startNext();
	await whenEnded(calls, endMilliseconds);
	t.same(calls.map(call => answerOf(call, events)).filter(({status, isWhole}) => status !== 200 || !isWhole), [], `${name}: all whole`);
	t.same(calls.filter(({id}) => run.runsOf(id) !== 1), [], `${name}: each has run once`);
	await eventually(() => run.gateway.endedBy !== undefined);
	t.equal(run.gateway.endedBy, 'code 0', name);
	t.ok(await next.isReady(), `${name}: it takes over`);
	const later = await run.call('lookup-later');
	await whenEnded([later], endMilliseconds);
	t.same(answerOf(later), {id: 'lookup-later', status: 200, isWhole: true}, `${name}: it serves`);
}

// The next process of an instance must end nothing that the one before it still has, and takes over from it.
tap.test('a stop cuts nothing while the next process of the instance starts', async t => {
	const folder = t.testdir({});
	await Promise.all(startsMilliseconds.map(async milliseconds => playNext(t, folder, milliseconds)));
});
