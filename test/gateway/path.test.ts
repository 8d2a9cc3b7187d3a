import tap from 'tap';
import {desiredState} from '../../fakes/platform-state.js';
import {eventually, World} from './testbed.js';

tap.test('a request reaches a worker of its route unchanged, and the answer comes back as made', async t => {
	await using world = await World.create();
	await world.startGateway();
	world.answerWith('orders', () => ({type: 'whole', body: 'proof 7 is ready', headers: {'X-Kept': 'yes'}}));

	const seen = await world.ask({path: '/release/a%20b?x=1&y', method: 'POST', id: 'first', body: 'stitch', headers: {'x-mine': '1', tenant: 'studio-b', 'kv-hold': 'h', 'request-priority': '0'}});
	t.equal(seen.status, 200);
	t.equal(seen.body, 'proof 7 is ready');
	t.equal(seen.headers['x-kept'], 'yes');
	t.match(seen.headers['upstream-signature'], /^orders-/v);
	const arrived = world.workers.flatMap(worker => worker.requests).find(({id}) => id === 'first')!;
	t.equal(arrived.path, '/release/a%20b?x=1&y');
	t.equal(arrived.method, 'POST');
	t.equal(arrived.body, 'stitch');
	t.equal(arrived.headers['x-mine'], '1');
	t.equal(arrived.headers.tenant, 'studio-a', 'the workspace is the key\'s, whatever the caller says');
	t.equal(arrived.headers.authorization, undefined, 'the key is not passed on');
	t.equal(arrived.headers['kv-hold'], undefined, 'a caller can\'t set what is ours to set');
	t.equal(arrived.headers['request-priority'], undefined);
	t.ok(Number(arrived.headers['deadline-ms']) <= 1500);
});

tap.test('a stream passes event by event, and its end is whole', async t => {
	await using world = await World.create();
	await world.startGateway();
	world.answerWith('models', () => ({type: 'events', count: 4, gapMilliseconds: 5}));

	const seen = await world.ask({path: '/question/1', method: 'POST', body: 'which thread?'});
	t.equal(seen.status, 200);
	t.ok(seen.isWhole);
	t.same([...seen.body.matchAll(/^id: (\d+)$/gmv)].map(match => Number(match[1])), [1, 2, 3, 4]);
});

// A worker dies in the middle of an event. The caller of a stream that may be resumed sees one stream
// without a gap: whole events up to the cut, then what another worker makes after the last whole one.
tap.test('a stream that may be resumed goes on at another worker', async t => {
	await using world = await World.create();
	await world.startGateway();
	let sendings = 0;
	world.answerWith('models', () => {
		sendings += 1;
		return {type: 'events', count: 6, cutAfter: sendings === 1 ? 3 : undefined};
	});

	const seen = await world.ask({path: '/chart/1', method: 'POST', body: 'chart'});
	t.equal(seen.status, 200);
	t.ok(seen.isWhole);
	t.same([...seen.body.matchAll(/^id: (\d+)$/gmv)].map(match => Number(match[1])), [1, 2, 3, 4, 5, 6]);
	t.equal(sendings, 2);
});

// The same cut in a stream that may run only once: its caller must not take the part for the whole,
// and nobody runs it a second time.
tap.test('a stream that may not be resumed is broken off, and runs once', async t => {
	await using world = await World.create();
	await world.startGateway();
	world.answerWith('models', () => ({type: 'events', count: 6, cutAfter: 3}));

	const seen = await world.ask({path: '/question/1', method: 'POST', id: 'once', body: 'which?'});
	t.notOk(seen.isWhole);
	t.same([...seen.body.matchAll(/^id: (\d+)$/gmv)].map(match => Number(match[1])), [1, 2, 3]);
	t.equal(world.arrivals('once'), 1);
});

// A worker resets the connection after it read the request: it may have run. The caller of an unsafe
// request gets an answer that promises nothing, and no second worker gets the request.
tap.test('an unsafe request whose answer is lost is not sent again, and is not said to be not run', async t => {
	await using world = await World.create();
	await world.startGateway();
	world.answerWith('orders', () => ({type: 'reset'}));

	const seen = await world.ask({path: '/release/1', method: 'POST', id: 'unsafe', body: 'bill'});
	t.equal(seen.status, 502);
	t.equal(world.arrivals('unsafe'), 1);
});

