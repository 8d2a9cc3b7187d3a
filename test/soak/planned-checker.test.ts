import tap from 'tap';
import {type Life} from '../../bench/gateway-soak/child.js';
import {type Arrival, type PlannedEvidence, plannedViolations} from '../../bench/gateway-soak/planned-checker.js';
import {type PlannedRecord, type PlannedRequest} from '../../bench/gateway-soak/planned-connection.js';
import {type PlannedVersion} from '../../bench/gateway-soak/planned-versions.js';
import {type LeftWorker} from '../../bench/gateway-soak/planned-workers.js';
import {FakePlatformWorker, type WorkerRequest} from '../../fakes/platform-worker.js';

const request: PlannedRequest = {
	id: 'a', kind: 'release', route: 'release', key: 'key-a', deadlineMilliseconds: 6000, body: 'hi',
	headPauseMilliseconds: 0, bodyPauseMilliseconds: 0, readPauseMilliseconds: 0,
};
const whole: PlannedRecord = {
	id: 'a', kind: 'release', request, gateway: 0, sentAt: 10_000, lastDataAt: 0, lastByteAt: 10_000, endedAt: 10_100, status: 200, body: 'answer to a', isWhole: true, headers: new Map([['upstream-signature', 'w'], ['request-id', 'a']]),
	close: 'none', unreadMilliseconds: 0, behind: undefined,
};
const cut: Partial<PlannedRecord> = {status: 0, isWhole: false, headers: new Map(), close: 'orderly', endedAt: 11_000};
const life: Life = {startedAt: 0, stopAt: Infinity, endedAt: Infinity, end: undefined, isKilled: false, hasWritten: true, longTurns: []};
const first: PlannedVersion = {acknowledgedAt: 0, keys: ['key-a', 'key-b'], routes: [{name: 'release', service: 'orders', timeoutMilliseconds: 8000}, {name: 'extra-0', service: 'orders', timeoutMilliseconds: 8000}]};
const moved: PlannedVersion = {...first, acknowledgedAt: 5000, keys: ['key-a'], routes: [{name: 'release', service: 'stock', timeoutMilliseconds: 8000}]};

function arrivalOf(more: Partial<WorkerRequest> = {}, service = 'orders', worker = 'w'): Arrival {
	return {worker, service, request: {id: 'a', method: 'POST', path: '/release/1', headers: {tenant: 'studio-a'}, body: 'hi', at: 10_050, statements: {}, wasRun: true, ...more}};
}

function check(record: Partial<PlannedRecord>, evidence: Partial<PlannedEvidence> = {}): string[] {
	return plannedViolations({
		records: [{...whole, ...record}], arrivals: [arrivalOf()], lives: [[life]], versions: [first], leftWorkers: [], storeSpans: [], brokenOff: new Set(), delays: [0], latenessBetween: () => 0, totalLatenessBetween: () => 0, ...evidence,
	});
}

tap.test('the checker of planned work finds what was read and lost, and excuses what the rules excuse', async t => {
	t.same(check({}), []);
	t.match(check(cut), [/^LOST.* passed on/v]);
	t.match(check(cut, {arrivals: []}), [/^LOST.*not passed on/v]);
	t.match(check({...cut, close: 'reset'}), [/^LOST/v]);
	t.same(check({...cut, close: 'reset'}, {arrivals: []}), [], 'what was reset and not passed on may not have been read');
	t.same(check({...cut, endedAt: 10_150}, {arrivals: []}), [], 'within the slack');
	t.same(check({...cut, lastByteAt: Infinity}), [], 'not whole');
	t.same(check(cut, {brokenOff: new Set(['a'])}), [], 'the worker broke off');
	t.same(check({...cut, endedAt: 16_000}), [], 'its time is over');
	t.same(check({...cut, endedAt: 15_500}, {lives: [[{...life, stopAt: 10_000}]]}), [], 'still at work in the last sixth');
	t.match(check({...cut, sentAt: 13_500, lastByteAt: 13_500, endedAt: 15_500}, {lives: [[{...life, stopAt: 10_000}]], arrivals: [arrivalOf({at: 13_600})]}), [/^LOST/v], 'the same, sent over 3 s after the SIGTERM');
	t.match(check(cut, {storeSpans: [{from: 9000, until: 12_000}]}), [/^LOST/v], 'the store alone excuses no order');
	t.same(check({...cut, kind: 'question', request: {...request, kind: 'question'}}, {storeSpans: [{from: 9000, until: 12_000}]}), [], 'it excuses a stream');
	t.same(check({...cut, behind: {...whole, ...cut, status: 200}}, {arrivals: []}), [], 'behind an answer that broke off');
	t.same(check({...cut, endedAt: 10_500, unreadMilliseconds: 400}, {arrivals: []}), [], 'its caller did not read');
	t.match(check({status: 502, headers: new Map()}), [/^ENDED/v]);
});

tap.test('the checker of planned work finds refusals, changes and ends', async t => {
	t.match(check({status: 404, headers: new Map()}, {arrivals: []}), [/^DENIED/v, /^CONFIG/v]);
	t.match(check({status: 500}), [/^MIXED/v], 'a signature on another status');
	t.match(check({headers: new Map()}), [/^MIXED/v]);
	t.match(check({}, {arrivals: [arrivalOf({body: 'ho'})]}), [/^UNASKED/v]);
	t.match(check({}, {arrivals: [arrivalOf({headers: {tenant: 'studio-b'}})]}), [/^UNASKED/v]);
	t.match(check({}, {records: []}), [/^UNASKED/v]);
	await using worker = await FakePlatformWorker.create('w', 'orders');
	const left: LeftWorker = {acknowledgedAt: 7000, exitedAt: 20_000, worker};
	t.match(check({}, {leftWorkers: [left]}), [/^DRAIN/v]);
	t.same(check({}, {leftWorkers: [{...left, acknowledgedAt: 8500}]}), []);
	t.match(check({}, {lives: [[{...life, stopAt: 20_000, endedAt: 20_100, end: 'SIGTERM'}]]}), [/^FAULT/v]);
	t.match(check({}, {lives: [[{...life, endedAt: 20_100, end: 'code 0'}]]}), [/^FAULT.*by itself/v]);
	t.same(check({}, {lives: [[{...life, stopAt: 20_000, endedAt: 20_100, end: 'code 0'}]]}), []);
	t.same(check({}, {lives: [[life, {...life, startedAt: 20_000, stopAt: 20_010, endedAt: 20_020, end: 'SIGTERM', hasWritten: false}]]}), [], 'before its first module');
});

tap.test('the checker of planned work finds what an older version allows', async t => {
	t.match(check({}, {versions: [first, moved]}), [/^CONFIG.*older version/v]);
	t.same(check({}, {versions: [first, {...moved, acknowledgedAt: 8500}]}), [], 'within configApplyMs');
	t.same(check({}, {versions: [first, moved], storeSpans: [{from: 4000, until: 8000}]}), [], 'not in touch');
	t.match(check({}, {arrivals: [arrivalOf({}, 'models')]}), [/^ROUTE/v]);
	const earlier: PlannedRecord = {...whole, id: 'b', sentAt: 8600, request: {...request, id: 'b'}, headers: new Map([['upstream-signature', 'w'], ['request-id', 'b']])};
	t.match(check({}, {
		records: [{...whole}, earlier], versions: [first, {...moved, acknowledgedAt: 8500}], arrivals: [arrivalOf(), arrivalOf({id: 'b', at: 8700}, 'stock')],
	}), [/regress/v], 'a regress after its effect was seen');
});
