import tap from 'tap';
import {eventually} from '../gateway/testbed.js';
import {sleep} from './gateway-child.js';
import {answerOf, isStream, type StreamCall, StreamRun, textOf, whenEnded} from './stream-run.js';

const graceMilliseconds = 8000;
const lastSixthMilliseconds = graceMilliseconds * 5 / 6;
/** How long the process does nothing, from its signal on: as long as its stop can still end before the kill wherever in that time the signal came, and longer, when the kill may come first. */
const cases = [{lateMilliseconds: 850, endsByItself: true}, {lateMilliseconds: 1200, endsByItself: false}] as const;
const gapMilliseconds = 100;
/** Streams that come when the rules excuse none of them any more, and one that was there before. */
const streams = [{id: 'question-before', at: -300, milliseconds: 9000}, {id: 'question-at-3.2', at: 3200, milliseconds: 9000}, {id: 'chart-at-3.6', at: 3600, milliseconds: 9000}, {id: 'question-at-3.8', at: 3800, milliseconds: 9000}] as const;
const earlier = ['chart', 'question', 'lookup', 'release'].flatMap(kind => Array.from({length: 10}, (_, number) => `${kind}-earlier-${number}`));

async function sendAt(run: StreamRun, id: string, at: number): Promise<StreamCall> {
	const call = await run.connect(id);
	setTimeout(() => {
		call.socket.write(textOf(id));
	}, at - performance.now());
	return call;
}

// The times of a stop counted from when the late loop read its signal: it began streams that its end cut off, and the platform killed it before that end.
for (const {lateMilliseconds, endsByItself} of cases) {
	tap.test(`a stop whose signal is read ${lateMilliseconds} ms late keeps the times of the signal`, async t => {
		await using run = await StreamRun.start(t.testdir({}), id => {
			const milliseconds = streams.find(one => one.id === id)?.milliseconds ?? gapMilliseconds;
			return isStream(id) ? {type: 'events', count: milliseconds / gapMilliseconds, gapMilliseconds} : {type: 'whole', body: 'done', afterMilliseconds: gapMilliseconds};
		}, {stopSeconds: graceMilliseconds / 1000, lateLoop: {lateMilliseconds: 60}});
		await whenEnded(await Promise.all(earlier.map(async id => run.call(id))));
		const signalAt = performance.now() + 800;
		const sent = await Promise.all(streams.map(async ({id, at}) => sendAt(run, id, signalAt + at)));
		await sleep(signalAt - performance.now());
		const {child} = run.gateway;
		child.kill('SIGSTOP');
		child.kill('SIGTERM');
		await sleep(lateMilliseconds);
		child.kill('SIGCONT');
		const kill = setTimeout(() => {
			child.kill('SIGKILL');
		}, signalAt + graceMilliseconds - performance.now());
		const endedAt = await Promise.all(sent.map(async call => whenEnded([call], 2 * graceMilliseconds).then(() => performance.now() - signalAt)));
		await eventually(() => run.gateway.endedBy !== undefined);
		clearTimeout(kill);
		t.ok(run.gateway.endedBy === 'code 0' || !endsByItself, `it ends by ${run.gateway.endedBy}`);
		for (const [index, {id, at}] of streams.entries()) {
			const {status, isWhole} = answerOf(sent[index]!);
			const isNotRun = isWhole && status === 503 && run.runsOf(id) === 0;
			const isCutLate = at <= 3000 && endedAt[index]! >= lastSixthMilliseconds;
			t.ok(isNotRun || isCutLate, `${id}: status ${status}, ${isWhole ? 'whole' : 'cut'} after ${Math.round(endedAt[index]!)} ms`);
		}
	});
}
