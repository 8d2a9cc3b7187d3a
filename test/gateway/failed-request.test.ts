import tap from 'tap';
import {platformAdapter} from '../../platform/adapter.js';
import {type RequestCodec} from '../../src/gateway/index.js';
import {type CallerResponse, eventually, Testbed} from './testbed.js';

const faultyHeader = 'x-faulty';

type Step = 'readRequest' | 'requestHeaders' | 'readResponse' | 'responseHeaders' | 'gatewayResponseHeaders' | 'patienceMilliseconds';

/** The codec, with an error in one step of each request that names it in a header. */
function codecWithErrors(): RequestCodec {
	const {codec} = platformAdapter;
	const faulty = new Set<string>();
	const failAt = (step: Step, id: string | undefined): void => {
		if (id !== undefined && faulty.has(`${step} ${id}`)) {
			throw new TypeError(`an error in ${step}`);
		}
	};

	return {
		...codec,
		readRequest(headers) {
			const step = headers[faultyHeader];
			const id = headers['request-id'];
			if (step !== undefined) {
				faulty.add(`${String(step)} ${String(id)}`);
			}

			failAt('readRequest', String(id));
			return codec.readRequest(headers);
		},
		requestHeaders(request) {
			failAt('requestHeaders', valueOf(request.rawHeaders, 'request-id'));
			return codec.requestHeaders(request);
		},
		readResponse(status, headers) {
			failAt('readResponse', String(headers['request-id']));
			return codec.readResponse(status, headers);
		},
		responseHeaders(rawHeaders) {
			failAt('responseHeaders', valueOf(rawHeaders, 'request-id'));
			return codec.responseHeaders(rawHeaders);
		},
		gatewayResponseHeaders(facts) {
			failAt('gatewayResponseHeaders', facts?.id);
			return codec.gatewayResponseHeaders(facts);
		},
	};
}

function valueOf(rawHeaders: readonly string[], name: string): string | undefined {
	const index = rawHeaders.findIndex((text, position) => position % 2 === 0 && text.toLowerCase() === name);
	return index === -1 ? undefined : rawHeaders[index + 1];
}

/** What the caller of a request with an error in one step is told, and whether its request ran. */
const steps: ReadonlyArray<{readonly step: Step; readonly path: string; readonly status: number; readonly runs: number}> = [
	{step: 'readRequest', path: '/release/1', status: 503, runs: 0},
	{step: 'requestHeaders', path: '/release/1', status: 502, runs: 0},
	{step: 'readResponse', path: '/release/1', status: 502, runs: 1},
	{step: 'responseHeaders', path: '/release/1', status: 502, runs: 1},
	{step: 'readResponse', path: '/chart/1', status: 502, runs: 1},
	{step: 'responseHeaders', path: '/chart/1', status: 502, runs: 1},
];

async function createTestbed(): Promise<Testbed> {
	const testbed = await Testbed.create({workersEach: 1});
	testbed.respondWith('models', () => ({type: 'events', count: 4, gapMilliseconds: 20}));
	testbed.respondWith('orders', ({id}) => ({type: 'whole', body: 'done', afterMilliseconds: id.startsWith('sound') ? 300 : 5}));
	return testbed;
}

async function sendFaulty(testbed: Testbed, step: Step, path: string): Promise<CallerResponse> {
	return testbed.send({path, method: path.startsWith('/release') ? 'POST' : 'GET', id: `faulty-${step}`, headers: {[faultyHeader]: step}});
}

// An error in the process of one request ended the instance, and all requests that it had passed on were cut off without an answer.
for (const {step, path, status, runs} of steps) {
	tap.test(`an error in ${step} of a request on ${path} ends that request alone, and its caller is told whether it may have run`, async t => {
		await using testbed = await createTestbed();
		const gateway = await testbed.startGateway({}, {...platformAdapter, codec: codecWithErrors()});
		const sound = [testbed.send({id: 'sound-1'}), testbed.send({id: 'sound-2'}), testbed.send({path: '/chart/1', id: 'sound-3'})];
		await eventually(() => testbed.attemptCount('sound-3') === 1);
		const faulty = await sendFaulty(testbed, step, path);
		t.equal(faulty.status, status);
		t.equal(testbed.attemptCount(`faulty-${step}`), runs);
		t.equal(faulty.headers['retry-after'] !== undefined, status === 503, 'one that has not run is told when to come back');
		const answers = await Promise.all(sound);
		t.ok(answers.every(answer => answer.status === 200 && answer.isComplete), 'the others are served');
		t.ok(testbed.logLines.some(({msg, request}) => String(msg).includes('failed by an error of this process') && (request === `faulty-${step}` || step === 'readRequest')), 'it is logged');
		await eventually(() => gateway.gateway.openRequests === 0);
	});
}