tap.test('a safe request whose answer is lost is answered by another worker', async t => {
	await using world = await World.create();
	await world.startGateway();
	const [first] = world.ofService('orders');
	let sendings = 0;
	world.answerWith('orders', () => {
		sendings += 1;
		return sendings === 1 ? {type: 'reset'} : {type: 'whole', body: 'ready'};
	});

	const seen = await world.ask({path: '/lookup/1', id: 'safe'});
	t.equal(seen.status, 200);
	t.equal(world.arrivals('safe'), 2);
	t.ok(first);
});

// A worker says that it did not run the request. Even an unsafe one may then go to another.
tap.test('what a worker refused without running it goes to another worker', async t => {
	await using world = await World.create();
	await world.startGateway();
	const [full, free] = world.ofService('orders');
	full!.answer = () => ({type: 'not-run'});
	free!.answer = () => ({type: 'whole', body: 'billed'});
	for (let number = 0; number < 6; number++) {
		const seen = await world.ask({path: '/release/1', method: 'POST', body: 'bill'});
		t.equal(seen.status, 200);
	}
});

// Nobody runs it, so the caller is told that, and when to come back, at once.
tap.test('a request that nobody can run is refused at once with a time to come back', async t => {
	await using world = await World.create({services: ['models']});
	await world.startGateway();
	const seen = await world.ask({path: '/release/1', method: 'POST', body: 'bill'});
	t.equal(seen.status, 503);
	t.ok(Number(seen.headers['retry-after']) > 0);
	t.ok(seen.milliseconds < 1000, 'long before its time limit');
});

// A 503 without the worker's word that it did not run promises too much for an unsafe request.
tap.test('a promise that the worker does not make is not passed on', async t => {
	await using world = await World.create();
	await world.startGateway();
	world.answerWith('orders', () => ({type: 'whole', status: 503, body: 'busy'}));

	const seen = await world.ask({path: '/release/1', method: 'POST', id: 'promise', body: 'bill'});
	t.equal(seen.status, 502);
	t.equal(seen.headers['upstream-signature'], undefined);
	t.equal(world.arrivals('promise'), 1);
});

tap.test('a worker\'s own failure of an unsafe request passes unchanged', async t => {
	await using world = await World.create();
	await world.startGateway();
	world.answerWith('orders', () => ({type: 'whole', status: 500, body: 'no thread'}));

	const seen = await world.ask({path: '/release/1', method: 'POST', body: 'bill'});
	t.equal(seen.status, 500);
	t.equal(seen.body, 'no thread');
	t.match(seen.headers['upstream-signature'], /^orders-/v);
});

// An answer on a kept connection may belong to an earlier request. Its id tells, and the caller must
// never see it.
tap.test('an answer that names another request is not passed on', async t => {
	await using world = await World.create();
	await world.startGateway();
	world.answerWith('orders', () => ({type: 'whole', body: 'somebody else\'s artwork', headers: {'Request-Id': 'another'}}));

	const seen = await world.ask({path: '/release/1', method: 'POST', body: 'bill'});
	t.equal(seen.status, 502);
	t.notMatch(seen.body, /artwork/v);
});

// The worker is silent. At the route's time limit the caller has its final answer, and the worker's
// connection is closed, so that it stops.
tap.test('a silent worker ends with the route\'s time limit', async t => {
	await using world = await World.create();
	await world.startGateway();
	world.answerWith('orders', () => ({type: 'silent'}));

	const seen = await world.ask({path: '/release/1', method: 'POST', id: 'silent', body: 'bill', headers: {'deadline-ms': '400'}});
	t.equal(seen.status, 504);
	await eventually(() => world.workers.some(worker => worker.abandoned.includes('silent')));
});

tap.test('a caller that leaves stops its worker', async t => {
	await using world = await World.create();
	await world.startGateway();
	world.answerWith('models', () => ({type: 'events', count: 1000, gapMilliseconds: 10}));

	await world.ask({path: '/question/1', method: 'POST', id: 'leaver', body: 'which?', leaveAfterMilliseconds: 200});
	await eventually(() => world.workers.some(worker => worker.abandoned.includes('leaver')));
	t.equal(world.arrivals('leaver'), 1);
});

