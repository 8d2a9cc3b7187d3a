import tap from 'tap';
import {v7 as uuidv7} from 'uuid';
import {callModel, type CallOptions, type CallResult} from '../../bench/harness/caller.js';
import {keyOf, planCatalogue, threeClasses} from '../../bench/harness/catalogue.js';
import {LocalFleet, until} from '../../bench/harness/local-fleet.js';

const model = 'model';
const workspace = 'cuarto-andino';
const ticket = {...threeClasses[1]!, name: 'ticket', idempotent: false};

async function createFleet(endpoints = 2): Promise<LocalFleet> {
	const fleet = await LocalFleet.create({
		entries: 2, endpoints, zones: ['zone-a', 'zone-b'], models: [model], random: () => 0.5, logLevel: 'fatal',
	});
	await fleet.publish(planCatalogue([model], [workspace], [...threeClasses, ticket]));
	await fleet.connected();
	return fleet;
}

async function call(fleet: LocalFleet, entry: number, idempotencyKey: string, more: Partial<CallOptions> = {}): Promise<CallResult> {
	return callModel({
		address: fleet.entries[entry]!.entry.address, key: keyOf(workspace), className: 'ticket', model, idempotencyKey,
		prompt: `Ticket ${idempotencyKey} [[tokens=20]]`, ...more,
	});
}

/** A caller that does as it is told: what was not run, say because its slot lapsed on a busy machine, it sends again. */
async function callUntilRun(fleet: LocalFleet, entry: number, idempotencyKey: string): Promise<CallResult> {
	let result = await call(fleet, entry, idempotencyKey);
	for (let tries = 0; result.verdict === 'not-run' && tries < 50; tries++) {
		result = await call(fleet, entry, idempotencyKey);
	}

	return result;
}

/** How often the stand-in engines took a ticket in: the truth, whatever the router says. */
function runs(fleet: LocalFleet, idempotencyKey: string): number {
	let total = 0;
	for (const {engine} of fleet.endpoints) {
		for (const [prompt, count] of engine.runsByPrompt) {
			total += prompt.includes(idempotencyKey) ? count : 0;
		}
	}

	return total;
}

// A guest's tablet sends the same ticket to two entries at the same instant, twenty times over. Each
// ticket is printed once: one call gets the answer, the other is told that the key is in use.
tap.test('the same key at two entries at the same instant runs once', async t => {
	await using fleet = await createFleet();
	const keys = Array.from({length: 20}, () => uuidv7());
	const results = await Promise.all(keys.map(async key => Promise.all([callUntilRun(fleet, 0, key), callUntilRun(fleet, 1, key)])));
	t.same(keys.map(key => runs(fleet, key)), keys.map(() => 1));
	const seen = keys.map(key => fleet.endpoints.filter(({engine}) => engine.runsByKey.get(key) === 1).length);
	t.same(seen, keys.map(() => 1), 'the engine is told the key, so that it can refuse a second run itself');
	t.ok(results.every(pair => pair.filter(({outcome}) => outcome === 'whole').length === 1));
	const refused = results.flat().filter(({outcome}) => outcome !== 'whole').map(({code, verdict}) => `${code} ${verdict}`);
	t.same(new Set(refused), new Set(['idempotency_key_in_use may-have-run']));
});

// The caller sends a key again after its answer: the entry that ran it gives the same answer again,
// another entry says that it may have run, and neither runs it.
tap.test('a key that is sent again gets its answer, or may have run, and never a second run', async t => {
	await using fleet = await createFleet();
	const key = uuidv7();
	const first = await call(fleet, 0, key);
	const again = await call(fleet, 0, key);
	const elsewhere = await call(fleet, 1, key);
	t.equal(first.outcome, 'whole');
	t.equal(again.text, first.text);
	t.match(elsewhere, {outcome: 'failed', status: 409, verdict: 'may-have-run'});
	t.equal(runs(fleet, key), 1);
});

// The caller leaves while its ticket runs, and asks again. The ticket runs to its end once, and the
// second call gets the whole answer, or hears that it may have run if it asks before the end.
tap.test('a caller that leaves while its key runs gets the answer when it asks again', async t => {
	await using fleet = await createFleet();
	const key = uuidv7();
	const abort = new AbortController();
	const left = call(fleet, 0, key, {signal: abort.signal});
	await until(() => runs(fleet, key) === 1);
	abort.abort();
	const leftResult = await left;
	t.not(leftResult.outcome, 'whole');
	let result = await call(fleet, 0, key);
	for (let tries = 0; result.outcome !== 'whole' && tries < 100; tries++) {
		t.equal(result.verdict, 'may-have-run');
		result = await call(fleet, 0, key);
	}

	t.equal(result.outcome, 'whole');
	t.equal(runs(fleet, key), 1);
});

// The log is down: a keyed ticket is refused at once as not run, and no engine has seen it. Once the log
// is back the same key runs.
tap.test('with the log down a keyed request is refused as not run, and runs once it is back', async t => {
	await using fleet = await createFleet(1);
	const key = uuidv7();
	await fleet.log.stop();
	t.match(await call(fleet, 0, key), {outcome: 'failed', code: 'claim_unavailable', verdict: 'not-run'});
	t.equal(runs(fleet, key), 0);
	await fleet.log.start();
	const back = await call(fleet, 0, key);
	t.equal(back.outcome, 'whole');
	t.equal(runs(fleet, key), 1);
});

// The engine dies while it runs a ticket. The ticket may have been printed, so it is not tried elsewhere,
// the caller is told so, and the key stays taken. An answer that the log lost does not change that.
tap.test('a key whose engine died may have run and is never run again', async t => {
	await using fleet = await createFleet();
	const key = uuidv7();
	fleet.log.faults.loseAnswers = 1;
	for (const {engine} of fleet.endpoints) {
		engine.faults.crashAfterTokens = 5;
		engine.faults.restartMilliseconds = 100;
	}

	t.match(await call(fleet, 0, key), {outcome: 'failed', verdict: 'may-have-run'});
	t.match(await call(fleet, 1, key), {outcome: 'failed', verdict: 'may-have-run'});
	t.equal(runs(fleet, key), 1);
});

// No endpoint can be reached. The caller is told "not run" only after the claim was released, so the same
// key runs when an endpoint is there, at another entry too.
tap.test('a key that found no slot is free again', async t => {
	await using fleet = await createFleet(1);
	const key = uuidv7();
	await fleet.endpoints[0]!.engine.crash();
	await until(() => fleet.endpoints[0]!.side.phase === 'down');
	t.match(await call(fleet, 0, key), {outcome: 'failed', verdict: 'not-run'});
	await fleet.endpoints[0]!.engine.start();
	await until(() => fleet.endpoints[0]!.side.phase === 'serving');
	const free = await call(fleet, 1, key);
	t.equal(free.outcome, 'whole');
	t.equal(runs(fleet, key), 1);
});

tap.test('a key that is no UUIDv7, or is old, is refused as not run', async t => {
	await using fleet = await createFleet(1);
	t.match(await call(fleet, 0, 'ticket-7'), {status: 400, verdict: 'not-run'});
	t.match(await call(fleet, 0, uuidv7({msecs: Date.now() - 3_600_000})), {status: 400, code: 'idempotency_key_expired', verdict: 'not-run'});
});