// What such a request held was held for good: its place at the endpoint, its connection and its retry.
tap.test('requests that end by an error release the places that they held', async t => {
	await using testbed = await createTestbed();
	const gateway = await testbed.startGateway({}, {...platformAdapter, codec: codecWithErrors()});
	for (const step of ['requestHeaders', 'readResponse', 'responseHeaders'] as const) {
		const statuses = await Promise.all(Array.from({length: 40}, async (_, number) => testbed.statusOf({path: '/release/1', method: 'POST', id: `${step}-${number}`, headers: {[faultyHeader]: step}})));
		t.ok(statuses.every(status => status === 502), `${step}: ${statuses.join(', ')}`);
	}

	const answers = await Promise.all(Array.from({length: 8}, async () => testbed.send()));
	t.ok(answers.every(({status}) => status === 200), 'the endpoint has its places');
	t.equal(gateway.gateway.openRequests, 0);
	const metrics = await fetch(`http://127.0.0.1:${gateway.adminPort}/metrics`);
	t.match(await metrics.text(), /gateway_request_errors_total\S* 120/v, 'they are counted');
});

// The head of the response was sent before the error: the rest must not come, nor look as if it had.
tap.test('a response that has begun is broken off by an error, and does not look whole', async t => {
	await using testbed = await createTestbed();
	const {codec} = platformAdapter;
	let readings = 0;
	await testbed.addWorker('other', 'models');
	testbed.respondWith('models', ({headers}) => ({type: 'events', count: 4, gapMilliseconds: 5, ...(headers['last-event-id'] === undefined && {cutAfter: 2})}));
	await testbed.startGateway({}, {...platformAdapter, codec: {...codec, requestHeaders(request) {
		readings += 1;
		if (readings === 2) {
			throw new TypeError('an error in the second attempt');
		}

		return codec.requestHeaders(request);
	}}});
	const stream = await testbed.send({path: '/chart/1'});
	t.same([stream.status, stream.isComplete], [200, false]);
	t.equal(await testbed.statusOf(), 200);
});

/** How each kind of request is answered by its endpoints, and by how many. */
const courses: ReadonlyArray<{readonly name: string; readonly path: string; readonly method: string}> = [
	{name: 'an order', path: '/release/1', method: 'POST'},
	{name: 'a lookup whose first endpoint resets', path: '/lookup/1', method: 'GET'},
	{name: 'a stream that goes on at another endpoint', path: '/chart/1', method: 'POST'},
	{name: 'a stream that may run once', path: '/question/1', method: 'POST'},
];
/** More calls than any of these requests makes. */
const mostCalls = 14;

/** The codec, with an error in one call for one request: the calls are counted in the order in which they come, until it is disarmed. */
function codecFailingAt(call: number): {readonly codec: RequestCodec; readonly disarm: () => boolean} {
	let calls = 0;
	let isArmed = false;
	let hasFailed = false;
	const codec = Object.fromEntries(Object.entries(platformAdapter.codec).map(([name, handle]) => [name, (...parameters: unknown[]) => {
		isArmed ||= name === 'readRequest' && (parameters[0] as Record<string, unknown>)[faultyHeader] !== undefined;
		calls += isArmed ? 1 : 0;
		if (isArmed && calls === call) {
			hasFailed = true;
			throw new TypeError(`an error in call ${call}, ${name}`);
		}

		return (handle as (...all: unknown[]) => unknown)(...parameters);
	}])) as unknown as RequestCodec;
	return {
		codec, disarm() {
			isArmed = false;
			calls = Infinity;
			return hasFailed;
		},
	};
}

// Whatever step of a request the error is in: its caller must get a true answer, and the next requests must be served.
for (const {name, path, method} of courses) {
	tap.test(`an error at any moment of ${name} ends it with a true answer, and what it held is released`, async t => {
		let failed = 0;
		for (let call = 1; call <= mostCalls; call++) {
			await using testbed = await Testbed.create();
			const isFirst = new Set<string>();
			testbed.respondWith('orders', ({id}) => {
				const isReset = path === '/lookup/1' && id === 'faulty' && !isFirst.has(id);
				isFirst.add(id);
				return isReset ? {type: 'reset'} : {type: 'whole', body: 'done'};
			});
			testbed.respondWith('models', ({headers}) => ({type: 'events', count: 4, ...(headers['last-event-id'] === undefined && path === '/chart/1' && {cutAfter: 2})}));
			const {codec, disarm} = codecFailingAt(call);
			const gateway = await testbed.startGateway({}, {...platformAdapter, codec});
			const {status, isComplete, headers} = await testbed.send({path, method, id: 'faulty', headers: {[faultyHeader]: 'yes'}});
			const runs = testbed.attemptCount('faulty');
			const hasFailed = disarm();
			failed += hasFailed ? 1 : 0;
			t.ok(status === 503 ? runs === 0 && headers['retry-after'] !== undefined : (status === 200 || status === 502 || (status === 0 && !isComplete)), `call ${call}: status ${status}, ${runs} runs`);
			t.ok(!hasFailed || status !== 200 || !isComplete, `call ${call}: what an error ended does not look whole`);
			await eventually(() => gateway.gateway.openRequests === 0);
			t.same(gateway.gateway.heldBytes, {bodies: 0, responses: 0});
			const next = await Promise.all(Array.from({length: 4}, async () => testbed.statusOf({path: '/lookup/1'})));
			t.ok(next.every(one => one === 200), `call ${call}: the next are served, ${next.join(', ')}`);
		}

		t.ok(failed >= 4, `${failed} of the calls were made`);
	});
}
