import tap from 'tap';
import {callModel, type CallOptions, type CallResult} from '../../bench/harness/caller.js';
import {keyOf, planCatalogue} from '../../bench/harness/catalogue.js';
import {LocalFleet, until} from '../../bench/harness/local-fleet.js';
import {FakePath} from '../../fakes/index.js';

const model = 'model';
const workspace = 'stickwerk';
const tokens = 40;

type Paths = Map<string, FakePath>;

async function createFleet(endpoints: number, paths: Paths = new Map()): Promise<LocalFleet> {
	const fleet = await LocalFleet.create({
		entries: 2,
		endpoints,
		zones: ['zone-a', 'zone-b'],
		models: [model],
		random: () => 0.5,
		logLevel: 'fatal',
		async route(endpoint, address) {
			await paths.get(endpoint)?.[Symbol.asyncDispose]();
			const path = await FakePath.create(address);
			paths.set(endpoint, path);
			return path.address;
		},
	});
	await fleet.publish(planCatalogue([model], [workspace]));
	await fleet.connected();
	return fleet;
}

async function close(paths: Paths): Promise<void> {
	for (const path of paths.values()) {
		await path[Symbol.asyncDispose]();
	}
}

function call(fleet: LocalFleet, prompt: string, more: Partial<CallOptions> = {}): Promise<CallResult> {
	return callModel({address: fleet.entries[0]!.entry.address, key: keyOf(workspace), className: 'order', model, prompt: `${prompt} [[tokens=${tokens}]]`, ...more});
}

function calls(fleet: LocalFleet, count: number): Array<Promise<CallResult>> {
	return Array.from({length: count}, (_, index) => call(fleet, `Chart ${index}`));
}

function running(fleet: LocalFleet): number {
	return fleet.endpoints.reduce((sum, {engine}) => sum + engine.running, 0);
}

function mismatches(fleet: LocalFleet): number {
	return fleet.endpoints.reduce((sum, {engine}) => sum + engine.resumeMismatches, 0);
}

// An engine writes an event into another stream, repeats or skips an event, sends an event of an earlier or
// unknown request, or ends early without `[DONE]`. Its side stops at the first invalid event, and the entry
// resumes at another endpoint after the last valid token, so that callers get complete responses, each token once.
for (const fault of ['crossEvents', 'lateEvents', 'duplicateEvents', 'foreignEvents', 'dropEvents', 'truncateStreams'] as const) {
	tap.test(`callers get their own complete responses despite ${fault}`, async t => {
		const paths: Paths = new Map();
		await using fleet = await createFleet(3, paths);
		await Promise.all(calls(fleet, 3));
		const engines = fleet.endpoints.map(({engine}) => engine);
		const sent = calls(fleet, 9);
		await until(() => engines.some(engine => engine.running > 1));
		const faultyEngine = engines.find(engine => engine.running > 1)!;
		faultyEngine.faults[fault] = 2;
		const results = await Promise.all(sent);
		t.same(results.map(({outcome}) => outcome), Array.from({length: 9}, () => 'whole'));
		t.ok(results.every(result => result.tokens === tokens));
		t.ok(faultyEngine.faults[fault] < 2, 'the fault was injected');
		t.equal(mismatches(fleet), 0);
		await close(paths);
	});
}

// Callers see a pause and then the rest. A side process crashes with open streams: its connections break,
// the engine cancels their requests, and the entry resumes each stream at another side. A replacement
// that starts for the same engine gets requests again.
tap.test('streams of a crashed side are resumed at another side, and its replacement serves', async t => {
	const paths: Paths = new Map();
	await using fleet = await createFleet(2, paths);
	const sent = calls(fleet, 8);
	const [crashing, other] = fleet.endpoints as [LocalFleet['endpoints'][number], LocalFleet['endpoints'][number]];
	await until(() => crashing.engine.running > 0 && crashing.engine.tokensProduced > 10);
	await fleet.crashSide(crashing);
	const results = await Promise.all(sent);
	t.ok(results.every(result => result.outcome === 'whole' && result.tokens === tokens));
	t.equal(mismatches(fleet), 0);
	await fleet.restartSide(crashing);
	await fleet.stopEndpoint(other);
	await until(() => fleet.entries.every(({entry}) => entry.fleet.connected.length === 1));
	const later = await call(fleet, 'After the crash');
	t.equal(later.outcome, 'whole');
	await close(paths);
});

