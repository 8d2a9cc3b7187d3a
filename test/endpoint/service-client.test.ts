import {Buffer} from 'node:buffer';
import tap from 'tap';
import {FakeService} from '../../fakes/index.js';
import {ServiceClient, type ServiceResponse, type ServiceCall} from '../../src/endpoint/index.js';

function callOf(path: string, more: Partial<ServiceCall> = {}): ServiceCall {
	return {
		requestId: 'r1', method: 'POST', path, headers: {'content-type': 'text/plain', authorization: 'Bearer secret'}, body: Buffer.from('soup'), ...more,
	};
}

async function bytesOf(response: ServiceResponse): Promise<string> {
	if (response.type === 'failed') {
		throw new Error(response.failure.message);
	}

	const chunks: Uint8Array[] = [];
	for await (const chunk of response.body) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString('utf8');
}

async function * bodyParts(): AsyncGenerator<Uint8Array> {
	for (const text of ['one ', 'two ', 'three']) {
		yield Buffer.from(text);
	}
}

tap.test('method, path, query and body are forwarded, API keys are not', async t => {
	await using service = await FakeService.create();
	await using client = ServiceClient.create({baseUrl: service.url});
	const response = await client.call(callOf('/echo/a?b=c', {method: 'PUT', body: bodyParts()}));
	t.equal(await bytesOf(response), 'one two three');
	t.match(response, {status: 200, headers: {'x-echo-method': 'PUT', 'x-echo-path': '/echo/a?b=c', 'x-echo-request-id': 'r1'}});
	t.equal(await bytesOf(await client.call(callOf('/bytes?count=300000'))), 'x'.repeat(300_000));
	t.match(await client.call(callOf('/nowhere')), {type: 'answered', status: 404});
});

tap.test('an idempotency key is forwarded, and a call with a lost response may have run', async t => {
	await using service = await FakeService.create({faults: {loseAnswers: 1}});
	await using client = ServiceClient.create({baseUrl: service.url});
	t.match(await client.call(callOf('/tickets', {idempotencyKey: 'k'})), {type: 'failed', failure: {verdict: 'may-have-run'}});
	t.equal(service.runsByKey.get('k'), 1);
	await service.crash();
	t.match(await client.call(callOf('/tickets', {idempotencyKey: 'k2'})), {type: 'failed', failure: {verdict: 'not-run'}});
	t.equal(service.runsByKey.get('k2'), undefined);
});

tap.test('a truncated response is never taken for a complete one', async t => {
	await using service = await FakeService.create({faults: {truncateAnswers: 1}});
	await using client = ServiceClient.create({baseUrl: service.url});
	const response = await client.call(callOf('/tickets'));
	const outcome = await Promise.allSettled([bytesOf(response)]);
	t.match(outcome, [{status: 'rejected', reason: {failure: {verdict: 'may-have-run'}}}]);
});
