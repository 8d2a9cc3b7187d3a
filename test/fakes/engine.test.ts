import tap from 'tap';
import {expectedAnswer, FakeEngine} from '../../fakes/index.js';

type SentEvent = {id: string; token_index?: number; choices: Array<{delta?: {content?: string}}>};

function chat(prompt: string): {model: string; stream: boolean; messages: Array<{role: string; content: string}>} {
	return {model: 'model', stream: true, messages: [{role: 'user', content: prompt}]};
}

function post(engine: FakeEngine, body: Record<string, unknown>, headers: Record<string, string> = {}): Promise<Response> {
	return fetch(`${engine.url}/v1/chat/completions`, {method: 'POST', body: JSON.stringify(body), headers});
}

function events(text: string): SentEvent[] {
	const lines = text.split('\n\n').filter(line => line.startsWith('data: {'));
	return lines.map(line => JSON.parse(line.slice('data: '.length)) as SentEvent);
}

function contentOf(list: SentEvent[]): string {
	return list.map(event => event.choices[0]?.delta?.content ?? '').join('');
}

async function textOf(response: Promise<Response>): Promise<string> {
	const received = await response;
	return received.text();
}

async function statusOf(response: Promise<Response>): Promise<number> {
	const received = await response;
	await received.text();
	return received.status;
}

const fast = {stepMilliseconds: 0.2, stepMillisecondsPerRequest: 0};

tap.test('a complete response has the text expected for its body, with tokens numbered from 0', async t => {
	await using engine = await FakeEngine.create({costs: fast});
	const body = chat('hello [[tokens=40]]');
	const text = await textOf(post(engine, body, {'x-request-id': 'r1', 'idempotency-key': 'k1'}));
	const list = events(text);
	t.equal(contentOf(list), expectedAnswer(JSON.stringify(body)));
	t.same(list.flatMap(event => event.token_index ?? []), Array.from({length: 40}, (_, index) => index));
	t.ok(list.every(event => event.id === 'r1'));
	t.ok(text.endsWith('data: [DONE]\n\n'));
	t.equal(engine.runsByRequest.get('r1'), 1);
	t.equal(engine.runsByKey.get('k1'), 1);
	t.equal(engine.tokensProduced, 40);
});

tap.test('a resumed response continues with the next token of the same text', async t => {
	await using engine = await FakeEngine.create({costs: fast});
	const body = chat('resume me [[tokens=20]]');
	const whole = expectedAnswer(JSON.stringify(body));
	const first = contentOf(events(await textOf(post(engine, body))).slice(0, 8));
	const rest = events(await textOf(post(engine, {...body, resume_text: first}, {'x-resume-tokens': '8'})));
	t.equal(first + contentOf(rest), whole);
	t.equal(rest[0]?.token_index, 8);
	t.equal(engine.resumeMismatches, 0);
});

tap.test('max_tokens limits the length of a response', async t => {
	await using engine = await FakeEngine.create({costs: fast});
	const text = await textOf(post(engine, {...chat('long [[tokens=500]]'), max_tokens: 5}));
	t.equal(events(text).filter(event => event.token_index !== undefined).length, 5);
	t.match(text, '"finish_reason":"length"');
});

tap.test('closing the connection cancels', async t => {
	await using engine = await FakeEngine.create();
	const controller = new AbortController();
	const response = await fetch(`${engine.url}/v1/chat/completions`, {method: 'POST', body: JSON.stringify(chat('long [[tokens=5000]]')), signal: controller.signal});
	await response.body!.getReader().read();
	controller.abort();
	while (engine.running > 0) {
		await new Promise(resolve => {
			setTimeout(resolve, 5);
		});
	}

	t.ok(engine.tokensProduced < 5000);
	t.equal(engine.tokensDiscarded, engine.tokensProduced);
});

tap.test('a crash breaks the stream, and the engine restarts on the same port', async t => {
	await using engine = await FakeEngine.create({costs: fast, faults: {crashAfterTokens: 5}});
	await t.rejects(async () => {
		const response = await post(engine, chat('cut [[tokens=50]]'));
		await response.text();
	});
	await t.rejects(post(engine, chat('down')));
	await engine.start();
	t.equal(await statusOf(fetch(`${engine.url}/health`)), 200);
	t.equal(engine.crashes, 1);
});

tap.test('faults can be set over HTTP, and an unknown one is rejected', async t => {
	await using engine = await FakeEngine.create({costs: fast});
	const changed = await fetch(`${engine.url}/faults`, {method: 'POST', body: JSON.stringify({truncateStreams: 1, slowFactor: 2})});
	t.equal(changed.status, 200);
	t.equal(engine.faults.slowFactor, 2);
	t.equal(await statusOf(fetch(`${engine.url}/faults`, {method: 'POST', body: JSON.stringify({nonsense: 1})})), 400);
	const text = await textOf(post(engine, chat('cut [[tokens=40]]')));
	t.notMatch(text, '[DONE]');
	t.equal(engine.faults.truncateStreams, 0);
});

tap.test('an engine that checks fencing numbers refuses an old order; one that does not accepts it', async t => {
	await using checking = await FakeEngine.create();
	await using unchecked = await FakeEngine.create({checksFences: false});
	const order = (engine: FakeEngine, fence: number): Promise<Response> => fetch(`${engine.url}/orders`, {
		method: 'POST', body: JSON.stringify({order: 'load-model', name: 'model', version: String(fence), fence}),
	});
	t.equal(await statusOf(order(checking, 7)), 200);
	t.equal(await statusOf(order(checking, 3)), 409);
	t.equal(checking.loaded.models.get('model'), '7');
	t.equal(await statusOf(order(unchecked, 7)), 200);
	t.equal(await statusOf(order(unchecked, 3)), 200);
	t.equal(unchecked.loaded.models.get('model'), '3');
});
