import tap from 'tap';
import {eventually} from '../gateway/testbed.js';
import {sleep} from './gateway-child.js';
import {answerOf, isStream, StreamRun, whenEnded} from './stream-run.js';

const graceMilliseconds = 8000;
const lastSixthMilliseconds = graceMilliseconds * 5 / 6;
/** How long the process does nothing before its signal comes. */
const turnMilliseconds = 1900;
const gapMilliseconds = 100;
const streamMilliseconds = 14_000;

// A stop whose signal came at the end of a long turn counted from the turn's beginning, and cut streams in progress before the last sixth of its time.
tap.test('a stop whose signal comes at the end of a long turn cuts streams in the last sixth of its time alone', async t => {
	await using run = await StreamRun.start(t.testdir({}), id => isStream(id)
		? {type: 'events', count: streamMilliseconds / gapMilliseconds, gapMilliseconds}
		: {type: 'whole', body: 'done', afterMilliseconds: gapMilliseconds}, {stopSeconds: graceMilliseconds / 1000, lateLoop: {lateMilliseconds: 60}});
	const calls = await Promise.all(['question-0', 'chart-0'].map(async id => run.call(id)));
	await sleep(1000);
	const {child} = run.gateway;
	child.kill('SIGSTOP');
	await sleep(turnMilliseconds);
	const signalAt = performance.now();
	child.kill('SIGTERM');
	child.kill('SIGCONT');
	const kill = setTimeout(() => {
		child.kill('SIGKILL');
	}, graceMilliseconds);
	const endedAt = await Promise.all(calls.map(async call => whenEnded([call], 2 * graceMilliseconds).then(() => performance.now() - signalAt)));
	await eventually(() => run.gateway.endedBy !== undefined);
	clearTimeout(kill);
	for (const [index, call] of calls.entries()) {
		t.ok(!answerOf(call).isWhole && endedAt[index]! >= lastSixthMilliseconds, `cut after ${Math.round(endedAt[index]!)} ms`);
	}
});
