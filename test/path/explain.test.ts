import tap from 'tap';
import {callModel} from '../../bench/harness/caller.js';
import {keyOf, planCatalogue} from '../../bench/harness/catalogue.js';
import {LocalFleet} from '../../bench/harness/local-fleet.js';

const model = 'model';
const workspace = 'stickwerk';

async function createFleet(): Promise<LocalFleet> {
	const fleet = await LocalFleet.create({
		entries: 1, endpoints: 2, zones: ['zone-a'], models: [model], random: () => 0.5, logLevel: 'fatal',
	});
	await fleet.publish(planCatalogue([model], [workspace]));
	await fleet.connected();
	return fleet;
}

tap.test('the journal explains a served request from classification to its end', async t => {
	await using fleet = await createFleet();
	const {entry} = fleet.entries[0]!;
	const result = await callModel({address: entry.address, key: keyOf(workspace), model, prompt: 'Which thread? [[tokens=8]]'});
	const decisions = entry.telemetry.journal.explain(result.requestId!);
	t.same(decisions.map(({code}) => code), ['classified', 'ranked', 'reserved', 'offered', 'started', 'finished']);
	t.match(decisions[0]!.detail, {workspace, class: `${workspace}/answer`, tier: 0});
	t.match(decisions.at(-1)!.detail, {tokens: 8, attempts: 1});
	t.notMatch(JSON.stringify(decisions), /Which thread/v, 'the journal holds no prompt text');
});

tap.test('the journal explains a refused request by its reason and verdict', async t => {
	await using fleet = await createFleet();
	const {entry} = fleet.entries[0]!;
	const result = await callModel({address: entry.address, key: keyOf(workspace), model: 'unknown', prompt: 'x'});
	t.match(entry.telemetry.journal.explain(result.requestId!).at(-1), {code: 'failed', detail: {reason: 'model_not_found', verdict: 'not-run'}});
});

// An engine crashes in the middle of a response and the entry resumes the stream at the other endpoint, so the
// caller sees no interruption. The crash comes after a hundred tokens, so that some have reached the entry even on
// a busy machine. The journal shows the failure, its verdict and where the request was resumed.
tap.test('the journal explains why and where a request was resumed', async t => {
	await using fleet = await createFleet();
	const {entry} = fleet.entries[0]!;
	fleet.endpoints[0]!.engine.faults.crashAfterTokens = 100;
	const results = await Promise.all(Array.from({length: 4}, async (_, index) => callModel({
		address: entry.address, key: keyOf(workspace), model, prompt: `Long ${index} [[tokens=200]]`,
	})));
	const explained = results.map(({requestId}) => entry.telemetry.journal.explain(requestId!));
	const resumed = explained.find(decisions => decisions.some(({code}) => code === 'resumed'))!;
	t.ok(resumed, 'a request was resumed');
	t.match(resumed.find(({code}) => code === 'retried')!.detail, {verdict: 'may-have-run'});
	t.equal(resumed.at(-1)!.code, 'finished');
});
