import tap from 'tap';
import {type WorkerAnswer} from '../../fakes/platform-worker.js';
import {eventually} from '../gateway/testbed.js';
import {sleep} from './gateway-child.js';
import {answerOf, isStream, type StreamCall, StreamRun, textOf, whenEnded} from './stream-run.js';

const graceMilliseconds = 8000;
/** The exception of the users' rule LOST: work that still goes on in the last sixth of the grace, for what was sent in its first three seconds. */
const lastSixthMilliseconds = graceMilliseconds * 5 / 6;
const gapMilliseconds = 100;
const beforeMilliseconds = 300;

/** How long an endpoint works on a request, from its arrival; none for one that falls silent or breaks off. */
type Work = {readonly milliseconds: number} | 'silent' | 'breaks-off';
/** A request, when it is sent after the signal and when its body ends, and what may come of it: whole, cut in the last sixth alone, refused and not run, broken off by its endpoint. */
type Case = {readonly id: string; readonly work: Work; readonly at: number; readonly bodyAt?: number; readonly ends: ReadonlyArray<'whole' | 'cut-late' | 'not-run' | 'broken-off' | 'answered'>};

const before = -beforeMilliseconds;
const long: Work = {milliseconds: 9000};
const short: Work = {milliseconds: gapMilliseconds};
const cases: readonly Case[] = [
	{id: 'question-until-6.6', work: {milliseconds: 6900}, at: before, ends: ['whole']},
	{id: 'question-until-6.7', work: {milliseconds: 7000}, at: before, ends: ['whole']},
	{id: 'question-until-7.0', work: {milliseconds: 7300}, at: before, ends: ['whole']},
	{id: 'chart-until-7.0', work: {milliseconds: 7300}, at: before, ends: ['whole']},
	{id: 'parts-until-7.0', work: {milliseconds: 7300}, at: before, ends: ['whole']},
	{id: 'lookup-until-7.0', work: {milliseconds: 7300}, at: before, ends: ['whole', 'answered']},
	{id: 'question-until-7.5', work: {milliseconds: 7800}, at: before, ends: ['whole', 'cut-late']},
	{id: 'chart-until-7.5', work: {milliseconds: 7800}, at: before, ends: ['whole', 'cut-late']},
	{id: 'release-until-7.5', work: {milliseconds: 7800}, at: before, ends: ['whole', 'answered']},
	{id: 'question-silent', work: 'silent', at: before, ends: ['cut-late']},
	{id: 'chart-silent', work: 'silent', at: before, ends: ['whole']},
	{id: 'question-breaks-off', work: 'breaks-off', at: before, ends: ['broken-off']},
	{id: 'chart-breaks-off', work: 'breaks-off', at: before, ends: ['whole']},
	...[2600, 2900].flatMap((at): readonly Case[] => [
		{id: `question-long-at-${at}`, work: long, at, ends: ['cut-late', 'not-run']},
		{id: `chart-long-at-${at}`, work: long, at, ends: ['cut-late', 'not-run']},
		{id: `question-short-at-${at}`, work: short, at, ends: ['whole', 'not-run']},
	]),
	...[3100, 4000].flatMap((at): readonly Case[] => [
		{id: `question-long-at-${at}`, work: long, at, ends: ['not-run']},
		{id: `chart-long-at-${at}`, work: long, at, ends: ['not-run']},
		{id: `release-long-at-${at}`, work: long, at, ends: ['answered', 'not-run']},
		{id: `release-short-at-${at}`, work: short, at, ends: ['whole']},
		{id: `lookup-short-at-${at}`, work: short, at, ends: ['whole']},
		{id: `chart-body-at-${at}`, work: long, at: before, bodyAt: at, ends: ['not-run']},
		{id: `parts-body-at-${at}`, work: short, at: before, bodyAt: at, ends: ['whole']},
	]),
];

/** Requests that have shown, before the stop, that those of each route are short. */
const earlier = ['chart', 'question', 'lookup', 'release'].flatMap(kind => Array.from({length: 10}, (_, number) => `${kind}-earlier-${number}`));

/** Chooses an endpoint's answers: one that has fallen silent or broken off is whole at the next endpoint. */
function chooser(): (id: string) => WorkerAnswer {
	const seen = new Set<string>();
	return id => {
		const work = cases.find(one => one.id === id)?.work ?? short;
		const isFirst = !seen.has(id);
		seen.add(id);
		if (typeof work === 'object' || !isFirst) {
			const milliseconds = typeof work === 'object' ? work.milliseconds : gapMilliseconds;
			const count = Math.max(5, milliseconds / gapMilliseconds);
			return isStream(id) ? {type: 'events', count, gapMilliseconds: milliseconds / count} : {type: 'whole', body: 'done', afterMilliseconds: milliseconds};
		}

		return work === 'silent' ? {type: 'events', count: 5, silentAfter: 2, gapMilliseconds} : {type: 'events', count: 5, cutAfter: 4, gapMilliseconds: 400};
	};
}

type Sent = {readonly one: Case; readonly call: StreamCall; readonly endedAt: Promise<number>};

/** Sends a request at its time, on a connection that was opened before. */
async function send(run: StreamRun, one: Case, signalAt: number): Promise<Sent> {
	const call = await run.connect(one.id);
	const text = textOf(one.id);
	const bodyStart = text.indexOf('\r\n\r\n') + 5;
	setTimeout(() => {
		call.socket.write(one.bodyAt === undefined ? text : text.slice(0, bodyStart));
	}, signalAt + one.at - performance.now());
	if (one.bodyAt !== undefined) {
		setTimeout(() => {
			call.socket.write(text.slice(bodyStart));
		}, signalAt + one.bodyAt - performance.now());
	}

	const endedAt = whenEnded([call], 2 * graceMilliseconds).then(() => performance.now() - signalAt);
	return {one, call, endedAt};
}

async function endOf(run: StreamRun, {one: {id, work}, call, endedAt}: Sent): Promise<string> {
	const milliseconds = await endedAt;
	const {status, isWhole} = answerOf(call);
	if (isWhole && status === 200) {
		return 'whole';
	}

	if (isWhole && status === 503) {
		return run.runsOf(id) === 0 ? 'not-run' : 'refused, though it has run';
	}

	if (isWhole) {
		return 'answered';
	}

	if (work === 'breaks-off') {
		return 'broken-off';
	}

	return milliseconds >= lastSixthMilliseconds ? 'cut-late' : `cut after ${Math.round(milliseconds)} ms`;
}

// Streams were broken off at the end of a stop that had been sent after its first seconds: short ones before them had let them be begun.
tap.test('a stop cuts no stream that no exception excuses', async t => {
	await using run = await StreamRun.start(t.testdir({}), chooser(), {stopSeconds: graceMilliseconds / 1000});
	await whenEnded(await Promise.all(earlier.map(async id => run.call(id))));
	const signalAt = performance.now() + beforeMilliseconds + 200;
	const sent = await Promise.all(cases.map(async one => send(run, one, signalAt)));
	await sleep(signalAt - performance.now());
	run.gateway.child.kill('SIGTERM');
	for (const one of sent) {
		const end = await endOf(run, one);
		t.ok(one.one.ends.includes(end as never), `${one.one.id}: ${end} after ${Math.round(await one.endedAt)} ms`);
	}

	await eventually(() => run.gateway.endedBy !== undefined);
	t.ok(performance.now() - signalAt < graceMilliseconds, `the process ends after ${Math.round(performance.now() - signalAt)} ms`);
});
