import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import http from 'node:http';
import net, {type AddressInfo} from 'node:net';
import fc from 'fast-check';
import tap from 'tap';
import {callModel} from '../../bench/harness/caller.js';
import {keyOf, planCatalogue} from '../../bench/harness/catalogue.js';
import {LocalFleet, until} from '../../bench/harness/local-fleet.js';
import {encodeFrame, type Message} from '../../src/wire/index.js';

const model = 'model';
const fleet = await LocalFleet.create({
	entries: 1, endpoints: 1, zones: ['zone-a'], models: [model], random: () => 0.5, logLevel: 'fatal',
});
await fleet.publish(planCatalogue([model], ['stickwerk']));
await fleet.connected();
tap.teardown(async () => {
	agent.destroy();
	await fleet[Symbol.asyncDispose]();
});

const {entry} = fleet.entries[0]!;
const {side} = fleet.endpoints[0]!;
const key = keyOf('stickwerk');
const [host, port] = entry.address.split(':') as [string, string];
const agent = new http.Agent({keepAlive: true});
const chat = '/v1/chat/completions';
const good = JSON.stringify({model, messages: [{role: 'user', content: 'x [[tokens=2]]'}]});

type Sent = {method?: string; path?: string; headers?: Record<string, string>; body?: string | Uint8Array};

async function send({method = 'POST', path = chat, headers = {}, body = good}: Sent): Promise<{status: number; code: string | undefined; verdict: string | undefined}> {
	const request = http.request({host, port, method, path, agent, headers: {authorization: `Bearer ${key}`, ...headers}});
	request.end(method === 'GET' ? undefined : body);
	const [response] = await once(request, 'response') as [http.IncomingMessage];
	let text = '';
	for await (const part of response.setEncoding('utf8')) {
		text += part as string;
	}

	const error = text.startsWith('{') ? (JSON.parse(text) as {error?: {code: string; verdict: string}}).error : undefined;
	return {status: response.statusCode ?? 0, code: error?.code, verdict: error?.verdict};
}

/** Runs a stream action the action and returns its outcome, which the action must not affect. */
async function outcomeOfStreamDuring(action: () => Promise<void>): Promise<string> {
	const running = callModel({address: entry.address, key, model, prompt: 'A concurrent stream [[tokens=150]]'});
	await action();
	const result = await running;
	return result.outcome;
}

const refusals: Array<[string, Sent, number, string | undefined]> = [
	['unknown key', {headers: {authorization: 'Bearer nobody'}}, 401, 'invalid_api_key'],
	['no key', {headers: {authorization: ''}}, 401, 'invalid_api_key'],
	['unknown class', {headers: {'cassiaflow-class': 'nothing'}}, 400, 'class_not_found'],
	['unknown model', {body: good.replace(':"model"', ':"nothing"')}, 404, 'model_not_found'],
	['malformed JSON', {body: '{"model":'}, 400, 'bad_request'],
	['no UTF-8', {body: Buffer.from([0x7B, 0xFF])}, 400, 'bad_request'],
	['empty body', {body: ''}, 400, 'bad_request'],
	['oversized body', {body: Buffer.alloc(5_000_000, 0x20)}, 413, 'request_too_large'],
	['oversized header', {method: 'GET', path: '/v1/models', headers: {'x-large': 'x'.repeat(40_000)}}, 431, undefined],
	['unknown path', {path: '/v2/chat'}, 404, 'unknown_path'],
	['wrong method', {method: 'GET'}, 405, 'method_not_allowed'],
	['a service path that names a host', {path: '/services/kitchen//127.0.0.1/x'}, 400, 'bad_request'],
];

tap.test('each bad request gets its specific refusal, and a concurrent stream is not affected', async t => {
	const outcome = await outcomeOfStreamDuring(async () => {
		for (const [name, sent, status, code] of refusals) {
			const answer = await send(sent);
			t.match(answer, {status, code}, name);
			t.equal(answer.verdict, code === undefined ? undefined : 'not-run', `${name}: verdict`);
		}
	});
	t.equal(outcome, 'whole');
	t.match(await send({}), {status: 200});
});

