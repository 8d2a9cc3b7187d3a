import tap from 'tap';
import {type Route, RouteKind} from '../../src/routing/index.js';
import {StopSchedule} from '../../src/gateway/stopping/index.js';

const route: Route = {
	name: 'release', host: 'studio.example', pathPrefix: '/release/', kind: RouteKind.unsafe, resumable: false, shares: [], timeoutMilliseconds: 500, targetMilliseconds: 100, urgency: 1,
	largestAttempts: 1, isPublic: true,
};
const never = new Promise<string>(resolve => {
	setTimeout(resolve, 60_000, 'too late').unref();
});

// A request that waited for a body, or at the gate of a late event loop, was told nothing until the process ended.
tap.test('what a request waits for is given up at the last moment at which it could be begun, and not before', async t => {
	const stop = StopSchedule.create();
	const startedAt = performance.now();
	const waited = stop.beforeLastStart({route, deadlineAt: Infinity}, never);
	stop.begin({endsAt: startedAt + 800, lastStreamAt: Infinity});
	t.equal(await waited, undefined);
	const milliseconds = performance.now() - startedAt;
	t.ok(milliseconds >= 295 && milliseconds < 800, `after ${Math.round(milliseconds)} ms of 300`);
	t.equal(await stop.beforeLastStart({route, deadlineAt: Infinity}, never), undefined, 'one that comes later at once');
	t.equal(await stop.beforeLastStart({route, deadlineAt: startedAt + 800}, Promise.resolve('begun')), 'begun', 'one whose deadline comes first waits on');
});

tap.test('a wait that has ended listens to no stop, and an error of it is passed on', async t => {
	const stop = StopSchedule.create();
	t.equal(await stop.beforeLastStart({route, deadlineAt: Infinity}, Promise.resolve('begun')), 'begun');
	await t.rejects(stop.beforeLastStart({route, deadlineAt: Infinity}, Promise.reject(new Error('an error'))), /an error/v);
	stop.begin({endsAt: performance.now(), lastStreamAt: performance.now()});
});
