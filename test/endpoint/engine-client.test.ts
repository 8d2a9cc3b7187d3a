import {Buffer} from 'node:buffer';
import {setTimeout as delay} from 'node:timers/promises';
import tap from 'tap';
import {expectedAnswer, FakeEngine} from '../../fakes/index.js';
import {EngineClient, type EngineEvent, type EngineRun} from '../../src/endpoint/index.js';

const costs = {stepMilliseconds: 0.5, stepMillisecondsPerRequest: 0};
/** Steps so long that the engine can't produce twenty tokens in one turn, even where it catches up after a pause of the process. */
const slowCosts = {...costs, stepMilliseconds: 5};

function runOf(prompt: string, more: Partial<EngineRun> = {}): EngineRun {
	const body = Buffer.from(JSON.stringify({model: 'model', stream: true, messages: [{role: 'user', content: prompt}]}));
	return {
		requestId: `id-${prompt.slice(0, 8)}`, method: 'POST', path: '/v1/chat/completions', headers: {}, body, resumeTokens: 0, resumeText: '', priority: 0, ...more,
	};
}

async function collect(events: AsyncGenerator<EngineEvent[]>): Promise<EngineEvent[]> {
	const all: EngineEvent[] = [];
	for await (const turn of events) {
		all.push(...turn);
	}

	return all;
}

function textOf(events: EngineEvent[]): string {
	const tokens = events.filter(event => event.type === 'token');
	return tokens.map(event => (JSON.parse(event.data) as {choices: Array<{delta: {content: string}}>}).choices[0]!.delta.content).join('');
}

function expected(run: EngineRun): string {
	return expectedAnswer(Buffer.from(run.body).toString('utf8'));
}

tap.test('a complete response yields each token, then usage, then done', async t => {
	await using engine = await FakeEngine.create({costs});
	await using client = EngineClient.create({baseUrl: engine.url});
	const run = runOf('hello [[tokens=30]]', {idempotencyKey: 'k'});
	const events = await collect(client.run(run));
	t.equal(textOf(events), expected(run));
	t.same(events.slice(-2).map(event => event.type), ['usage', 'done']);
	t.equal(engine.runsByKey.get('k'), 1);
});

tap.test('a resumed call continues with the next token', async t => {
	await using engine = await FakeEngine.create({costs});
	await using client = EngineClient.create({baseUrl: engine.url});
	const run = runOf('resume [[tokens=30]]');
	const first = await collect(client.run(run));
	const resumeText = textOf(first.slice(0, 12));
	const rest = await collect(client.run({...run, resumeTokens: 12, resumeText}));
	t.equal(resumeText + textOf(rest), expected(run));
	t.equal(engine.resumeMismatches, 0);
});

tap.test('invalid events end the response as failed and are never forwarded', async t => {
	// The engine repeats or skips events, sends a foreign one or truncates the stream: the caller would receive wrong text.
	// The response must end before the first such event, and everything before it must be correct.
	for (const fault of ['duplicateEvents', 'dropEvents', 'foreignEvents', 'truncateStreams'] as const) {
		await using engine = await FakeEngine.create({costs: slowCosts});
		await using client = EngineClient.create({baseUrl: engine.url});
		const run = runOf('fault [[tokens=40]]');
		const events: EngineEvent[] = [];
		for await (const turn of client.run(run)) {
			events.push(...turn);
			engine.faults[fault] ||= events.length < 20 ? 1 : 0;
		}

		t.match(events.at(-1), {type: 'failed', failure: {kind: 'bad_answer', verdict: 'may-have-run'}}, fault);
		t.ok(expected(run).startsWith(textOf(events)), fault);
	}
});

tap.test('events exchanged between two requests fail both', async t => {
	// The engine writes an event of one stream into another. The receiving stream sees a foreign request
	// id, the other one a gap: neither response may end as complete with wrong text.
	await using engine = await FakeEngine.create({costs, faults: {crossEvents: 1}});
	await using client = EngineClient.create({baseUrl: engine.url});
	const runs = [runOf('first [[tokens=40]]'), runOf('second [[tokens=40]]')];
	const responses = await Promise.all(runs.map(run => collect(client.run(run))));
	for (const [index, events] of responses.entries()) {
		t.match(events.at(-1), {type: 'failed', failure: {kind: 'bad_answer'}});
		t.ok(expected(runs[index]!).startsWith(textOf(events)));
	}
});

