import {renameSync, rmSync, truncateSync, writeFileSync} from 'node:fs';
import tap from 'tap';
import {type WorkerAnswer} from '../../fakes/platform-worker.js';
import {eventually} from '../gateway/testbed.js';
import {sleep} from './gateway-child.js';
import {answerOf, isStream, type StreamCall, StreamRun, whenEnded} from './stream-run.js';

const events = 25;
const gapMilliseconds = 100;
/** Longer than the time between two looks at the file, for changes without a signal. */
const workMilliseconds = events * gapMilliseconds;
/** Events of an endpoint that pauses for longer than the silence after which streams that may be resumed go on elsewhere. */
const pausing: WorkerAnswer = {type: 'events', count: 3, gapMilliseconds: 1000};

function answer(id: string): WorkerAnswer {
	if (!isStream(id)) {
		return {type: 'whole', body: 'done', afterMilliseconds: workMilliseconds};
	}

	return id.endsWith('pausing') ? pausing : {type: 'events', count: events, gapMilliseconds};
}

type Reload = {readonly name: string; readonly apply: (run: StreamRun) => void; readonly line: string};

function write({file, settings}: StreamRun, more: Readonly<Record<string, unknown>>): void {
	writeFileSync(file, JSON.stringify({...settings, ...more}));
}

function hangUp({gateway}: StreamRun): void {
	gateway.child.kill('SIGHUP');
}

const reloads: readonly Reload[] = [
	{name: 'a SIGHUP with nothing changed', apply: hangUp, line: 'Reloaded, nothing changed.'},
	{
		name: 'a SIGHUP with a larger allowance of retries', apply(run) {
			write(run, {retryRatio: 3, retrySlack: 20});
			hangUp(run);
		}, line: 'Reloaded.',
	},
	{
		name: 'a SIGHUP with other ports, another name, zone, store and stop, less memory and invalid duties', apply(run) {
			const addresses = {callerAddress: '127.0.0.1:1', adminAddress: '127.0.0.1:2', peerAddress: '127.0.0.1:3', storeAddress: '127.0.0.1:4'};
			write(run, {...addresses, instance: 'other', availabilityZone: 'other', stopSeconds: 1, memoryMegabytes: 1, duties: 'none'});
			hangUp(run);
		}, line: 'Reloaded.',
	},
	{
		name: 'a SIGHUP with values that are invalid', apply(run) {
			write(run, {retryRatio: -1, stopSeconds: 'eight'});
			hangUp(run);
		}, line: 'The settings file is invalid',
	},
	{
		name: 'a SIGHUP with a file that is half written', apply(run) {
			write(run, {});
			truncateSync(run.file, 40);
			hangUp(run);
		}, line: 'The settings file is invalid',
	},
	{
		name: 'a SIGHUP with no file', apply(run) {
			rmSync(run.file);
			hangUp(run);
		}, line: 'The settings file is invalid',
	},
	{
		name: 'a file that changes without a signal', apply(run) {
			write(run, {retryRatio: 4});
		}, line: '"cause":"file"',
	},
	{
		name: 'a file that is replaced without a signal, and signals in series', apply(run) {
			writeFileSync(`${run.file}.new`, JSON.stringify({...run.settings, retryRatio: 0, retrySlack: 0}));
			renameSync(`${run.file}.new`, run.file);
			for (let number = 0; number < 20; number++) {
				setTimeout(hangUp, number * 7, run);
			}
		}, line: 'Reloaded.',
	},
];

function whole(calls: readonly StreamCall[]): ReadonlyArray<{readonly id: string; readonly status: number; readonly isWhole: boolean}> {
	return calls.map(({id}) => ({id, status: 200, isWhole: true}));
}

// A reload that cut what was in progress, or settings that could not be read and ended the process.
tap.test('no reload cuts a request in progress, nor does a stop with reloads in it', async t => {
	await using run = await StreamRun.start(t.testdir({}), answer);
	const sets: Array<{readonly name: string; readonly calls: readonly StreamCall[]}> = [];
	for (const [number, {name, apply, line}] of reloads.entries()) {
		const calls = await run.begin(`-${number}`);
		const linesBefore = run.gateway.lines.length;
		apply(run);
		sets.push({name, calls});
		await eventually(() => run.gateway.lines.slice(linesBefore).includes(line));
	}

	// No retry is allowed, until a reload allows it: a silent endpoint is waited for, or left for another one.
	const [pausingChart, pausingQuestion] = await Promise.all([run.call('chart-pausing'), run.call('question-pausing')]);
	await eventually(() => [pausingChart, pausingQuestion].every(({text}) => text.includes('id: 1\n')));
	const last = await run.begin('-last');
	run.gateway.child.kill('SIGTERM');
	for (const {apply} of reloads) {
		apply(run);
		await sleep(gapMilliseconds);
	}

	sets.push({name: 'reloads in a stop', calls: last});
	for (const {name, calls} of sets) {
		await whenEnded(calls);
		t.same(calls.map(call => answerOf(call, events)), whole(calls), name);
		t.same(calls.map(({id}) => run.runsOf(id)), calls.map(() => 1), `${name}: each has run once`);
	}

	const paused = [pausingChart, pausingQuestion];
	await whenEnded(paused);
	t.same(paused.map(call => answerOf(call, 3)), whole(paused), 'endpoints that pause');
	await eventually(() => run.gateway.endedBy !== undefined);
	t.equal(run.gateway.endedBy, 'code 0');
});