tap.test('unknown hosts, paths and keys are turned away; a missing id and a bad time limit are named', async t => {
	await using world = await World.create();
	await world.startGateway();
	t.equal(await world.statusOf({path: '/nowhere/1'}), 404);
	t.equal(await world.statusOf({headers: {host: 'other.example'}}), 404);
	t.equal(await world.statusOf({key: 'stolen'}), 401);
	t.match(await world.ask({headers: {'deadline-ms': 'soon'}}), {status: 400, body: /Deadline-Ms/v});
	t.match(await world.ask({path: '/release/1', method: 'POST', body: 'x'.repeat(200_000)}), {status: 413});
});

// Without a routing table a 404 or 401 would be a guess; the caller is told to come back.
tap.test('before any routing table a request is refused as not run', async t => {
	await using world = await World.create();
	world.store.fault = () => 'refuse';
	await world.openGateway();
	const seen = await world.ask();
	t.equal(seen.status, 503);
	t.ok(Number(seen.headers['retry-after']) > 0);
	world.store.fault = () => undefined;
	await eventually(() => world.gateways[0]!.gateway.isReady);
	t.equal(await world.statusOf(), 200);
});

tap.test('a new desired state is in force, and an older one never again', async t => {
	await using world = await World.create();
	const gateway = await world.startGateway();
	world.store.put('keyed.op', 'config', desiredState(5, {tenants: [{name: 'studio-b', apiKeys: ['key-b']}]}));
	await eventually(() => gateway.beliefs.table?.version === 5);
	t.equal(await world.statusOf({key: 'key-a'}), 401);
	world.store.fault = () => 'reset';
	await eventually(() => world.lines.some(line => String(line.msg).includes('Store lost')));
	world.store.put('keyed.op', 'config', desiredState(4));
	world.store.put('keyed.op', 'config', desiredState(3));
	world.store.forget('keyed.op');
	world.store.fault = () => undefined;
	await eventually(() => world.lines.some(line => String(line.msg).includes('History is gone')));
	t.equal(gateway.beliefs.table?.version, 5);
	t.equal(await world.statusOf({key: 'key-a'}), 401);
});

// The store refuses one gateway and serves the others. A key is taken away: the refused one hears of
// it from the other, and the key's holder is turned away there too.
tap.test('a gateway that the store refuses hears of a change from another', async t => {
	await using world = await World.create();
	const first = await world.startGateway();
	const second = await world.startGateway();
	await eventually(() => first.peers.count === 1 && second.peers.count === 1, 30_000);
	world.store.fault = () => 'refuse';
	// What the store tells one gateway in a moment in which it serves only that one.
	const {version, ...rest} = first.beliefs.tableInput!;
	first.beliefs.applyTable({...rest, version: version + 1, workspaces: []}, 'store');
	await eventually(() => second.beliefs.table?.version === version + 1);
	t.equal(await world.statusOf({key: 'key-a'}, second), 401);
});

tap.test('a worker that says it leaves gets nothing more while others are there', async t => {
	await using world = await World.create();
	await world.startGateway();
	const [leaving] = world.ofService('orders');
	world.store.put('keyed.servers', leaving!.id, leaving!.beat({state: 'draining', seq: 2}));
	await eventually(() => world.lines.some(line => line.endpoint === leaving!.id && String(line.msg).includes('ended')));
	const before = leaving!.requests.length;
	for (let number = 0; number < 10; number++) {
		await world.ask();
	}

	t.equal(leaving!.requests.length, before);
});

// An address is used again by another worker. It says so, has not run the request, and the request
// goes to one that is there.
tap.test('another worker at a known address does not get the request', async t => {
	await using world = await World.create();
	const [kept, other] = world.ofService('orders');
	world.store.put('keyed.servers', 'orders-gone', {...kept!.beat(), address: other!.address});
	await world.startGateway();
	for (let number = 0; number < 8; number++) {
		t.equal(await world.statusOf({path: '/release/1', method: 'POST', body: 'bill'}), 200);
	}
});

// A planned stop: readiness goes first, what is open and what still comes is served to its end.
tap.test('a planned stop serves what is open and says that connections close', async t => {
	await using world = await World.create();
	const gateway = await world.startGateway();
	world.answerWith('models', () => ({type: 'events', count: 20, gapMilliseconds: 50}));

	const open = world.ask({path: '/question/1', method: 'POST', body: 'which?'});
	await eventually(() => gateway.gateway.openRequests === 1);
	const drained = gateway.drain();
	t.notOk(gateway.gateway.isReady);
	const late = await world.ask();
	t.equal(late.status, 200);
	t.equal(late.headers.connection, 'close');
	const served = await open;
	t.ok(served.isWhole);
	t.ok(await drained);
	t.notOk(world.store.keys('keyed.cassiaflow-instances').includes('gateway-0'));
});