// The caller's connection breaks in the middle of the response without a clean end, so a partial response
// can't be taken for a complete one. The sides see their connections to the entry break and cancel its
// streams at the engines. Sent again through the other entry, the call succeeds.
tap.test('an entry that crashes breaks its callers\' connections and leaves nothing running', async t => {
	const paths: Paths = new Map();
	await using fleet = await createFleet(2, paths);
	const sent = Array.from({length: 6}, (_, index) => call(fleet, `Lost ${index} [[tokens=2000]]`));
	await until(() => running(fleet) === 6);
	await fleet.crashEntry(fleet.entries[0]!);
	const results = await Promise.all(sent);
	t.same(results.map(({outcome}) => outcome), Array.from({length: 6}, () => 'broken'));
	await until(() => running(fleet) === 0);
	const again = await call(fleet, 'Sent again');
	t.equal(again.outcome, 'whole');
	await close(paths);
});

// The caller sees a pause of some seconds and then the rest. The path between entry and side stops passing
// bytes without closing, as when an instance vanishes. The entry misses the heartbeats, closes the connection
// and resumes at the other side; when the old path recovers, its late frames are ignored. A call without a
// token whose class may wait less than this silence fails with endpoint_lost, so this class may wait longer.
tap.test('a half-open connection is closed, and its streams are resumed at another side', async t => {
	const paths: Paths = new Map();
	await using fleet = await createFleet(2, paths);
	const sent = Array.from({length: 4}, (_, index) => call(fleet, `Silent ${index} [[tokens=300]]`, {className: 'chart'}));
	const [silent] = fleet.endpoints;
	await until(() => silent!.engine.running > 0 && silent!.engine.tokensProduced > 5);
	const path = paths.get(silent!.name)!;
	path.faults.silent = true;
	const results = await Promise.all(sent);
	path.heal();
	t.same(results.map(({outcome, code}) => `${outcome} ${code ?? ''}`.trim()), Array.from({length: 4}, () => 'whole'));
	t.equal(mismatches(fleet), 0);
	const later = await Promise.all(calls(fleet, 4));
	t.ok(later.every(({outcome}) => outcome === 'whole'));
	await close(paths);
});

// Two engines crash at the same moment. All streams are resumed at the remaining engine, each after the
// last token that its caller has, so that callers get complete responses.
tap.test('streams survive the simultaneous crash of two engines', async t => {
	const paths: Paths = new Map();
	await using fleet = await createFleet(3, paths);
	const sent = fleet.entries.flatMap(({entry}) => Array.from({length: 6}, (_, index) => call(fleet, `Chart ${index} of ${entry.address}`, {address: entry.address})));
	const busy = () => fleet.endpoints.filter(({engine}) => engine.running > 0);
	await until(() => busy().length > 1);
	await Promise.all(busy().slice(0, 2).map(({engine}) => engine.crash()));
	const results = await Promise.all(sent);
	t.ok(results.every(({outcome}) => outcome === 'whole'));
	t.equal(mismatches(fleet), 0);
	await close(paths);
});

// Nine callers disconnect in the middle of their responses and one stays. The engines cancel the nine requests
// and count their tokens as discarded; the caller that stays gets the complete response.
tap.test('callers that disconnect leave nothing running and do not affect others', async t => {
	const paths: Paths = new Map();
	await using fleet = await createFleet(2, paths);
	const abort = new AbortController();
	const disconnected = Array.from({length: 9}, (_, index) => call(fleet, `Gone ${index} [[tokens=2000]]`, {signal: abort.signal}));
	const staying = call(fleet, 'Staying');
	await until(() => running(fleet) >= 9);
	abort.abort();
	await Promise.all(disconnected);
	const stayed = await staying;
	t.equal(stayed.outcome, 'whole');
	await until(() => running(fleet) === 0);
	t.equal(fleet.entries[0]!.entry.activeRequests, 0);
	await close(paths);
});