tap.test('a response that lacks its last token is not complete', async t => {
	// The engine writes the last token of one response into another stream and then ends the first with usage
	// and [DONE]. No later token index reveals the gap, so the caller would take 59 of 60 tokens for the complete
	// response; only the count in the usage event shows it (soak seed 5).
	await using engine = await FakeEngine.create({costs, faults: {dropEvents: 1}});
	await using client = EngineClient.create({baseUrl: engine.url});
	t.match(await collect(client.run(runOf('one token [[tokens=1]]'))), [{type: 'usage'}, {type: 'failed', failure: {kind: 'bad_answer', verdict: 'may-have-run'}}]);
});

tap.test('a late event of an earlier request is not forwarded', async t => {
	await using engine = await FakeEngine.create({costs});
	await using client = EngineClient.create({baseUrl: engine.url});
	await collect(client.run(runOf('earlier [[tokens=3]]')));
	engine.faults.lateEvents = 1;
	t.match((await collect(client.run(runOf('later [[tokens=3]]')))), [{type: 'failed', failure: {kind: 'bad_answer'}}]);
});

tap.test('a crash in mid-stream keeps the events before it, and the request may have run', async t => {
	await using engine = await FakeEngine.create({costs, faults: {crashAfterTokens: 10}});
	await using client = EngineClient.create({baseUrl: engine.url});
	const run = runOf('crash [[tokens=40]]');
	const events = await collect(client.run(run));
	t.match(events.at(-1), {type: 'failed', failure: {kind: 'endpoint_lost', verdict: 'may-have-run'}});
	t.ok(expected(run).startsWith(textOf(events)));
});

tap.test('verdicts: a refused or unreachable call did not run, a server error may have run', async t => {
	await using engine = await FakeEngine.create({costs, faults: {refuseRequests: 1}});
	await using client = EngineClient.create({baseUrl: engine.url});
	t.match(await collect(client.run(runOf('a'))), [{type: 'failed', failure: {kind: 'queue_full', verdict: 'not-run', retryAfterMilliseconds: 1000}}]);
	engine.faults.mode = 'error';
	t.match(await collect(client.run(runOf('b'))), [{type: 'failed', failure: {verdict: 'may-have-run'}}]);
	await engine.crash();
	t.match(await collect(client.run(runOf('c', {idempotencyKey: 'k'}))), [{type: 'failed', failure: {kind: 'no_endpoint', verdict: 'not-run'}}]);
	t.equal(engine.runsByRequest.size, 0);
});

tap.test('a call to a frozen engine fails after the idle timeout', async t => {
	await using engine = await FakeEngine.create({costs, faults: {frozen: true}});
	await using client = EngineClient.create({baseUrl: engine.url, idleTimeoutMilliseconds: 50});
	t.match(await collect(client.run(runOf('frozen'))), [{type: 'failed', failure: {verdict: 'may-have-run'}}]);
	engine.faults.mode = 'hang';
	t.match(await collect(client.run(runOf('hangs'))), [{type: 'failed', failure: {verdict: 'may-have-run'}}]);
});

tap.test('ending the iteration or aborting cancels the run at the engine', async t => {
	await using engine = await FakeEngine.create();
	await using client = EngineClient.create({baseUrl: engine.url});
	const abandoned = client.run(runOf('left [[tokens=4000]]'));
	const turn = await abandoned.next();
	t.notOk(turn.done);
	await abandoned.return(undefined);

	const controller = new AbortController();
	for await (const turn of client.run(runOf('abort [[tokens=4000]]', {signal: controller.signal}))) {
		controller.abort();
		t.ok(turn.length > 0);
	}

	while (engine.running > 0) {
		await delay(5);
	}

	t.ok(engine.tokensProduced < 8000);
});

tap.test('a consumer that does not read applies backpressure to its own stream in bounded memory', async t => {
	// The consumer reads one batch and then nothing, while the engine continues. The connection must
	// stay unread, and the rest must arrive completely and in order once the consumer reads again.
	await using engine = await FakeEngine.create({costs: {stepMilliseconds: 0.01, stepMillisecondsPerRequest: 0}});
	await using client = EngineClient.create({baseUrl: engine.url});
	const run = runOf('slow [[tokens=6000]]');
	const events = client.run(run);
	const first = await events.next();
	while (engine.running > 0) {
		await delay(5);
	}

	const rest = await collect(events);
	const all = [...(first.value as EngineEvent[]), ...rest];
	t.equal(all.at(-1)?.type, 'done');
	t.equal(textOf(all), expected(run));
});
