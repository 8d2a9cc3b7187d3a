import tap from 'tap';
import {type WorkerAnswer, type WorkerRequest} from '../../fakes/platform-worker.js';
import {eventually, Testbed} from './testbed.js';

/** An answer in which an endpoint states that it leaves, and the path of the request that gets it. */
type Answer = {readonly name: string; readonly path: string; readonly service: 'orders' | 'models'; readonly choose: (request: WorkerRequest, count: number) => WorkerAnswer};

const whole = (status: number): WorkerAnswer => ({type: 'whole', status, body: 'b'});
const answers: readonly Answer[] = [
	{name: 'a 200 with a body', path: '/lookup/1', service: 'orders', choose: () => whole(200)},
	{name: 'the head of a stream', path: '/chart/1', service: 'models', choose: () => ({type: 'events', count: 3})},
	{name: 'a stream that breaks off', path: '/question/1', service: 'models', choose: () => ({type: 'events', count: 6, cutAfter: 2})},
	...[400, 404, 429, 500, 503, 504].map((status): Answer => ({name: `a ${status} of an endpoint that ran it`, path: '/release/1', service: 'orders', choose: () => whole(status)})),
	{name: 'a 503 of an endpoint that did not run it', path: '/lookup/1', service: 'orders', choose: () => ({type: 'not-run'})},
	{name: 'an answer to a second attempt', path: '/lookup/1', service: 'orders', choose: (_, count) => count === 1 ? {type: 'reset'} : whole(200)},
	{name: 'an answer to a resumed stream', path: '/chart/1', service: 'models', choose: (_, count) => ({type: 'events', count: 6, ...(count === 1 && {cutAfter: 3})})},
];

/** Lets the workers answer so; where an answer follows another one, only the second one states that the endpoint leaves. */
function stateInAnswers(testbed: Testbed, {name, service, choose}: Answer): void {
	const received = {count: 0};
	for (const worker of testbed.ofService(service)) {
		worker.answer = request => {
			received.count += 1;
			worker.statements = received.count === 1 && /second|resumed/v.test(name) ? {} : {'Server-Leaving': '1'};
			return choose(request, received.count);
		};
	}
}

// Guards against answers whose statements are not looked at because the answer is not forwarded, or is not the first one.
for (const {name, path, service, choose} of answers) {
	tap.test(`what an endpoint states counts in ${name}`, async t => {
		await using testbed = await Testbed.create({services: [service]});
		await testbed.startGateway();
		stateInAnswers(testbed, {name, path, service, choose});

		await testbed.send({path, method: path === '/lookup/1' ? 'GET' : 'POST'});
		await eventually(() => testbed.logLines.some(({msg}) => String(msg).includes('Endpoint states that it leaves.')));
		const left = testbed.logLines.filter(({msg, source}) => String(msg).includes('Endpoint ended.') && source === 'response');
		t.ok(left.length > 0);
	});
}

// Guards against the word of an endpoint that has taken over the address of another one.
tap.test('what another endpoint at the address states does not count for the one that was meant', async t => {
	await using testbed = await Testbed.create({services: ['orders'], workersEach: 1});
	await testbed.startGateway();
	const [worker] = testbed.ofService('orders');
	testbed.store.put('keyed.servers', 'earlier', worker!.beat());
	testbed.store.put('keyed.servers', worker!.id, undefined);
	worker!.statements = {'Server-Leaving': '1'};
	await eventually(() => testbed.logLines.some(({msg, endpoint}) => String(msg).includes('Endpoint ended.') && endpoint === worker!.id));
	t.equal(await testbed.statusOf(), 503);
	t.notOk(testbed.logLines.some(({msg}) => String(msg).includes('Endpoint states')));
});
