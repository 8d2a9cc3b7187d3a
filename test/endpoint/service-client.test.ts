import {Buffer} from 'node:buffer';
import tap from 'tap';
import {FakeService} from '../../fakes/index.js';
import {ServiceClient, type ServiceAnswer, type ServiceCall} from '../../src/endpoint/index.js';

function callOf(path: string, more: Partial<ServiceCall> = {}): ServiceCall {
	return {
		requestId: 'r1', method: 'POST', path, headers: {'content-type': 'text/plain', authorization: 'Bearer secret'}, body: Buffer.from('soup'), ...more,
	};
}

async function bytesOf(answer: ServiceAnswer): Promise<string> {
	if (answer.type === 'failed') {
		throw new Error(answer.failure.message);
	}

	const chunks: Uint8Array[] = [];
	for await (const chunk of answer.body) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString('utf8');
}

async function * pieces(): AsyncGenerator<Uint8Array> {
	for (const text of ['one ', 'two ', 'three']) {
		yield Buffer.from(text);
	}
}

tap.test('method, path, query and body pass through, keys do not', async t => {
	await using service = await FakeService.create();
	await using client = ServiceClient.create({baseUrl: service.url});
	const answer = await client.call(callOf('/echo/a?b=c', {method: 'PUT', body: pieces()}));
	t.equal(await bytesOf(answer), 'one two three');
	t.match(answer, {status: 200, headers: {'x-echo-method': 'PUT', 'x-echo-path': '/echo/a?b=c', 'x-echo-request-id': 'r1'}});
	t.equal(await bytesOf(await client.call(callOf('/bytes?count=300000'))), 'x'.repeat(300_000));
	t.match(await client.call(callOf('/nowhere')), {type: 'answered', status: 404});
});

tap.test('a key reaches the service, and a lost answer may have run', async t => {
	await using service = await FakeService.create({faults: {loseAnswers: 1}});
	await using client = ServiceClient.create({baseUrl: service.url});
	t.match(await client.call(callOf('/tickets', {idempotencyKey: 'k'})), {type: 'failed', failure: {verdict: 'may-have-run'}});
	t.equal(service.runsByKey.get('k'), 1);
	await service.crash();
	t.match(await client.call(callOf('/tickets', {idempotencyKey: 'k2'})), {type: 'failed', failure: {verdict: 'not-run'}});
	t.equal(service.runsByKey.get('k2'), undefined);
});

tap.test('an answer that breaks off is never taken for a whole one', async t => {
	await using service = await FakeService.create({faults: {truncateAnswers: 1}});
	await using client = ServiceClient.create({baseUrl: service.url});
	const answer = await client.call(callOf('/tickets'));
	const outcome = await Promise.allSettled([bytesOf(answer)]);
	t.match(outcome, [{status: 'rejected', reason: {failure: {verdict: 'may-have-run'}}}]);
});
