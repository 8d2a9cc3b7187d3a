import tap from 'tap';
import {type Life} from '../../bench/gateway-soak/child.js';
import {type Arrival} from '../../bench/gateway-soak/planned-checker.js';
import {type PlannedRecord, type PlannedRequest} from '../../bench/gateway-soak/planned-connection.js';
import {type StreamsEvidence, streamsViolations} from '../../bench/gateway-soak/streams-checker.js';
import {type EndpointProcess} from '../../bench/gateway-soak/streams-endpoints.js';
import {FakePlatformWorker} from '../../fakes/platform-worker.js';

const request: PlannedRequest = {
	id: 'a', kind: 'question', route: 'question', key: 'key-a', deadlineMilliseconds: 9000, body: 'hi', headPauseMilliseconds: 0, bodyPauseMilliseconds: 0, readPauseMilliseconds: 0,
};
const cut: PlannedRecord = {
	id: 'a', kind: 'question', request, gateway: 0, sentAt: 10_000, lastByteAt: 10_000, lastDataAt: 14_950, endedAt: 15_000, status: 200, body: 'id: 1\n', isWhole: false, headers: new Map([['upstream-signature', 'w'], ['request-id', 'a']]),
	close: 'orderly', unreadMilliseconds: 0, behind: undefined,
};
const failed: Partial<PlannedRecord> = {status: 502, isWhole: true, headers: new Map(), close: 'none'};
const life: Life = {startedAt: 0, stopAt: Infinity, endedAt: Infinity, end: undefined, isKilled: false, hasWritten: true, longTurns: []};

type Seen = {readonly abandonedAt?: number; readonly finishedAt?: number; readonly brokenOffAt?: number; readonly exitedAt?: number};

/** An endpoint's process that got the request, and what became of it there. */
async function processOf(name: string, {abandonedAt, finishedAt, brokenOffAt, exitedAt = Infinity}: Seen): Promise<EndpointProcess> {
	await using worker = await FakePlatformWorker.create('w', 'models');
	for (const [times, at] of [[worker.abandonedAt, abandonedAt], [worker.finishedAt, finishedAt], [worker.brokenOffAt, brokenOffAt]] as const) {
		if (at !== undefined) {
			times.set('a', at);
		}
	}

	return {name, worker, exitedAt};
}

function arrivalAt(worker: string, at: number): Arrival {
	return {worker, service: 'models', request: {id: 'a', method: 'POST', path: '/question/1', headers: {tenant: 'studio-a'}, body: 'hi', at, statements: {}, wasRun: true}};
}

async function check(record: Partial<PlannedRecord>, seen: readonly Seen[], evidence: Partial<StreamsEvidence> = {}): Promise<string[]> {
	const processes = await Promise.all(seen.map(async (one, index) => processOf(`w@${index}`, one)));
	return streamsViolations({
		records: [{...cut, ...record}], arrivals: processes.map(({name}, index) => arrivalAt(name, 10_050 + index)), lives: [[life]], leftWorkers: [], storeSpans: [], brokenOff: new Set(), delays: [0],
		versions: [{acknowledgedAt: 0, keys: ['key-a'], routes: [{name: 'question', service: 'models', timeoutMilliseconds: 15_000}]}], latenessBetween: () => 0, totalLatenessBetween: () => 0,
		processes, news: [{at: 14_900, id: 'w', text: 'born 2000'}], startedAt: 0, shareAt: () => 1, eventsOf: () => 70, ...evidence,
	});
}

tap.test('the checker of streams finds what was cut, and excuses what the rule excuses', async t => {
	const given = [{abandonedAt: 15_000}];
	t.match(await check({}, given), [/^LOST.*1 of 70 events; 50 ms after its last data; no signal; passed on to w@0 after 50 ms.*last news "born 2000" 100 ms before/v]);
	t.match(await check({}, given, {storeSpans: [{from: 9000, until: 16_000}]}), [/^LOST.*store disturbed/v], 'the store excuses no cut');
	t.same(await check({close: 'none', isWhole: true}, [{finishedAt: 15_000}]), []);
	t.same(await check({close: 'caller'}, given), []);
	t.same(await check({}, [{brokenOffAt: 14_900, abandonedAt: 14_901}]), [], 'the endpoint broke it off');
	t.same(await check({}, [{exitedAt: 14_900, abandonedAt: 14_901}]), [], 'its process ended');
	t.match(await check({}, [{abandonedAt: 14_900, exitedAt: 14_950}]), [/^LOST/v], 'its process ended once the gateway had given it up');
	t.match(await check({}, [{exitedAt: 20_000, abandonedAt: 15_000}]), [/^LOST/v]);
	t.same(await check({endedAt: 19_000}, [{abandonedAt: 19_000}]), [], 'the deadline was reached');
	t.match(await check({endedAt: 18_950}, [{abandonedAt: 18_950}]), [/^LOST/v], 'almost reached');
	t.match(await check({endedAt: 19_400, unreadMilliseconds: 500}, [{abandonedAt: 18_900}]), [/^LOST/v], 'reached only since the caller did not read');
	t.match(await check({}, [{abandonedAt: 15_000}, {abandonedAt: 10_060}]), [/^LOST.*given up there after 5000 ms/v], 'a second attempt was dropped');
});

tap.test('the checker of streams judges the end of a stop', async t => {
	const stopped = {lives: [[{...life, stopAt: 10_500, endedAt: 15_800, end: 'code 0'}]]};
	t.match(await check({}, [{abandonedAt: 15_000}], stopped), [/^LOST.*cut 4500 ms after SIGTERM/v], 'before the last sixth');
	t.same(await check({endedAt: 15_700}, [{abandonedAt: 15_700}], stopped), [], 'still at work in the last sixth');
	t.match(await check({endedAt: 15_700}, [{finishedAt: 15_000}], stopped), [/^LOST/v], 'no more at work in the last sixth');
	t.match(await check({sentAt: 13_600, lastByteAt: 13_600, endedAt: 15_700}, [{abandonedAt: 15_700}], stopped), [/^LOST.*sent 3100 ms after it/v], 'sent over 3 s after the SIGTERM');
	t.same(await check({sentAt: 13_400, lastByteAt: 13_400, endedAt: 15_700}, [{abandonedAt: 15_700}], stopped), []);
});

tap.test('the checker of streams finds own failures while the endpoint is at work', async t => {
	t.match(await check(failed, [{abandonedAt: 15_000}]), [/^ENDED/v]);
	t.match(await check({...failed, endedAt: 18_750}, [{abandonedAt: 18_750}]), [/^ENDED/v]);
	t.same(await check({...failed, endedAt: 18_850}, [{abandonedAt: 18_850}]), [], 'not well before its time');
	t.same(await check(failed, [{exitedAt: 14_900, abandonedAt: 14_901}]), []);
	t.same(await check(failed, []), [], 'not offered: counted, the rules price it');
});
