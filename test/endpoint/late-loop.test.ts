import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import tap from 'tap';
import {EngineClient, type EngineEvent} from '../../src/endpoint/index.js';

const idleTimeoutMilliseconds = 100;

async function serve(onRequest: (response: ServerResponse) => void): Promise<{baseUrl: string; [Symbol.asyncDispose](): Promise<void>}> {
	const server = createServer((request, response) => {
		request.resume();
		response.writeHead(200, {'content-type': 'text/event-stream'});
		onRequest(response);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return {
		baseUrl: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
		async [Symbol.asyncDispose]() {
			server.closeAllConnections();
			server.close();
		},
	};
}

function token(index: number): string {
	return `data: ${JSON.stringify({id: 'r', token_index: index})}\n\n`;
}

const ending = `data: ${JSON.stringify({id: 'r', usage: {completion_tokens: 2}})}\n\ndata: [DONE]\n\n`;

async function eventsOf(baseUrl: string): Promise<EngineEvent[]> {
	await using client = EngineClient.create({baseUrl, idleTimeoutMilliseconds});
	const events: EngineEvent[] = [];
	for await (const batch of client.run({requestId: 'r', method: 'POST', path: '/', headers: {}, body: new Uint8Array(), resumeTokens: 0, resumeText: '', priority: 0})) {
		events.push(...batch);
	}

	return events;
}

// A side whose event loop was late took an engine for silent whose tokens had arrived, and ended the stream.
tap.test('an engine whose tokens have arrived is not silent to a late event loop', async t => {
	await using server = await serve(response => {
		response.write(token(0));
		setTimeout(() => {
			response.end(token(1) + ending);
			const until = performance.now() + (2 * idleTimeoutMilliseconds);
			while (performance.now() < until) {
				// The event loop reads nothing meanwhile.
			}
		}, idleTimeoutMilliseconds / 2);
	});
	const events = await eventsOf(server.baseUrl);
	t.same(events.map(({type}) => type), ['token', 'token', 'usage', 'done']);
});

tap.test('an engine that sends nothing more is silent after the idle timeout', async t => {
	await using server = await serve(response => {
		response.write(token(0));
	});
	const startedAt = performance.now();
	const events = await eventsOf(server.baseUrl);
	t.match(events, [{type: 'token'}, {type: 'failed', failure: {message: /sent nothing/v, verdict: 'may-have-run'}}]);
	t.ok(performance.now() - startedAt >= idleTimeoutMilliseconds);
});
