import tap from 'tap';
import {type WorkerAnswer} from '../../fakes/platform-worker.js';
import {eventually} from '../gateway/testbed.js';
import {sleep} from './gateway-child.js';
import {answerOf, isStream, StreamRun, streamIds, whenEnded} from './stream-run.js';

const events = 12;
const gapMilliseconds = 100;
const workMilliseconds = events * gapMilliseconds;

/** Brings a run to a moment, and sends it the signals of a stop. */
type Moment = {readonly name: string; readonly stop: (run: StreamRun, kill: (...signals: readonly NodeJS.Signals[]) => void) => Promise<void>};

/** Waits until an endpoint has sent the last events, which lie unread. */
async function untilSent({workers}: StreamRun): Promise<void> {
	await sleep(workMilliseconds + gapMilliseconds);
	await eventually(() => workers.every(({abandoned}) => abandoned.length === 0));
}

const moments: readonly Moment[] = [
	{
		name: 'right behind the first events', async stop(_, kill) {
			kill('SIGTERM');
		},
	},
	{
		name: 'between events, with a second signal at once', async stop(_, kill) {
			await sleep(gapMilliseconds / 2);
			kill('SIGTERM', 'SIGTERM');
		},
	},
	{
		name: 'in the turn in which the last events are read', async stop(run, kill) {
			kill('SIGSTOP');
			await untilSent(run);
			kill('SIGTERM', 'SIGCONT');
		},
	},
	{
		name: 'a turn before the last events are read', async stop(run, kill) {
			kill('SIGTERM', 'SIGSTOP');
			await untilSent(run);
			kill('SIGCONT');
		},
	},
	{
		name: 'again and again, beside reloads', async stop(_, kill) {
			for (let number = 0; number < 20; number++) {
				kill('SIGTERM', 'SIGHUP', 'SIGINT');
				await sleep(number * 10);
			}
		},
	},
	{
		name: 'while the process stands still within its stop', async stop(_, kill) {
			kill('SIGTERM');
			await sleep(300);
			kill('SIGSTOP');
			await sleep(2600);
			kill('SIGCONT', 'SIGTERM');
		},
	},
];

const lanes = 3;

function answer(id: string): WorkerAnswer {
	return isStream(id) ? {type: 'events', count: events, gapMilliseconds} : {type: 'whole', body: 'done', afterMilliseconds: workMilliseconds};
}

// A stop cut streams that had begun, or a second signal within it did, at one of the moments that a stream can be in.
tap.test('no stop cuts what ends within it', async t => {
	const left = [...moments];
	const folder = t.testdir({});
	const runLane = async (): Promise<void> => {
		for (let moment = left.shift(); moment !== undefined; moment = left.shift()) {
			await using run = await StreamRun.start(folder, answer);
			const calls = await run.begin();
			await moment.stop(run, (...signals) => {
				for (const signal of signals) {
					run.gateway.child.kill(signal);
				}
			});
			await whenEnded(calls);
			t.same(calls.map(call => answerOf(call, events)), streamIds.map(id => ({id, status: 200, isWhole: true})), moment.name);
			t.same(streamIds.map(id => run.runsOf(id)), streamIds.map(() => 1), `${moment.name}: each has run once`);
			await eventually(() => run.gateway.endedBy !== undefined);
			t.equal(run.gateway.endedBy, 'code 0', moment.name);
		}
	};

	await Promise.all(Array.from({length: lanes}, async () => runLane()));
});