tap.test('one line tells of a sending, with what decided it', async t => {
	await using world = await World.create();
	await world.startGateway();
	await world.ask({id: 'traced'});
	const line = (): Record<string, unknown> | undefined => world.lines.find(({request}) => request === 'traced');
	await eventually(() => line() !== undefined);
	t.match(line(), {msg: 'Request: Sent.', route: 'lookup', version: 1, candidates: 2, outcome: 'done', status: 200});
});

// A worker dies behind a cut while a stream runs there, and starts again under its id and address; no packet ends the
// old connection. The caller waited for its whole time. Word of the new incarnation ends what the old one had.
tap.test('a stream on a worker that is born again goes on elsewhere, and the worker is used anew', async t => {
	await using world = await World.create({services: ['models'], workersEach: 2});
	await world.startGateway();
	const state = desiredState(2);
	const routes = (state.routes as Array<Record<string, unknown>>).map(route => ({...route, timeoutMs: 20_000, gapAimMs: 5000}));
	world.store.put('keyed.op', 'config', {...state, routes});
	await eventually(() => world.gateways[0]!.beliefs.table?.version === 2);
	const [first, second] = world.ofService('models');
	world.store.put('keyed.servers', first!.id, first!.beat({born: 1000, seq: 40}));
	world.store.put('keyed.servers', second!.id, second!.beat({born: 1000, seq: 40}));
	await eventually(() => [...world.gateways[0]!.beliefs.directory.entries.values()].every(({record}) => record.bornAt === 1000));
	world.answerWith('models', ({id, headers}) => id === 'cut' && headers['last-event-id'] === undefined
		? {type: 'events', count: 60, gapMilliseconds: 100}
		: {type: 'events', count: 60});
	const asked = world.ask({path: '/chart/1', method: 'POST', id: 'cut', body: 'draw', headers: {'deadline-ms': '15000'}});
	await eventually(() => world.arrivals('cut') === 1);
	const dying = world.ofService('models').find(worker => worker.requests.some(({id}) => id === 'cut'))!;
	await new Promise(resolve => {
		// Longer than word of a new incarnation takes: what is younger may be its own.
		setTimeout(resolve, 2300);
	});
	world.store.put('keyed.servers', dying.id, dying.beat({born: 2000, seq: 1}));
	await eventually(() => world.lines.some(({msg}) => String(msg).includes('started again under their ids')));
	const seen = await asked;
	t.equal(world.arrivals('cut'), 2, 'it went on, once');
	t.ok(seen.isWhole);
	t.equal(seen.body.match(/^id: /gmv)?.length, 60);
	const entry = world.gateways[0]!.beliefs.directory.entries.get(dying.id)!;
	t.equal(entry.record.bornAt, 2000);
	t.equal(entry.endedAt, undefined, 'revision 1 of the younger goes before revision 40 of the older');
	t.same(dying.abandoned, ['cut']);
});

// The store goes silent while all instances wait there for the next routing table, and the operator's change is
// accepted before it answers again. No packet ends their readings. Callers got 404 for a route that was
// there for six seconds, since each instance trusted the others to tell, and all of them waited on dead readings.
tap.test('a table that was written while the store was silent is in force soon after, also among peers', async t => {
	await using world = await World.create();
	for (let number = 0; number < 3; number++) {
		await world.openGateway({seedHosts: ['127.0.0.1']});
	}

	await eventually(() => world.gateways.every(({gateway, peers}) => gateway.isReady && peers.count === 2));
	world.store.fault = path => path === '/v1/log-read' ? 'silent' : undefined;
	world.store.put('keyed.op', 'config', desiredState(2));
	await eventually(() => world.gateways.every(({beliefs}) => beliefs.table?.version === 2));
	await new Promise(resolve => {
		// Each of them has asked for the next one by now.
		setTimeout(resolve, 300);
	});
	world.store.fault = () => undefined;
	world.store.put('keyed.op', 'config', desiredState(3));
	await eventually(() => world.gateways.every(({beliefs}) => beliefs.table?.version === 3), 7000);
	t.ok(world.gateways.every(({beliefs}) => beliefs.table?.version === 3));
});
