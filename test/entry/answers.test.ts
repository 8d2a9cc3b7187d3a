import {once} from 'node:events';
import {createServer, get, IncomingMessage} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import OpenAI, {APIError} from 'openai';
import tap from 'tap';
import {PipelinedResponse} from '../../src/connections/index.js';
import {createFailure, FailureKind, type RequestError, Verdict} from '../../src/model/index.js';
import {readBody, sendFailure, StreamingResponse, BufferedResponse} from '../../src/entry/protocol/index.js';

type Handle = (request: IncomingMessage, response: PipelinedResponse) => unknown;
type TestServer = AsyncDisposable & {url: string; port: number};

async function serve(handle: Handle): Promise<TestServer> {
	const httpServer = createServer({ServerResponse: PipelinedResponse, IncomingMessage}, (request, response) => {
		void handle(request, response);
	}).listen(0, '127.0.0.1');
	await once(httpServer, 'listening');
	const {port} = httpServer.address() as AddressInfo;
	return {
		port,
		url: `http://127.0.0.1:${port}`,
		async [Symbol.asyncDispose]() {
			httpServer.close();
			httpServer.closeAllConnections();
			await once(httpServer, 'close');
		},
	};
}

const createChunk = (choice: Record<string, unknown>) => JSON.stringify({id: 'r1', object: 'chat.completion.chunk', created: 7, model: 'loom', choices: [{index: 0, ...choice}]});
const deltaChunk = (delta: Record<string, unknown>, finish?: string) => createChunk({delta, finish_reason: finish});
const usage = JSON.stringify({id: 'r1', object: 'chat.completion.chunk', created: 7, model: 'loom', choices: [], usage: {prompt_tokens: 1, completion_tokens: 2, total_tokens: 3}});
const endpointLost = createFailure(FailureKind.endpointLost, 'The endpoint went away.', {verdict: Verdict.mayHaveRun});
const chatRequest = {model: 'loom', messages: [{role: 'user' as const, content: 'hem'}]};
const createClient = (server: TestServer) => new OpenAI({apiKey: 'k', baseURL: `${server.url}/v1`});

tap.test('a standard client reads a streamed response, with usage only if requested', async t => {
	for (const includeUsage of [true, false]) {
		await using server = await serve((_, response) => {
			const writer = StreamingResponse.create(response, {requestId: 'r1', includeUsage});
			t.notOk(writer.hasStarted);
			writer.write([deltaChunk({role: 'assistant', content: 'one'}), deltaChunk({content: ' two'}, 'stop')]);
			t.ok(writer.hasStarted);
			writer.finish(usage);
		});
		const {data, response} = await createClient(server).chat.completions.create({...chatRequest, stream: true}).withResponse();
		const chunks = [];
		for await (const event of data) {
			chunks.push(event);
		}

		t.equal(chunks.map(event => event.choices[0]?.delta.content ?? '').join(''), 'one two');
		t.equal(chunks.at(-1)?.usage?.total_tokens, includeUsage ? 3 : undefined);
		t.equal(response.headers.get('cassiaflow-request-id'), 'r1');
	}
});

tap.test('a buffered response joins text, tool calls and usage', async t => {
	await using server = await serve((_, response) => {
		const writer = BufferedResponse.create(response, {requestId: 'r1', kind: 'chat'});
		writer.write([
			deltaChunk({role: 'assistant', content: 'st'}),
			deltaChunk({content: 'itch', tool_calls: [{index: 0, id: 'c1', type: 'function', function: {name: 'cut', arguments: '{"a"'}}]}),
			deltaChunk({tool_calls: [{index: 0, function: {arguments: ':1}'}}, {index: 1, id: 'c2', type: 'function', function: {name: 'sew', arguments: '{}'}}]}, 'tool_calls'),
		]);
		writer.finish(usage);
	});
	const writer = await createClient(server).chat.completions.create(chatRequest);
	t.match(writer, {id: 'r1', object: 'chat.completion', created: 7, model: 'loom', usage: {total_tokens: 3}});
	t.match(writer.choices[0], {finish_reason: 'tool_calls', message: {
		role: 'assistant', content: 'stitch', tool_calls: [
			{id: 'c1', type: 'function', function: {name: 'cut', arguments: '{"a":1}'}},
			{id: 'c2', function: {name: 'sew', arguments: '{}'}},
		],
	}});
});

tap.test('a buffered completion is joined as text', async t => {
	await using server = await serve((_, response) => {
		const writer = BufferedResponse.create(response, {requestId: 'r1', kind: 'completion'});
		writer.write(['{"id":"r1","choices":[{"index":0,"text":"on"}]}', '{"id":"r1","choices":[{"index":0,"text":"e","finish_reason":"length"}]}']);
		writer.finish();
	});
	t.match(await createClient(server).completions.create({model: 'loom', prompt: 'x'}), {object: 'text_completion', choices: [{text: 'one', finish_reason: 'length'}]});
});

