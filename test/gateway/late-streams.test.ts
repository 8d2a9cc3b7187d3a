import tap from 'tap';
import {holdTurns} from './late-turns.js';
import {plannedState} from './planned-play.js';
import {type CallerResponse, eventually, Testbed, type TestRequest} from './testbed.js';

const deadlineMilliseconds = 1600;
/** The loop is held up once, from before the last quarter of the request's time until shortly before its end, and counts as late from then on. */
const heldBeforeMilliseconds = 600;
const heldMilliseconds = 400;
const turnMilliseconds = 120;
/** CONFIG and its kin count an answer as late from then on. */
const lateMilliseconds = 500;
/** The work of a whole stream takes longer than its caller waits. */
const endless = {type: 'events', count: 200, gapMilliseconds: 50} as const;

type Ended = {readonly response: CallerResponse; readonly line: Record<string, unknown>};
type Late = {readonly timeoutMs?: number; readonly answer: Parameters<Testbed['respondWith']>[1]; readonly holdUp: () => Promise<Disposable>};

async function sleep(milliseconds: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}

/** Sends a request, holds up the loop once it is at its endpoint and has its first event, if any, and returns how it ended. */
async function endLate(request: TestRequest, {timeoutMs = 20_000, answer, holdUp}: Late): Promise<Ended> {
	await using testbed = await Testbed.create({services: ['models'], workersEach: 2});
	testbed.respondWith('models', answer);
	const routes = (plannedState(2).routes as Array<Record<string, unknown>>).map(route => ({...route, timeoutMs, gapAimMs: 2000}));
	testbed.store.put('keyed.op', 'config', plannedState(2, {routes}));
	const {routingState} = await testbed.startGateway({lateLoop: {lateMilliseconds: 60, givesAway: false}});
	await eventually(() => routingState.table?.version === 2);
	const sent = testbed.send({method: 'POST', id: 'late', body: 'draw', ...request});
	await eventually(() => testbed.attemptCount('late') === 1);
	await sleep(2 * endless.gapMilliseconds);
	using _held = await holdUp();
	const response = await sent;
	const line = (): Record<string, unknown> | undefined => testbed.logLines.find(one => one.request === 'late' && String(one.msg).endsWith('Finished.'));
	await eventually(() => line() !== undefined);
	return {response, line: line()!};
}

async function holdUpOnce(): Promise<Disposable> {
	await sleep(deadlineMilliseconds - heldBeforeMilliseconds);
	const until = performance.now() + heldMilliseconds;
	while (performance.now() < until) {
		// The event loop reads nothing meanwhile.
	}

	return {[Symbol.dispose]() {
		// It goes on in time.
	}};
}

const ends = [
	{name: 'deadline', deadline: deadlineMilliseconds, timeoutMs: 20_000},
	{name: 'route\'s timeout', deadline: 20_000, timeoutMs: deadlineMilliseconds},
] as const;

// A stream was broken off by up to a quarter of its time before its deadline, since the loop had been late, while its endpoint was sending.
for (const {name, deadline, timeoutMs} of ends) {
	for (const path of ['/chart/1', '/question/1']) {
		tap.test(`a stream of ${path} that has begun goes on to its ${name} in a loop that was late`, async t => {
			const {line} = await endLate({path, headers: {'deadline-ms': String(deadline)}}, {timeoutMs, answer: () => endless, holdUp: holdUpOnce});
			t.match(line, {outcome: 'expired'});
			t.ok(Number(line.lag) > 0, 'the loop counts as late');
			t.ok(Number(line.left) <= 0, `left: ${String(line.left)}`);
		});
	}
}

// Without the margin, a late loop ended streams half a second after their time.
tap.test('a stream that its endpoint goes on with ends soon after its deadline in a loop that is late', async t => {
	const {response, line} = await endLate({path: '/question/1', headers: {'deadline-ms': String(deadlineMilliseconds)}}, {answer: () => endless, holdUp: async () => holdTurns(turnMilliseconds)});
	t.match(line, {outcome: 'expired'});
	const lateBy = response.milliseconds - deadlineMilliseconds;
	t.ok(Number(line.left) <= 0 && lateBy < lateMilliseconds, `left: ${String(line.left)}, its caller sees the end after ${Math.round(lateBy)} ms`);
});

tap.test('a request whose answer has not begun is ended before its deadline, so that its response leaves in time', async t => {
	const {response, line} = await endLate({path: '/question/1', headers: {'deadline-ms': String(deadlineMilliseconds)}}, {answer: () => ({type: 'silent'}), holdUp: holdUpOnce});
	t.equal(response.status, 504);
	t.ok(Number(line.left) > 0, `left: ${String(line.left)}`);
});
