import tap from 'tap';
import {type AttemptState} from '../../src/gateway/requests/attempt-state.js';
import {AttemptTimeouts, type AttemptTimeoutsOptions} from '../../src/gateway/requests/attempt-timeouts.js';
import {RouteKind} from '../../src/routing/index.js';

/** Longer than an endpoint may be silent by the route of these tests. */
const silentMilliseconds = 60_000;

type Situation = {
	readonly progress?: 'none' | 'waiting' | 'placed' | 'refused';
	readonly isSilent?: boolean;
	readonly isPaused?: boolean;
	readonly hasOutcome?: boolean;
	readonly hasAnother?: boolean;
	/** Whether the endpoint of the place that was found may still be used. */
	readonly isOpen?: boolean;
	readonly hasResponse?: boolean;
	readonly mayLeave?: boolean;
	readonly mayFailOver?: boolean;
	readonly leavesTime?: boolean;
	readonly kind?: RouteKind;
	readonly isOver?: boolean;
	readonly isStopped?: boolean;
	readonly signAgoMilliseconds?: number;
};

/** An attempt of a begun stream at an endpoint that is silent, with another one, a retry and time left, unless a test says otherwise. */
function createAttempt(situation: Situation): {readonly timeouts: AttemptTimeouts; readonly state: AttemptState; readonly calls: string[]} {
	const {progress = 'none', isSilent = true, isPaused = false, hasOutcome = false, hasAnother = true, isOpen = true, hasResponse = true, mayLeave = true, mayFailOver = true, leavesTime = true} = situation;
	const calls: string[] = [];
	const now = performance.now();
	const options = {
		exchange: {
			dispatcher: {endpoints: {hasAnother: () => hasAnother, isOpen: () => isOpen, report: () => undefined}},
			crashes: {}, request: {}, service: {}, caller: {hasResponse},
			route: {kind: situation.kind ?? RouteKind.stream, targetMilliseconds: 1000, longestPauseMilliseconds: 1000},
		},
		end: {
			at: situation.isOver === true ? now - 1 : Infinity, nextLookAt: Infinity, lastStartAt: leavesTime ? Infinity : now - 1, isStopped: situation.isStopped === true,
		},
		retries: {
			search: {progress, record: progress === 'placed' ? {} : undefined}, next: () => ({}), mayLeave: () => mayLeave, mayFailOver: () => mayFailOver,
			endSearch() {
				calls.push('end');
			},
			beginSearch(id: string) {
				calls.push(`begin ${id}`);
			},
		},
		forwarder: {isPaused, lastEventId: '1'},
		placementId: () => 'a',
	} as unknown as AttemptTimeoutsOptions;
	const lastEventAt = now - (isSilent ? silentMilliseconds : 0);
	const lastSignAt = situation.signAgoMilliseconds === undefined ? undefined : now - situation.signAgoMilliseconds;
	const state = {
		startedAt: now - silentMilliseconds, lastEventAt, lastSignAt, decision: {expectedMilliseconds: 1, record: {}}, hasOutcome, hasReportedSilence: true, nextFailoverAt: -Infinity, searches: 0,
	} as unknown as AttemptState;
	return {timeouts: AttemptTimeouts.create(options), state, calls};
}

tap.test('a begun stream at a silent endpoint leaves it once a place was found', async t => {
	const {timeouts, state, calls} = createAttempt({progress: 'placed'});
	t.match(timeouts.checkSuccessor(state), {type: 'failed', isSilent: true});
	t.same(calls, [], 'the place is kept for the next attempt');
});

const staying: ReadonlyArray<{readonly name: string; readonly situation: Situation}> = [
	{name: 'whose endpoint sends again', situation: {isSilent: false}},
	{name: 'whose endpoint shows that it is at work', situation: {signAgoMilliseconds: 0}},
	{name: 'whose caller reads too slowly', situation: {isPaused: true}},
	{name: 'that may not run again', situation: {mayFailOver: false}},
	{name: 'that could not end elsewhere before the instance stops', situation: {leavesTime: false}},
	{name: 'whose attempt has ended', situation: {hasOutcome: true}},
	{name: 'whose next endpoint is suspended meanwhile', situation: {isOpen: false}},
	{name: 'whose request may not be retried any more', situation: {mayLeave: false}},
];

// Without each of these, an answer was ended that its endpoint went on with, or that could go on nowhere else.
for (const {name, situation} of staying) {
	tap.test(`a stream ${name} stays although a place was found, and releases it`, async t => {
		const {timeouts, state, calls} = createAttempt({progress: 'placed', ...situation});
		t.equal(timeouts.checkSuccessor(state), undefined);
		t.same(calls, ['end']);
	});
}

// Without this, the retry that was reserved would be held until the attempt ends, and no other search would follow.
tap.test('a search that was refused is ended, and one that waits goes on', async t => {
	const refused = createAttempt({progress: 'refused'});
	t.equal(refused.timeouts.checkSuccessor(refused.state), undefined);
	t.same(refused.calls, ['end']);
	const waiting = createAttempt({progress: 'waiting'});
	t.equal(waiting.timeouts.checkSuccessor(waiting.state), undefined);
	t.same(waiting.calls, []);
});

const checks: ReadonlyArray<{readonly name: string; readonly situation: Situation; readonly calls: readonly string[]}> = [
	{name: 'looks for another endpoint at a silent one', situation: {}, calls: ['begin a']},
	{name: 'looks for one at a time', situation: {progress: 'waiting'}, calls: []},
	{name: 'does not look where there is none', situation: {hasAnother: false}, calls: []},
	{name: 'does not look without a retry', situation: {mayLeave: false}, calls: []},
	{name: 'looks no longer once its endpoint sends again', situation: {isSilent: false, progress: 'waiting'}, calls: ['end']},
	{name: 'does not look for a caller that reads too slowly', situation: {isPaused: true}, calls: ['end']},
	{name: 'does not look if it could not end there before the instance stops', situation: {leavesTime: false}, calls: ['end']},
];

// Silence alone is no reason to end an answer: it only makes the stream look for its next place.
for (const {name, situation, calls: expected} of checks) {
	tap.test(`a begun stream ${name}, and stays`, async t => {
		const {timeouts, state, calls} = createAttempt(situation);
		t.equal(timeouts.check(state), undefined);
		t.same(calls, expected);
	});
}

for (const kind of [RouteKind.safe, RouteKind.stream]) {
	tap.test(`a request of kind ${kind} that its caller has nothing of leaves a silent endpoint at once`, async t => {
		const {timeouts, state, calls} = createAttempt({kind, hasResponse: false});
		t.match(timeouts.check(state), {type: 'failed', isSilent: true});
		t.same(calls, []);
	});
}

// Without this, what a stop cuts would count as a request whose time was over.
tap.test('an attempt that the stop ends says so, and one whose time is over expires', async t => {
	const stopped = createAttempt({isOver: true, isStopped: true});
	t.match(stopped.timeouts.check(stopped.state), {type: 'failed', reason: 'the instance stops'});
	const over = createAttempt({isOver: true});
	t.same(over.timeouts.check(over.state), {type: 'expired'});
});
