import tap from 'tap';
import {desiredState} from '../../fakes/platform-state.js';
import {eventually, Testbed} from './testbed.js';

tap.test('a request reaches a worker of its route unchanged, and the response returns unchanged', async t => {
	await using testbed = await Testbed.create();
	await testbed.startGateway();
	testbed.respondWith('orders', () => ({type: 'whole', body: 'proof 7 is ready', headers: {'X-Kept': 'yes'}}));

	const response = await testbed.send({
		path: '/release/a%20b?x=1&y', method: 'POST', id: 'first', body: 'stitch', headers: {'x-mine': '1', tenant: 'studio-b', 'kv-hold': 'h', 'request-priority': '0'},
	});
	t.equal(response.status, 200);
	t.equal(response.body, 'proof 7 is ready');
	t.equal(response.headers['x-kept'], 'yes');
	t.match(response.headers['upstream-signature'], /^orders-/v);
	const arrived = testbed.workers.flatMap(worker => worker.requests).find(({id}) => id === 'first')!;
	t.equal(arrived.path, '/release/a%20b?x=1&y');
	t.equal(arrived.method, 'POST');
	t.equal(arrived.body, 'stitch');
	t.equal(arrived.headers['x-mine'], '1');
	t.equal(arrived.headers.tenant, 'studio-a', 'the workspace is that of the key, not the one that the caller names');
	t.equal(arrived.headers.authorization, undefined, 'the key is not forwarded');
	t.equal(arrived.headers['kv-hold'], undefined, 'a caller cannot set headers of the gateway');
	t.equal(arrived.headers['request-priority'], undefined);
	t.ok(Number(arrived.headers['deadline-ms']) <= 1500);
});

tap.test('a stream is forwarded event by event and ends complete', async t => {
	await using testbed = await Testbed.create();
	await testbed.startGateway();
	testbed.respondWith('models', () => ({type: 'events', count: 4, gapMilliseconds: 5}));

	const response = await testbed.send({path: '/question/1', method: 'POST', body: 'which thread?'});
	t.equal(response.status, 200);
	t.ok(response.isComplete);
	t.same([...response.body.matchAll(/^id: (\d+)$/gmv)].map(match => Number(match[1])), [1, 2, 3, 4]);
});

// A worker dies in the middle of an event. The caller of a resumable stream receives one stream without a gap: complete events up
// to the cut, then the events that another worker generates after the last complete one.
tap.test('a resumable stream continues at another worker', async t => {
	await using testbed = await Testbed.create();
	await testbed.startGateway();
	let attempts = 0;
	testbed.respondWith('models', () => {
		attempts += 1;
		return {type: 'events', count: 6, cutAfter: attempts === 1 ? 3 : undefined};
	});

	const response = await testbed.send({path: '/chart/1', method: 'POST', body: 'chart'});
	t.equal(response.status, 200);
	t.ok(response.isComplete);
	t.same([...response.body.matchAll(/^id: (\d+)$/gmv)].map(match => Number(match[1])), [1, 2, 3, 4, 5, 6]);
	t.equal(attempts, 2);
});

// The same cut in a stream that may run only once: the caller must not take the partial response for complete, and the request does
// not run a second time.
tap.test('a stream that is not resumable is aborted and runs once', async t => {
	await using testbed = await Testbed.create();
	await testbed.startGateway();
	testbed.respondWith('models', () => ({type: 'events', count: 6, cutAfter: 3}));

	const response = await testbed.send({path: '/question/1', method: 'POST', id: 'once', body: 'which?'});
	t.notOk(response.isComplete);
	t.same([...response.body.matchAll(/^id: (\d+)$/gmv)].map(match => Number(match[1])), [1, 2, 3]);
	t.equal(testbed.attemptCount('once'), 1);
});

// A worker resets the connection after it has read the request, which may have run. The caller of an unsafe request gets a
// response that does not promise that it has not run, and no second worker gets the request.
tap.test('an unsafe request whose response is lost is not retried, and its caller is not told that it has not run', async t => {
	await using testbed = await Testbed.create();
	await testbed.startGateway();
	testbed.respondWith('orders', () => ({type: 'reset'}));

	const response = await testbed.send({path: '/release/1', method: 'POST', id: 'unsafe', body: 'bill'});
	t.equal(response.status, 502);
	t.equal(testbed.attemptCount('unsafe'), 1);
});

