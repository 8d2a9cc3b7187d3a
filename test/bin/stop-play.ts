/** Streams that go on through a stop, and one endpoint that is gone before it, while a neighbour stops. */
import {type Test} from 'tap';
import {type FakePlatformWorker, type WorkerAnswer} from '../../fakes/platform-worker.js';
import {plannedState} from '../gateway/planned-play.js';
import {eventually} from '../gateway/testbed.js';
import {sleep} from './gateway-child.js';
import {answerOf, isStream, patientRoutes, type StreamCall, StreamRun, whenEnded} from './stream-run.js';

const events = 40;
const gapMilliseconds = 100;
/** Ends well before the last sixth of a stop of 8 s. */
export const workMilliseconds = events * gapMilliseconds;
const setNumbers = [0, 1, 2, 3] as const;
const endMilliseconds = 20_000;
/** The exception of the users' rule LOST: work that still goes on in the last sixth of the grace. */
const lastSixthMilliseconds = 8000 * 5 / 6;

/** What a course can act on. */
export type StopPlay = {
	readonly run: StreamRun;
	/** Registrations of the endpoints. */
	readonly beats: ReadonlyMap<string, Readonly<Record<string, unknown>>>;
	/** Endpoints that the course adds. */
	readonly later: FakePlatformWorker[];
	/** Ends one endpoint, at which streams of both kinds run. */
	readonly fail: () => void;
};

/** What happens in a stop, from its signal on. */
export type StopCourse = (play: StopPlay) => Promise<void>;

function answer(id: string): WorkerAnswer {
	if (isStream(id)) {
		return {type: 'events', count: events, gapMilliseconds};
	}

	const hasLength = id.startsWith('lookup');
	return id.startsWith('parts') ? {type: 'whole', body: 'done', afterMilliseconds: workMilliseconds} : {type: 'pieces', count: events, bytes: 10, gapMilliseconds, hasLength};
}

/** Begins requests of each kind. Endpoints are used in turns, and one more stream shifts the turn, so that streams of both kinds run at each. */
async function beginAll(run: StreamRun): Promise<readonly StreamCall[]> {
	const calls: StreamCall[] = [];
	for (const number of setNumbers) {
		calls.push(...await run.begin(`-${number}`));
		const more = await run.call(`chart-more-${number}`);
		await eventually(() => more.text.includes('id: 1\n'));
		calls.push(more);
	}

	return calls;
}

function questionsAt({requests}: FakePlatformWorker): readonly string[] {
	return requests.map(({id}) => id).filter(id => id.startsWith('question'));
}

/** Stops the instance and a neighbour with requests of each kind in progress: only those may end early whose endpoint is gone, and that may not go on elsewhere. */
export async function playStop(t: Test, course: StopCourse): Promise<void> {
	let neighbourPort = 0;
	const neighbours: Array<ReturnType<Awaited<ReturnType<StreamRun['neighbour']>>['start']>> = [];
	t.teardown(() => {
		for (const {child} of neighbours) {
			child.kill('SIGKILL');
		}
	});
	await using run = await StreamRun.start(t.testdir({}), answer, {retrySlack: 20}, async before => {
		before.store.put('keyed.op', 'config', plannedState(2, {routes: patientRoutes}));
		const neighbour = await before.neighbour('other');
		neighbourPort = neighbour.callerPort;
		neighbours.push(neighbour.start());
	});
	t.ok(await neighbours[0]!.isReady());
	const calls = [...await beginAll(run), ...await Promise.all(['chart-other', 'question-other'].map(async id => run.call(id, neighbourPort)))];
	await eventually(() => calls.every(({id, text}) => isStream(id) ? text.includes('id: 1\n') : run.runsOf(id) > 0));
	const [gone, other] = run.workers.filter(({service}) => service === 'models');
	t.ok(questionsAt(gone!).length > 0 && questionsAt(other!).length > 0, 'streams that may not go on elsewhere run at both endpoints');
	const atGone = questionsAt(gone!);
	const beats = new Map(run.workers.map(worker => [worker.id, worker.beat()]));
	const signalAt = performance.now();
	run.gateway.child.kill('SIGTERM');
	neighbours[0]!.child.kill('SIGTERM');
	const later: FakePlatformWorker[] = [];
	t.teardown(async () => Promise.all(later.map(async worker => worker[Symbol.asyncDispose]())));
	await course({run, beats, later, fail() {
		gone!.fail({isSilent: false});
	}});
	await whenEnded(calls, endMilliseconds);
	t.comment(`ended ${Math.round(performance.now() - signalAt)} ms after the signal`);
	const cutLate = [...run.workers, ...later].flatMap(({abandonedAt}) => [...abandonedAt]).filter(([, at]) => at >= signalAt + lastSixthMilliseconds).map(([id]) => id);
	t.comment(`${cutLate.length} cut in the last sixth: ${cutLate.join(' ')}`);
	const ends = endsOf(calls.filter(({id}) => !atGone.includes(id) && !cutLate.includes(id)));
	t.same(ends, [], 'all whole whose endpoint goes on, or that may go on elsewhere');
	if (ends.length > 0) {
		t.comment(run.gateway.lines);
	}

	const ids = [...run.workers, ...later].flatMap(({requests}) => requests.map(({id}) => id));
	const repeated = ids.filter((id, index) => ids.indexOf(id) < index);
	t.ok(repeated.some(id => id.startsWith('chart')), 'some went on elsewhere');
	t.same(repeated.filter(id => !id.startsWith('chart') && !id.startsWith('lookup')), [], 'what may run once has');
	await eventually(() => [run.gateway, ...neighbours].every(({endedBy}) => endedBy !== undefined));
	t.same([run.gateway, ...neighbours].map(({endedBy}) => endedBy), ['code 0', 'code 0']);
}

/** Those that have no whole answer of their endpoint. */
function endsOf(calls: readonly StreamCall[]): ReadonlyArray<ReturnType<typeof answerOf>> {
	return calls.map(call => answerOf(call, events)).filter(({status, isWhole}) => status !== 200 || !isWhole);
}

/** Calls `play` again and again until a time has passed. */
export async function again(milliseconds: number, pauseMilliseconds: number, play: (number: number) => void): Promise<void> {
	const endsAt = performance.now() + milliseconds;
	for (let number = 0; performance.now() < endsAt; number++) {
		play(number);
		await sleep(pauseMilliseconds);
	}
}
