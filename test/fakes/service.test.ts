import tap from 'tap';
import {FakeService} from '../../fakes/index.js';

tap.test('a service echoes, counts tickets by key and streams bytes', async t => {
	await using service = await FakeService.create();
	const echoed = await fetch(`${service.url}/echo/x?y=1`, {method: 'PUT', body: 'hello'});
	t.equal(await echoed.text(), 'hello');
	t.equal(echoed.headers.get('x-echo-path'), '/echo/x?y=1');
	const ticket = await fetch(`${service.url}/tickets`, {method: 'POST', body: 'soup', headers: {'idempotency-key': 'k'}});
	t.match(await ticket.json(), {ticket: 1, body: 'soup'});
	t.equal(service.runsByKey.get('k'), 1);
	const large = await fetch(`${service.url}/bytes?count=100000`);
	const bytes = await large.arrayBuffer();
	t.equal(bytes.byteLength, 100_000);
});

tap.test('a call with a lost response counts as a run, a refused call does not', async t => {
	await using service = await FakeService.create({faults: {loseAnswers: 1, refuseCalls: 1}});
	const send = (): Promise<Response> => fetch(`${service.url}/tickets`, {method: 'POST', body: 'soup', headers: {'idempotency-key': 'k'}});
	const refused = await send();
	t.equal(refused.status, 429);
	await t.rejects(send());
	t.equal(service.runsByKey.get('k'), 1);
});
