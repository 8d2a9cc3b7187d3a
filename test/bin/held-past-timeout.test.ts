import tap from 'tap';
import {plannedState} from '../gateway/planned-play.js';
import {eventually} from '../gateway/testbed.js';
import {sleep} from './gateway-child.js';
import {type StreamCall, StreamRun, streamRoutes} from './stream-run.js';

const timeoutMilliseconds = 1500;
/** The users' rules count a request as held from then on. */
const heldMilliseconds = 500;
/** The process stands still while the requests arrive, and once more from shortly before the time at which theirs would be over had they come when they were read. */
const firstStandMilliseconds = 500;
const secondStandMilliseconds = 450;
const beforeMilliseconds = 100;
const callsEach = 8;
const endless = {type: 'events', count: 200, gapMilliseconds: 50} as const;

type Timed = {readonly sentAt: number; readonly call: StreamCall; endedAt: number};

async function begin(run: StreamRun, id: string): Promise<Timed> {
	const timed: Timed = {sentAt: performance.now(), call: await run.call(id), endedAt: Infinity};
	timed.call.socket.once('close', () => {
		timed.endedAt = performance.now();
	});
	return timed;
}

async function beginAll(run: StreamRun, name: string): Promise<readonly Timed[]> {
	return Promise.all(Array.from({length: callsEach}, async (_, number) => begin(run, `question-${name}-${number}`)));
}

async function standStill(run: StreamRun, task: () => Promise<readonly Timed[]>, milliseconds: number): Promise<readonly Timed[]> {
	const until = performance.now() + milliseconds;
	run.gateway.child.kill('SIGSTOP');
	const begun = await task();
	await sleep(until - performance.now());
	run.gateway.child.kill('SIGCONT');
	return begun;
}

// Streams had no end half a second after their route's timeout: it was counted from when they were read, and the process stood still again then.
tap.test('streams that a process reads late end between their route\'s timeout and half a second after it, although it stands still again', async t => {
	const routes = streamRoutes.map(route => ({...route, timeoutMs: timeoutMilliseconds}));
	await using run = await StreamRun.start(t.testdir({}), () => endless, {lateLoop: {givesAway: false}}, async ({store}) => {
		store.put('keyed.op', 'config', plannedState(2, {routes}));
	});
	await beginAll(run, 'before');
	await sleep(timeoutMilliseconds + heldMilliseconds);
	const readLate = await standStill(run, async () => beginAll(run, 'unread'), firstStandMilliseconds);
	const readAt = performance.now();
	await sleep(beforeMilliseconds);
	const readAtOnce = await beginAll(run, 'read');
	await sleep(readAt + timeoutMilliseconds - beforeMilliseconds - performance.now());
	await standStill(run, async () => [], secondStandMilliseconds);
	const all = [...readLate, ...readAtOnce];
	await eventually(() => all.every(({endedAt}) => endedAt < Infinity));
	for (const {sentAt, endedAt, call: {id, text}} of all) {
		const afterMilliseconds = Math.round(endedAt - sentAt - timeoutMilliseconds);
		t.ok(text.includes('id: 1\n'), `${id} has begun`);
		t.ok(afterMilliseconds >= 0 && afterMilliseconds <= heldMilliseconds, `${id} ends ${afterMilliseconds} ms after its timeout`);
	}
});