tap.test('fuzz: the entry answers any body with 200, 400 or 404 and keeps serving', async t => {
	const almostValid = fc.record({model: fc.constant(model), messages: fc.anything()}).map(value => Buffer.from(asJson(value)));
	const bodies = fc.oneof(fc.uint8Array({maxLength: 100}), fc.json().map(text => Buffer.from(text)), almostValid);
	const outcome = await outcomeOfStreamDuring(async () => {
		await fc.assert(fc.asyncProperty(bodies, async body => {
			const {status, verdict} = await send({body});
			return status === 200 || (status === 400 && verdict === 'not-run') || status === 404;
		}), {seed: 8, numRuns: 200});
	});
	t.equal(outcome, 'whole');
});

tap.test('bytes that are not HTTP close only their own connection', async t => {
	const outcome = await outcomeOfStreamDuring(async () => {
		for (const bytes of ['\0\u0001\u0002garbage\r\n\r\n', 'POST / HTTP/9.9\r\n\r\n', 'POST /v1/models HTTP/1.1\r\nHost: x\r\nContent-Length: nine\r\n\r\n']) {
			await closedAfter(`${host}:${port}`, Buffer.from(bytes));
		}
	});
	t.equal(outcome, 'whole');
});

// A protocol violation closes only the connection on which it occurs: the stream between the entry and
// the same side continues to its last token.
tap.test('a side closes the connection of a peer that sends invalid frames', async t => {
	const hello: Message = {type: 'hello', protocol: 1, role: 'entry', instance: 'stranger', zone: 'zone-a', catalogueOffset: 0};
	const frames: Array<[string, Uint8Array[]]> = [
		['random bytes', [Buffer.from('GET / HTTP/1.1\r\n\r\n')]],
		['an oversized frame', [Buffer.from([0x7F, 0xFF, 0xFF, 0xFF])]],
		['an unknown type', [encodeFrame(hello), encodeFrame({...hello, type: 'nonsense'} as unknown as Message)]],
		['no hello first', [encodeFrame({type: 'withdraw', stream: 1, request: 'r'})]],
		['an old protocol', [encodeFrame({...hello, protocol: 0})]],
		['a message that only sides send', [encodeFrame(hello), encodeFrame({type: 'offer', stream: 1, request: 'r', holdMilliseconds: 1})]],
	];
	const outcome = await outcomeOfStreamDuring(async () => {
		for (const [name, parts] of frames) {
			await closedAfter(side.address, Buffer.concat(parts));
			t.pass(name);
		}

		const truncated = net.connect(portOf(side.address), host);
		truncated.end(encodeFrame(hello).subarray(0, 9));
		await closeOf(truncated.resume());
	});
	t.equal(outcome, 'whole');
});

// The membership list names a side that sends garbage. The entry closes that connection after each
// attempt, and callers are served by the working side without a failure.
tap.test('an entry tolerates a side that sends garbage', async t => {
	let connectionCount = 0;
	const rogue = net.createServer(socket => {
		connectionCount++;
		socket.on('error', ignore);
		socket.write(Buffer.alloc(100, 0xA7));
	}).listen(0, host);
	await once(rogue, 'listening');
	fleet.members.set({
		instance: 'rogue', role: 'side', address: `${host}:${(rogue.address() as AddressInfo).port}`, zone: 'zone-a', state: 'live', endpoint: 'rogue', targets: [model],
	});
	const outcome = await outcomeOfStreamDuring(async () => until(() => connectionCount >= 2));
	t.equal(outcome, 'whole');
	t.match(await send({}), {status: 200});
	rogue.close();
	fleet.members.remove('rogue');
});

async function closedAfter(address: string, bytes: Uint8Array): Promise<void> {
	const socket = net.connect(portOf(address), host);
	socket.on('error', ignore);
	socket.resume().write(bytes);
	await closeOf(socket);
}

/** Resolves when a socket is closed, with or without an error before. */
async function closeOf(socket: net.Socket): Promise<void> {
	await new Promise(resolve => {
		socket.once('close', resolve);
	});
}

function ignore(): void {
	// The 'close' event that follows is awaited instead.
}

function portOf(address: string): number {
	return Number(address.split(':')[1]);
}

function asJson(value: unknown): string {
	try {
		return JSON.stringify(value) ?? '';
	} catch {
		return '';
	}
}