tap.test('a safe request whose response is lost is retried at another worker', async t => {
	await using testbed = await Testbed.create();
	await testbed.startGateway();
	const [first] = testbed.ofService('orders');
	let attempts = 0;
	testbed.respondWith('orders', () => {
		attempts += 1;
		return attempts === 1 ? {type: 'reset'} : {type: 'whole', body: 'ready'};
	});

	const response = await testbed.send({path: '/lookup/1', id: 'safe'});
	t.equal(response.status, 200);
	t.equal(testbed.attemptCount('safe'), 2);
	t.ok(first);
});

// A worker states that it did not run the request. Even an unsafe request may then be retried.
tap.test('a request that a worker refused without running it goes to another worker', async t => {
	await using testbed = await Testbed.create();
	await testbed.startGateway();
	const [full, free] = testbed.ofService('orders');
	full!.answer = () => ({type: 'not-run'});
	free!.answer = () => ({type: 'whole', body: 'billed'});
	for (let number = 0; number < 6; number++) {
		const response = await testbed.send({path: '/release/1', method: 'POST', body: 'bill'});
		t.equal(response.status, 200);
	}
});

// No endpoint runs the service, so the caller gets that response and a retry delay at once.
tap.test('a request without any endpoint is refused at once with a retry delay', async t => {
	await using testbed = await Testbed.create({services: ['models']});
	await testbed.startGateway();
	const response = await testbed.send({path: '/release/1', method: 'POST', body: 'bill'});
	t.equal(response.status, 503);
	t.ok(Number(response.headers['retry-after']) > 0);
	t.ok(response.milliseconds < 1000, 'long before its timeout');
});

// A 503 promises that the request has not run. For an unsafe request it is not forwarded unless the worker states that.
tap.test('a 503 of an unsafe request is not forwarded unless the worker states that it has not run', async t => {
	await using testbed = await Testbed.create();
	await testbed.startGateway();
	testbed.respondWith('orders', () => ({type: 'whole', status: 503, body: 'busy'}));

	const response = await testbed.send({path: '/release/1', method: 'POST', id: 'promise', body: 'bill'});
	t.equal(response.status, 502);
	t.equal(response.headers['upstream-signature'], undefined);
	t.equal(testbed.attemptCount('promise'), 1);
});

tap.test('a worker\'s own error response to an unsafe request is forwarded unchanged', async t => {
	await using testbed = await Testbed.create();
	await testbed.startGateway();
	testbed.respondWith('orders', () => ({type: 'whole', status: 500, body: 'no thread'}));

	const response = await testbed.send({path: '/release/1', method: 'POST', body: 'bill'});
	t.equal(response.status, 500);
	t.equal(response.body, 'no thread');
	t.match(response.headers['upstream-signature'], /^orders-/v);
});

// A response on a keep-alive connection may belong to an earlier request. Its request id shows this, and the caller must never
// receive it.
tap.test('a response with the id of another request is not forwarded', async t => {
	await using testbed = await Testbed.create();
	await testbed.startGateway();
	testbed.respondWith('orders', () => ({type: 'whole', body: 'somebody else\'s artwork', headers: {'Request-Id': 'another'}}));

	const response = await testbed.send({path: '/release/1', method: 'POST', body: 'bill'});
	t.equal(response.status, 502);
	t.notMatch(response.body, /artwork/v);
});

// The worker does not respond. At the timeout the caller gets its final response, and the connection to the worker is closed so
// that it stops.
tap.test('a request to a silent worker ends at its timeout', async t => {
	await using testbed = await Testbed.create();
	await testbed.startGateway();
	testbed.respondWith('orders', () => ({type: 'silent'}));

	const response = await testbed.send({path: '/release/1', method: 'POST', id: 'silent', body: 'bill', headers: {'deadline-ms': '400'}});
	t.equal(response.status, 504);
	await eventually(() => testbed.workers.some(worker => worker.abandoned.includes('silent')));
});

tap.test('a caller that disconnects stops its worker', async t => {
	await using testbed = await Testbed.create();
	await testbed.startGateway();
	testbed.respondWith('models', () => ({type: 'events', count: 1000, gapMilliseconds: 10}));

	await testbed.send({path: '/question/1', method: 'POST', id: 'leaver', body: 'which?', disconnectAfterMilliseconds: 200});
	await eventually(() => testbed.workers.some(worker => worker.abandoned.includes('leaver')));
	t.equal(testbed.attemptCount('leaver'), 1);
});