tap.test('a failure before the first byte is sent as a status with the verdict and the retry delay', async t => {
	await using server = await serve((_, response) => {
		const writer = StreamingResponse.create(response, {requestId: 'r1', includeUsage: false});
		writer.fail(createFailure(FailureKind.queueFull, 'The queue is full.', {retryAfterMilliseconds: 1200}));
	});
	const response = await fetch(server.url);
	t.equal(response.status, 429);
	t.match(Object.fromEntries(response.headers), {'cassiaflow-request-id': 'r1', 'cassiaflow-verdict': 'not-run', 'retry-after': '2', 'retry-after-ms': '1200'});
	t.match(await response.json(), {error: {message: 'The queue is full.', type: 'rate_limit_error', code: 'queue_full', verdict: 'not-run', request_id: 'r1'}});
});

tap.test('a standard client does not retry a request that may have run', async t => {
	// Standard clients retry automatically after a 502, and the request would run twice. The response
	// therefore forbids the retry, and the caller gets one error with the verdict may-have-run.
	let calls = 0;
	await using server = await serve((_, response) => {
		calls++;
		sendFailure(response, endpointLost, 'r1');
	});
	const error: unknown = await createClient(server).chat.completions.create(chatRequest).catch((error_: unknown) => error_);
	t.ok(error instanceof APIError);
	t.match(error, {status: 502, code: 'endpoint_lost', error: {verdict: 'may-have-run'}});
	t.equal(calls, 1);
});

tap.test('a failure after the first byte is an error event without a clean end', async t => {
	// The endpoint is lost after the caller has read one token. The caller gets an error event with the verdict, and
	// its connection is closed, so that neither a standard client nor a plain HTTP reader takes the partial
	// response for a complete one.
	await using server = await serve((_, response) => {
		const writer = StreamingResponse.create(response, {requestId: 'r1', includeUsage: false});
		writer.write([deltaChunk({content: 'one'})]);
		writer.fail(endpointLost);
		writer.finish();
	});
	const stream = await createClient(server).chat.completions.create({...chatRequest, stream: true});
	const texts: string[] = [];
	const error: unknown = await readAll(stream, texts).catch((error_: unknown) => error_);
	t.match(error, {error: {code: 'endpoint_lost', verdict: 'may-have-run'}});
	t.same(texts, ['one']);
	const plain = await fetch(server.url);
	await t.rejects(plain.text(), 'the body has no clean end');
});

tap.test('a caller that reads with a short delay still gets the verdict', async t => {
	// The caller reads a token and is busy briefly (soak seeds 12 and 108). Meanwhile the endpoint is lost and the
	// error event is sent. If the connection was closed at once, the caller's HTTP library would discard its
	// buffer, and the response would end without a verdict.
	await using server = await serve((_, response) => {
		const writer = StreamingResponse.create(response, {requestId: 'r1', includeUsage: false});
		writer.write([deltaChunk({content: 'one'})]);
		setTimeout(() => {
			writer.fail(endpointLost);
		}, 20);
	});
	const response = await new Promise<IncomingMessage>(resolve => {
		get(server.url, resolve);
	});
	let text = '';
	response.setEncoding('utf8');
	const reading = (async () => {
		for await (const part of response) {
			text += part as string;
			await delay(100);
		}
	})();
	await t.rejects(reading, 'the body has no clean end');
	t.match(text, '"verdict":"may-have-run"');
});

tap.test('a slow caller is detected, and waiting for it ends when it leaves', async t => {
	// The caller sends a request and reads nothing: once the kernel's buffers are full, `write` returns false.
	// Then the caller closes its connection, and `drained` must resolve instead of waiting forever.
	const events = new EventTarget();
	const waited = once(events, 'drained');
	await using server = await serve(async (_, response) => {
		const writer = StreamingResponse.create(response, {requestId: 'r1', includeUsage: false});
		let writes = 0;
		while (writer.write(['x'.repeat(1_000_000)]) && writes < 100) {
			writes++;
		}

		t.ok(writes < 100, 'write reported that the caller is slow');
		caller.destroy();
		await writer.drained();
		events.dispatchEvent(new Event('drained'));
	});
	const caller = connect(server.port, '127.0.0.1').pause();
	caller.write('GET / HTTP/1.1\r\nHost: x\r\n\r\n');
	await waited;
	t.pass('the wait ended');
});

tap.test('an oversized body is refused with a readable response, with or without a Content-Length', async t => {
	await using server = await serve(async (request, response) => {
		try {
			const body = await readBody(request, 1000);
			response.end(String(body.length));
		} catch (error) {
			sendFailure(response, (error as RequestError).failure);
		}
	});
	const post = async (body: string | ReadableStream<Uint8Array>) => {
		const response = await fetch(server.url, {method: 'POST', body, duplex: 'half'});
		return {status: response.status, text: await response.text()};
	};

	t.match(await post('x'.repeat(1000)), {status: 200, text: '1000'});
	t.match(await post('x'.repeat(5_000_000)), {status: 413});
	t.match(await post(new Blob(['x'.repeat(100_000)]).stream()), {status: 413, text: /1000 bytes/v});
});

async function readAll(stream: AsyncIterable<OpenAI.ChatCompletionChunk>, texts: string[]): Promise<void> {
	for await (const event of stream) {
		texts.push(event.choices[0]?.delta.content ?? '');
	}
}
