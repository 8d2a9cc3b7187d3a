import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import http, {type IncomingMessage} from 'node:http';
import tap from 'tap';
import {keyOf, planCatalogue} from '../../bench/harness/catalogue.js';
import {LocalFleet, until} from '../../bench/harness/local-fleet.js';

const fleet = await LocalFleet.create({
	entries: 1, endpoints: 0, zones: ['zone-a'], models: [], random: () => 0.5, logLevel: 'fatal',
});
const service = await fleet.addService('kitchen', 'zone-a');
await fleet.publish([
	...planCatalogue([], ['cuarto-andino']),
	{kind: 'service', name: 'kitchen', owner: 'platform', idempotentMethods: ['GET', 'PUT']},
]);
const {entry} = fleet.entries[0]!;
await until(() => entry.fleet.connected.length === 1);
tap.teardown(async () => fleet[Symbol.asyncDispose]());

const [host, port] = entry.address.split(':') as [string, string];

function open(method: string, path: string, headers: Record<string, string> = {}): http.ClientRequest {
	return http.request({host, port, method, path: `/services/${path}`, agent: false, headers: {authorization: `Bearer ${keyOf('cuarto-andino')}`, ...headers}});
}

async function call(method: string, path: string, body = ''): Promise<{status: number | undefined; headers: IncomingMessage['headers']; text: string}> {
	const request = open(method, path, {'content-type': 'text/plain', 'content-length': String(Buffer.byteLength(body))});
	request.end(body);
	const [response] = await once(request, 'response') as [IncomingMessage];
	return {status: response.statusCode, headers: response.headers, text: await textOf(response)};
}

async function textOf(response: IncomingMessage): Promise<string> {
	let text = '';
	for await (const part of response.setEncoding('latin1')) {
		text += part as string;
	}

	return text;
}

tap.test('a call reaches the service with its method and path, without the caller\'s key', async t => {
	const answer = await call('PUT', 'kitchen/echo/x?table=4', 'no nuts');
	t.match(answer, {status: 200, text: 'no nuts', headers: {'x-echo-method': 'PUT', 'x-echo-path': '/echo/x?table=4', 'content-type': 'text/plain'}});
	t.equal(answer.headers['x-echo-request-id'], answer.headers['cassiaflow-request-id']);
	t.match(await call('GET', 'kitchen/nothing'), {status: 404, text: /no such path/v}, 'responses of the service are passed through');
	t.match(await call('GET', 'cellar/echo'), {status: 404, text: /model_not_found/v});
});

tap.test('bodies of any length stream both ways', async t => {
	const large = Buffer.alloc(3_000_000, 'tray ').toString();
	const {text} = await call('PUT', 'kitchen/echo', large);
	t.ok(text === large, 'three megabytes there and back');
	const download = await call('GET', 'kitchen/bytes?count=5000000');
	t.equal(download.text.length, 5_000_000);
});

// The caller sends one part, reads it back, and only then sends the next: neither direction waits for
// the other to be complete.
tap.test('a response may begin before the request body has ended', async t => {
	const request = open('PUT', 'kitchen/echo');
	request.write('first');
	const [response] = await once(request, 'response') as [IncomingMessage];
	const [first] = await once(response, 'data') as [Uint8Array];
	t.equal(Buffer.from(first).toString(), 'first');
	request.end('second');
	t.equal(await textOf(response), 'second');
});

// A ticket runs and its response is lost. The caller gets may-have-run, and the ticket ran once, because
// POST is not among the service's idempotent methods.
tap.test('a call that may have run is not run again', async t => {
	service.faults.loseAnswers = 1;
	const answer = await call('POST', 'kitchen/tickets', 'lost ticket');
	t.match(answer, {status: 502, headers: {'cassiaflow-verdict': 'may-have-run', 'x-should-retry': 'false'}, text: /may-have-run/v});
	t.equal(service.runsByBody.get('lost ticket'), 1);
});

// The service closes the connection in the middle of its response. The status line has been sent, so the
// caller's connection is broken off and the caller cannot take the partial response for a complete one.
tap.test('a truncated response does not end cleanly', async t => {
	service.faults.truncateAnswers = 1;
	await t.rejects(call('POST', 'kitchen/tickets', 'cut ticket'));
	t.match(await call('POST', 'kitchen/tickets', 'next ticket'), {status: 200});
});

// A caller disconnects while it sends its body: the call is cancelled, and its slot is free for the next.
tap.test('a body that never ends does not keep its slot', async t => {
	const request = open('POST', 'kitchen/echo');
	request.on('error', () => undefined);
	request.write('half');
	await once(request, 'response');
	request.destroy();
	await until(() => entry.activeRequests === 0);
	t.match(await call('PUT', 'kitchen/echo', 'after'), {status: 200, text: 'after'});
});

// A download that its caller does not read stops at its flow-control window, and another caller is served meanwhile.
tap.test('a slow reader stalls only its own call', async t => {
	const request = open('GET', 'kitchen/bytes?count=200000000');
	request.end();
	const [response] = await once(request, 'response') as [IncomingMessage];
	response.pause();
	t.match(await call('PUT', 'kitchen/echo', 'meanwhile'), {status: 200, text: 'meanwhile'});
	response.destroy();
	await until(() => entry.activeRequests === 0);
});