tap.test('unknown hosts, paths and keys are rejected; the response to a bad deadline names the header', async t => {
	await using testbed = await Testbed.create();
	await testbed.startGateway();
	t.equal(await testbed.statusOf({path: '/nowhere/1'}), 404);
	t.equal(await testbed.statusOf({headers: {host: 'other.example'}}), 404);
	t.equal(await testbed.statusOf({key: 'stolen'}), 401);
	t.match(await testbed.send({headers: {'deadline-ms': 'soon'}}), {status: 400, body: /Deadline-Ms/v});
	t.match(await testbed.send({path: '/release/1', method: 'POST', body: 'x'.repeat(200_000)}), {status: 413});
});

// Without a routing table a 404 or 401 would be a guess, so the caller is asked to retry.
tap.test('without a routing table a request is refused as not run', async t => {
	await using testbed = await Testbed.create();
	testbed.store.fault = () => 'refuse';
	await testbed.createGateway();
	const response = await testbed.send();
	t.equal(response.status, 503);
	t.ok(Number(response.headers['retry-after']) > 0);
	testbed.store.fault = () => undefined;
	await eventually(() => testbed.gateways[0]!.gateway.isReady);
	t.equal(await testbed.statusOf(), 200);
});

tap.test('a new desired state comes into force, and an older one never again', async t => {
	await using testbed = await Testbed.create();
	const gateway = await testbed.startGateway();
	testbed.store.put('keyed.op', 'config', desiredState(5, {tenants: [{name: 'studio-b', apiKeys: ['key-b']}]}));
	await eventually(() => gateway.routingState.table?.version === 5);
	t.equal(await testbed.statusOf({key: 'key-a'}), 401);
	testbed.store.fault = () => 'reset';
	await eventually(() => testbed.logLines.some(line => String(line.msg).includes('Store unavailable')));
	testbed.store.put('keyed.op', 'config', desiredState(4));
	testbed.store.put('keyed.op', 'config', desiredState(3));
	testbed.store.forget('keyed.op');
	testbed.store.fault = () => undefined;
	await eventually(() => testbed.logLines.some(line => String(line.msg).includes('History is no longer retained')));
	t.equal(gateway.routingState.table?.version, 5);
	t.equal(await testbed.statusOf({key: 'key-a'}), 401);
});

// The store refuses one gateway and serves the others. A key is removed: the refused gateway receives the change from another one,
// and rejects the key as well.
tap.test('a gateway that the store refuses receives a change from another gateway', async t => {
	await using testbed = await Testbed.create();
	const first = await testbed.startGateway();
	const second = await testbed.startGateway();
	await eventually(() => first.peers.count === 1 && second.peers.count === 1, 30_000);
	testbed.store.fault = () => 'refuse';
	// Simulates a change that the store delivers only to one gateway.
	const {version, ...rest} = first.routingState.tableInput!;
	first.routingState.applyTable({...rest, version: version + 1, workspaces: []}, 'store');
	await eventually(() => second.routingState.table?.version === version + 1);
	t.equal(await testbed.statusOf({key: 'key-a'}, second), 401);
});

tap.test('a draining worker gets no more requests while others are available', async t => {
	await using testbed = await Testbed.create();
	await testbed.startGateway();
	const [draining] = testbed.ofService('orders');
	testbed.store.put('keyed.servers', draining!.id, draining!.beat({state: 'draining', seq: 2}));
	await eventually(() => testbed.logLines.some(line => line.endpoint === draining!.id && String(line.msg).includes('ended')));
	const before = draining!.requests.length;
	for (let number = 0; number < 10; number++) {
		await testbed.send();
	}

	t.equal(draining!.requests.length, before);
});

// Another worker has taken over an address. It states that, without running the request, and the request goes to an available
// worker.
tap.test('another worker at a known address does not run the request', async t => {
	await using testbed = await Testbed.create();
	const [original, other] = testbed.ofService('orders');
	testbed.store.put('keyed.servers', 'orders-gone', {...original!.beat(), address: other!.address});
	await testbed.startGateway();
	for (let number = 0; number < 8; number++) {
		t.equal(await testbed.statusOf({path: '/release/1', method: 'POST', body: 'bill'}), 200);
	}
});

// Graceful shutdown: readiness ends first; open requests and those that still arrive are served to their end.
tap.test('a graceful shutdown completes open requests and announces that connections close', async t => {
	await using testbed = await Testbed.create();
	const gateway = await testbed.startGateway();
	testbed.respondWith('models', () => ({type: 'events', count: 20, gapMilliseconds: 50}));

	const openResponse = testbed.send({path: '/question/1', method: 'POST', body: 'which?'});
	await eventually(() => gateway.gateway.openRequests === 1);
	const drained = gateway.drain();
	t.notOk(gateway.gateway.isReady);
	const late = await testbed.send();
	t.equal(late.status, 200);
	t.equal(late.headers.connection, 'close');
	const served = await openResponse;
	t.ok(served.isComplete);
	t.ok(await drained);
	t.notOk(testbed.store.keys('keyed.cassiaflow-instances').includes('gateway-0'));
});

