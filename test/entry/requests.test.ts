import fc from 'fast-check';
import tap from 'tap';
import {type FailureKind, RequestError} from '../../src/model/index.js';
import {parseModelCall, routeCall, type Route} from '../../src/entry/protocol/index.js';

const chat = {type: 'chat', path: '/v1/chat/completions'} as const;
const completion = {type: 'completion', path: '/v1/completions'} as const;
const encode = (value: unknown) => new TextEncoder().encode(JSON.stringify(value));
const decode = (bytes: Uint8Array) => JSON.parse(new TextDecoder().decode(bytes)) as Record<string, unknown>;

function failureOf(action: () => unknown): {kind: FailureKind; message: string} | undefined {
	try {
		action();
		return undefined;
	} catch (error) {
		if (error instanceof RequestError) {
			return error.failure;
		}

		throw error;
	}
}

tap.test('each path and method has one route or one specific refusal', async t => {
	t.same(routeCall('POST', '/v1/chat/completions?x=1'), chat);
	t.same(routeCall('GET', '/v1/models'), {type: 'models'});
	t.same(routeCall('PATCH', '/services/kitchen/tickets/7?urgent=1'), {type: 'service', name: 'kitchen', path: '/tickets/7?urgent=1'});
	t.same(routeCall('GET', '/services/kitchen?table=4'), {type: 'service', name: 'kitchen', path: '/?table=4'});
	const refusals: Array<[string, string, string]> = [
		['GET', '/v1/chat/completions', 'method_not_allowed'],
		['POST', '/v1/models', 'method_not_allowed'],
		['GET', '/', 'unknown_path'],
		['OPTIONS', '*', 'unknown_path'],
		['GET', '/services/', 'unknown_path'],
		['GET', '/services/Kitchen/x', 'unknown_path'],
		['GET', '/services/kitchen//other.example/x', 'bad_request'],
		['GET', String.raw`/services/kitchen/\other.example/x`, 'bad_request'],
	];
	for (const [method, url, kind] of refusals) {
		t.equal(failureOf(() => routeCall(method, url))?.kind, kind, `${method} ${url}`);
	}
});

tap.test('a request body is rewritten for the engine and keeps unknown fields', async t => {
	const call = parseModelCall(chat, encode({model: 'loom', messages: [{role: 'user', content: 'hem'}], seed: 3, stream_options: {other: 1}, max_tokens: 9}));
	t.match(call, {model: 'loom', stream: false, includeUsage: false, maxTokens: 9, promptTokens: 2});
	t.same(decode(call.body), {model: 'loom', messages: [{role: 'user', content: 'hem'}], seed: 3, stream: true, stream_options: {other: 1, include_usage: true}, max_tokens: 9});
	const prompt = parseModelCall(completion, encode({model: 'loom', prompt: 'hem', stream: true, stream_options: {include_usage: true}}));
	t.match(prompt, {stream: true, includeUsage: true});
});

tap.test('the prefix depends on the model and the leading text, the fingerprint on the complete request', async t => {
	const long = 'system prompt '.repeat(100);
	const parse = (model: string, text: string) => parseModelCall(chat, encode({model, messages: [{role: 'system', content: long}, {role: 'user', content: text}]}));
	t.equal(parse('loom', 'one').prefix, parse('loom', 'two').prefix);
	t.not(parse('loom', 'one').prefix, parse('other', 'one').prefix);
	t.equal(parse('loom', 'one').fingerprintSource, parse('loom', 'one').fingerprintSource);
	t.not(parse('loom', 'one').fingerprintSource, parse('loom', 'two').fingerprintSource);
});

tap.test('an invalid request body is refused with the name of the invalid field, and without its content', async t => {
	const good = {model: 'loom', messages: [{role: 'user', content: 'secret artwork'}]};
	const invalid: Array<[unknown, RegExp]> = [
		[{...good, n: 2}, /n: only 1/v],
		[{...good, model: undefined}, /model/v],
		[{...good, messages: []}, /messages/v],
		[{...good, messages: 'secret artwork'}, /messages/v],
		[{...good, max_tokens: -1}, /max_tokens/v],
		[{...good, stream: 'secret artwork'}, /stream/v],
		[[], /body/v],
	];
	for (const [value, message] of invalid) {
		const failure = failureOf(() => parseModelCall(chat, encode(value)));
		t.match(failure, {kind: 'bad_request', message});
		t.notMatch(failure?.message, /secret/v);
	}

	t.match(failureOf(() => parseModelCall(chat, new TextEncoder().encode('{"secret artwork'))), {message: /^The body is not JSON\.$/v});
	t.match(failureOf(() => parseModelCall(completion, encode({model: 'loom', prompt: ['a', 'b']}))), {message: /prompt: one text/v});
});

tap.test('fuzz: for any input, the parser returns a call or a refusal', async t => {
	const almostValid = fc.record({model: fc.anything(), messages: fc.anything(), prompt: fc.anything(), stream: fc.anything(), stream_options: fc.anything(), n: fc.anything()}, {requiredKeys: []});
	const bodies = fc.oneof(fc.uint8Array({maxLength: 200}), fc.json().map(text => new TextEncoder().encode(text)), almostValid.map(value => encodeAnything(value)));
	fc.assert(fc.property(bodies, fc.constantFrom(chat, completion), (body, route) => {
		const failure = failureOf(() => parseModelCall(route, body));
		return failure === undefined || failure.kind === 'bad_request';
	}), {seed: 3, numRuns: 2000});
	fc.assert(fc.property(fc.string(), fc.webPath(), (method, path) => {
		const failure = failureOf(() => routeCall(method, path));
		return failure === undefined || ['bad_request', 'unknown_path', 'method_not_allowed'].includes(failure.kind);
	}), {seed: 4, numRuns: 2000});
	t.pass('no other error was thrown');
});

function encodeAnything(value: unknown): Uint8Array {
	try {
		return encode(value);
	} catch {
		return new Uint8Array();
	}
}