tap.test('an attempt has one log line with the values that decided it', async t => {
	await using testbed = await Testbed.create();
	await testbed.startGateway();
	await testbed.send({id: 'traced'});
	const line = (): Record<string, unknown> | undefined => testbed.logLines.find(({request}) => request === 'traced');
	await eventually(() => line() !== undefined);
	t.match(line(), {msg: 'Request: Sent.', route: 'lookup', version: 1, candidates: 2, outcome: 'done', status: 200});
});

// A worker dies behind a network partition while a stream runs there, and restarts under its id and address; no packet ends the old
// connection, so the caller would wait until its timeout. An attempt at the old incarnation that brings nothing after the announcement of the new one ends.
tap.test('a stream on a worker that restarts continues elsewhere, and the worker is used again', async t => {
	await using testbed = await Testbed.create({services: ['models'], workersEach: 2});
	await testbed.startGateway();
	const state = desiredState(2);
	const routes = (state.routes as Array<Record<string, unknown>>).map(route => ({...route, timeoutMs: 20_000, gapAimMs: 5000}));
	testbed.store.put('keyed.op', 'config', {...state, routes});
	await eventually(() => testbed.gateways[0]!.routingState.table?.version === 2);
	const [first, second] = testbed.ofService('models');
	testbed.store.put('keyed.servers', first!.id, first!.beat({born: 1000, seq: 40}));
	testbed.store.put('keyed.servers', second!.id, second!.beat({born: 1000, seq: 40}));
	await eventually(() => [...testbed.gateways[0]!.routingState.directory.entries.values()].every(({record}) => record.bornAt === 1000));
	testbed.respondWith('models', ({id, headers}) => id === 'cut' && headers['last-event-id'] === undefined
		? {type: 'crash', isSilent: true, afterEvents: 3}
		: {type: 'events', count: 60});
	const sent = testbed.send({path: '/chart/1', method: 'POST', id: 'cut', body: 'draw', headers: {'deadline-ms': '15000'}});
	await eventually(() => testbed.attemptCount('cut') === 1);
	const dying = testbed.ofService('models').find(worker => worker.requests.some(({id}) => id === 'cut'))!;
	await new Promise(resolve => {
		// Longer than the announcement of a new incarnation takes: a younger attempt may run at the new one.
		setTimeout(resolve, 2300);
	});
	testbed.store.put('keyed.servers', dying.id, dying.beat({born: 2000, seq: 1}));
	await eventually(() => testbed.logLines.some(({msg}) => String(msg).includes('Endpoints restarted')));
	const response = await sent;
	t.equal(testbed.attemptCount('cut'), 2, 'it was resumed once');
	t.ok(response.isComplete);
	t.equal(response.body.match(/^id: /gmv)?.length, 60);
	const entry = testbed.gateways[0]!.routingState.directory.entries.get(dying.id)!;
	t.equal(entry.record.bornAt, 2000);
	t.equal(entry.endedAt, undefined, 'revision 1 of the newer incarnation precedes revision 40 of the older one');
	t.same(dying.abandoned, ['cut']);
});

// The store stops responding while all instances have long polls for the next routing table, and accepts the operator's change
// before it responds again. No packet ends the long polls. Callers got 404 for a route that had existed for six seconds, since each
// instance relied on the others to announce the version, and all of them waited on dead long polls.
tap.test('a table written while the store does not respond is in force soon after it recovers, also among peers', async t => {
	await using testbed = await Testbed.create();
	for (let number = 0; number < 3; number++) {
		await testbed.createGateway({seedHosts: ['127.0.0.1']});
	}

	await eventually(() => testbed.gateways.every(({gateway, peers}) => gateway.isReady && peers.count === 2));
	testbed.store.fault = path => path === '/v1/log-read' ? 'silent' : undefined;
	testbed.store.put('keyed.op', 'config', desiredState(2));
	await eventually(() => testbed.gateways.every(({routingState}) => routingState.table?.version === 2));
	await new Promise(resolve => {
		// By now each instance has started a long poll for the next table.
		setTimeout(resolve, 300);
	});
	testbed.store.fault = () => undefined;
	testbed.store.put('keyed.op', 'config', desiredState(3));
	await eventually(() => testbed.gateways.every(({routingState}) => routingState.table?.version === 3), 7000);
	t.ok(testbed.gateways.every(({routingState}) => routingState.table?.version === 3));
});
