import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {type AddressInfo} from 'node:net';
import fc from 'fast-check';
import tap from 'tap';
import {VirtualTime} from '../gateway/virtual-time.js';
import {readCachedParts} from '../../platform/engine-client.js';
import {requestCodec} from '../../platform/request-codec.js';
import {decodeDesiredState} from '../../platform/desired-state.js';
import {decodeInstance, decodeServer, encodeInstance} from '../../platform/servers.js';
import {StoreClient} from '../../platform/store-client.js';
import {decodeRecords, encodeRecord} from '../../platform/store-records.js';
import {endpointFeed, instanceFeed, routingFeed} from '../../platform/feeds.js';
import {FakePlatformStore} from '../../fakes/platform-store.js';
import {type Route, RouteKind, RoutingTable, routingTableSchema} from '../../src/routing/index.js';
import {PlatformError} from '../../src/platform/index.js';
import {desiredState} from '../../fakes/platform-state.js';
import {hash32} from '../../src/policy/hashing/index.js';

const silentLogger = {debug: () => undefined, info: () => undefined, warn: () => undefined, error: () => undefined};

const route: Route = {
	name: 'r', host: 'a.example', pathPrefix: '/x/', kind: RouteKind.stream, resumable: false, shares: [{service: 's', weight: 1}], timeoutMilliseconds: 1000,
	targetMilliseconds: 100, urgency: 1, largestAttempts: 2, isPublic: false, longestPauseMilliseconds: 200,
};

function forward(rawHeaders: readonly string[], resumeAfter?: string): Map<string, string> {
	const sent = requestCodec.requestHeaders({rawHeaders, bodyBytes: 3, endpoint: 'e', workspace: undefined, remainingMilliseconds: 70, resumeAfter, fetchFrom: undefined, route: {...route, urgency: 12}});
	const headers = new Map<string, string>();
	for (let index = 0; index < sent.length; index += 2) {
		const name = sent[index]!.toLowerCase();
		tap.notOk(headers.has(name), `${name} occurs once`);
		headers.set(name, sent[index + 1]!);
	}

	return headers;
}

tap.test('request headers are decoded, and malformed ones are rejected by name', async t => {
	const read = requestCodec.readRequest({'request-id': 'a', 'deadline-ms': '250.5', authorization: 'Bearer k', 'prefix-hash': '5c:800,91:410', 'token-usage': '1210,80', 'length-hint': '40'});
	t.same(read, {type: 'facts', facts: {id: 'a', deadlineMilliseconds: 250.5, key: 'k', parts: [{id: hash32('5c'), tokens: 800}, {id: hash32('91'), tokens: 410}], sharedParts: ['5c'], outputTokens: 40}});
	t.match(requestCodec.readRequest({}), {type: 'wrong', message: /Request-Id/v});
	t.match(requestCodec.readRequest({'request-id': 'a', 'deadline-ms': '-1'}), {type: 'wrong', message: /Deadline-Ms/v});
	t.match(requestCodec.readRequest({'request-id': 'a', 'prefix-hash': 'zz,:,1:x'}), {type: 'facts', facts: {parts: []}});
});

// A part that crashes endpoints is the same one at another number of tokens and in other case, and none of the last parts is one.
tap.test('prompt parts that requests may share are named by their ids alone', async t => {
	const sharedParts = (header: string | undefined): readonly string[] | undefined => {
		const read = requestCodec.readRequest({'request-id': 'a', ...(header !== undefined && {'prefix-hash': header})});
		return read.type === 'facts' ? read.facts.sharedParts : undefined;
	};

	t.same(sharedParts('5C1E07A2:800,91bd3f06:410,e4402b7d:250'), ['5c1e07a2', '91bd3f06']);
	t.same(sharedParts('5c1e07a2:1,91BD3F06:2,e4402b7d:3'), ['5c1e07a2', '91bd3f06']);
	t.same(sharedParts(undefined), []);
	t.same(sharedParts('5c:800'), [], 'the last part is its own');
	t.same(sharedParts(`${'a'.repeat(400)}:1,5c:1,91:1`), ['5c']);
	t.equal(sharedParts(Array.from({length: 200}, (_, number) => `${number}:1`).join(','))?.length, 64);
});

tap.test('no header value makes decoding a request throw', async t => {
	const name = fc.constantFrom('request-id', 'deadline-ms', 'authorization', 'prefix-hash', 'token-usage', 'length-hint');
	fc.assert(fc.property(fc.dictionary(name, fc.string()), headers => {
		const read = requestCodec.readRequest(headers);
		return read.type === 'wrong' || read.facts.id === headers['request-id'];
	}), {seed: 2, numRuns: 500});
	t.pass();
});

tap.test('headers of the gateway and hop-by-hop headers of the caller are not forwarded', async t => {
	const ownHeaders = ['Tenant', 'Target-Instance', 'Kv-From', 'Kv-Hold', 'Kv-Backup', 'Pin-Ms', 'Authorization', 'Connection', 'Keep-Alive', 'Transfer-Encoding', 'X-Hop', 'Content-Length'];
	const sent = forward([...ownHeaders.flatMap(name => [name, name === 'Connection' ? 'close, X-Hop' : 'forged']), 'Deadline-Ms', '9999', 'Request-Priority', '0', 'X-Kept', 'yes', 'Model', 'm']);
	t.equal(sent.get('x-kept'), 'yes');
	t.equal(sent.get('model'), 'm');
	t.equal(sent.get('deadline-ms'), '70');
	t.equal(sent.get('target-instance'), 'e');
	t.equal(sent.get('request-priority'), '9', 'the lowest priority of a worker');
	t.equal(sent.get('content-length'), '3');
	for (const name of ['tenant', 'kv-from', 'kv-hold', 'kv-backup', 'pin-ms', 'authorization', 'connection', 'keep-alive', 'transfer-encoding', 'x-hop']) {
		t.notOk(sent.has(name), name);
	}
});

tap.test('a resumed stream has a single Last-Event-Id header', async t => {
	t.equal(forward(['Last-Event-Id', '2'], '5').get('last-event-id'), '5');
	t.equal(forward(['Last-Event-Id', '2']).get('last-event-id'), '2');
});

tap.test('a success response with an encoding, or without a signature or id, is not genuine', async t => {
	const complete = {'request-id': 'a', 'upstream-signature': 's'};
	t.ok(requestCodec.readResponse(200, complete).isGenuine);
	t.notOk(requestCodec.readResponse(200, {'request-id': 'a'}).isGenuine);
	t.notOk(requestCodec.readResponse(200, {'upstream-signature': 's'}).isGenuine);
	t.notOk(requestCodec.readResponse(200, {...complete, 'content-encoding': 'gzip'}).isGenuine);
	t.match(requestCodec.readResponse(503, {'not-executed': '1'}), {isNotRun: true, promisesNotRun: false});
	t.match(requestCodec.readResponse(503, complete), {isNotRun: false, promisesNotRun: true});
	t.match(requestCodec.readResponse(421, {}), {isNotRun: true, isMisdirected: true});
	t.match(requestCodec.readResponse(500, complete), {isNotRun: false, promisesNotRun: false});
});

tap.test('a desired state becomes a routing table, which stays equal when an instance sends it to another', async t => {
	const table = decodeDesiredState(JSON.stringify({...desiredState(7), unknown: {new: 'field'}}));
	t.equal(table.version, 7);
	t.match(table.routes.find(({name}) => name === 'chart'), {kind: 'stream', resumable: true, longestPauseMilliseconds: 200, shares: [{service: 'models', weight: 1}]});
	t.match(table.services[1], {engine: {slots: 16, memoryTokens: 400_000, tokensPerEvent: 7}});
	const arrived = RoutingTable.create(routingTableSchema.parse(table));
	t.match(arrived.findRoute('studio.example', '/chart/1'), table.routes.find(({name}) => name === 'chart')!);
	t.throws(() => decodeDesiredState('{"version": 1}'), /routes/v);
	t.throws(() => decodeDesiredState('not json'));
	const [unknownKind] = decodeDesiredState(JSON.stringify(desiredState(1, {routes: [{...(desiredState(1).routes as Array<Record<string, unknown>>)[0], kind: 'novel'}]}))).routes;
	t.equal(unknownKind?.kind, 'unsafe', 'requests of an unknown kind run at most once');
});

tap.test('records of workers and instances are decoded, or rejected with an error that names the fault', async t => {
	const value = JSON.stringify({service: 's', address: '1.2.3.4:5', zone: 'z', slots: 6, state: 'draining', seq: 4, more: 1});
	t.match(decodeServer({key: 'i', value, era: 0, offset: 9}), {type: 'registered', offset: 9, record: {id: 'i', isLeaving: true, revision: 4, slots: 6}});
	t.same(decodeServer({key: 'i', value: undefined, era: 0, offset: 9}), {type: 'removed', era: 0, offset: 9, id: 'i'});
	t.throws(() => decodeServer({key: 'i', value: '{}', era: 0, offset: 9}), /service/v);
	const record = {instance: 'a', address: '1.2.3.4:5'};
	t.same(decodeInstance({key: 'a', value: encodeInstance(record), era: 0, offset: 1}), {instance: 'a', record});
	t.same(decodeInstance({key: 'a', value: undefined, era: 0, offset: 1}), {instance: 'a', record: undefined});
});

tap.test('records are unchanged by the store\'s framing, and truncated ones are rejected', async t => {
	const text = fc.string({maxLength: 40}).filter(part => Buffer.byteLength(part) < 200);
	fc.assert(fc.property(fc.array(fc.tuple(text, fc.option(text.filter(part => part !== ''), {nil: undefined}))), fc.nat(1000), (records, from) => {
		const head = Buffer.alloc(16);
		head.writeBigUInt64BE(BigInt(from + records.length));
		const body = Buffer.concat([head, ...records.map(([key, value]) => encodeRecord(key, value))]);
		const decoded = decodeRecords(body, {era: 2, offset: from});
		return decoded.end === from + records.length
			&& decoded.records.every((record, index) => record.key === records[index]![0] && record.value === records[index]![1] && record.offset === from + index && record.era === 2);
	}), {seed: 4, numRuns: 200});
	const framed = Buffer.concat([Buffer.alloc(16), encodeRecord('k', 'value')]);
	t.throws(() => decodeRecords(framed.subarray(0, -1), {era: 0, offset: 0}), /truncated/v);
});

tap.test('each failure of the store has its own error type', async t => {
	await using store = await FakePlatformStore.create();
	await using client = StoreClient.create(store.address, silentLogger);
	const failure = async (failing = client): Promise<string> => {
		try {
			await failing.readNewest('keyed.op');
			return 'none';
		} catch (error) {
			return error instanceof PlatformError ? error.failure.type : String(error);
		}
	};

	t.equal(await failure(), 'none');
	store.fault = () => 'refuse';
	t.equal(await failure(), 'status');
	store.fault = () => 'reset';
	t.equal(await failure(), 'lost');
	store.fault = () => 'silent';
	t.equal(await failure(), 'lost', 'a silent connection ends at the timeout');
	await using unreachableClient = StoreClient.create('127.0.0.1:1', silentLogger);
	t.equal(await failure(unreachableClient), 'unreachable');
});

// Guards against a claim that is taken for made although it stands in a store that was restored meanwhile, at the same offset.
tap.test('an append at a position succeeds only at the end of the log, in the era of the position', async t => {
	await using store = await FakePlatformStore.create();
	await using client = StoreClient.create(store.address, silentLogger);
	const {next: start} = await client.readSmallTopic('keyed.mine');
	const records = [{key: 'a', value: '{"number": 1}'}, {key: 'b', value: '{"number": 2}'}];
	t.equal(await client.appendAt('keyed.mine', start, records), 'appended');
	t.equal(await client.appendAt('keyed.mine', start, records), 'conflict');
	const {next, records: read} = await client.readSmallTopic('keyed.mine');
	t.same(read.map(({key, offset}) => [key, offset]), [['a', 0], ['b', 1]]);
	store.era += 1;
	t.equal(await client.appendAt('keyed.mine', next, [{key: 'a', value: '{"number": 3}'}]), 'conflict');
	const {next: after} = await client.readSmallTopic('keyed.mine');
	t.equal(after.offset, 3, 'it stands in the log of the new era all the same');
});

tap.test('a write whose response is lost may have taken effect, and repeating it is idempotent', async t => {
	await using store = await FakePlatformStore.create();
	await using client = StoreClient.create(store.address, silentLogger);
	store.fault = () => 'lose-answer';
	await t.rejects(client.put('keyed.mine', 'a', '{"address": "1"}'));
	store.fault = () => undefined;
	await client.put('keyed.mine', 'a', '{"address": "1"}');
	t.same(store.keys('keyed.mine'), ['a']);
	await client.put('keyed.mine', 'a', undefined);
	t.same(store.keys('keyed.mine'), []);
});

tap.test('changes continue from the snapshot, and history that is no longer retained is reported as gone', async t => {
	await using store = await FakePlatformStore.create();
	await using client = StoreClient.create(store.address, silentLogger);
	store.put('keyed.servers', 'a', {service: 's', address: '1.2.3.4:5', zone: 'z', slots: 1, state: 'ready', seq: 1});
	const newest = await client.readNewest('keyed.servers');
	t.equal(newest.records.length, 1);
	const waiting = client.readChanges('keyed.servers', newest.next, {waitMilliseconds: 5000});
	store.put('keyed.servers', 'b', {service: 's', address: '1.2.3.4:6', zone: 'z', slots: 1, state: 'ready', seq: 1});
	t.match(await waiting, {type: 'page', page: {records: [{key: 'b', era: 1, offset: 1}], next: {era: 1, offset: 2}}});
	store.forget('keyed.servers');
	t.same(await client.readChanges('keyed.servers', {era: 1, offset: 0}, {waitMilliseconds: 0}), {type: 'gone'});
	t.same(await client.readChanges('keyed.servers', {era: 1, offset: 50}, {waitMilliseconds: 0}), {type: 'gone'}, 'the log ends before the requested position: its history was replaced');
});

/** A logger that keeps its messages. */
function recordLines() {
	const lines: string[] = [];
	const log = (message: string): void => {
		lines.push(message);
	};

	return {lines, logger: {debug: log, info: log, warn: log, error: log}};
}

tap.test('a malformed record is logged and skipped, and the others are applied', async t => {
	await using store = await FakePlatformStore.create();
	await using client = StoreClient.create(store.address, silentLogger);
	const {lines, logger} = recordLines();
	store.put('keyed.servers', 'bad', {service: 5});
	store.put('keyed.servers', 'good', {service: 's', address: '1.2.3.4:5', zone: 'z', slots: 1, state: 'ready', seq: 1});
	store.put('keyed.op', 'config', {version: 'x'});
	const endpoints = await endpointFeed(client, logger).readSnapshot();
	t.match(endpoints.items, [{type: 'registered', record: {id: 'good'}}]);
	const tables = await routingFeed(client, logger).readSnapshot();
	t.same(tables.items, []);
	t.equal(lines.length, 2);
});

// All states of the operator have one key: of each one after the first that could not be read nothing was said, and an old table stayed in force unexplained.
tap.test('a second malformed state is logged, too', async t => {
	await using store = await FakePlatformStore.create();
	await using client = StoreClient.create(store.address, silentLogger);
	const {lines, logger} = recordLines();
	const feed = routingFeed(client, logger);
	using time = VirtualTime.install();
	store.put('keyed.op', 'config', {version: 'x'});
	await feed.readSnapshot();
	await feed.readSnapshot();
	t.equal(lines.length, 1);
	time.runFor(10_000);
	store.put('keyed.op', 'config', {version: 'y'});
	await feed.readSnapshot();
	t.equal(lines.length, 2);
});

const wellFormed = {service: 's', address: '1.2.3.4:5', zone: 'z', slots: 4, state: 'ready', seq: 3, born: 1000};

// Another program writes to the same topics: fields are missing or of another type, or the bytes are not text. With
// defaults, such a record would become an endpoint that does not exist, and requests would be sent to it; an error thrown
// out of the feed would keep all other records from being read. Each must be skipped with one log line.
tap.test('records by other writers create no endpoint and keep no other record from being read', async t => {
	for (const field of Object.keys(wellFormed).filter(name => name !== 'born')) {
		const {[field as keyof typeof wellFormed]: _, ...rest} = wellFormed;
		t.throws(() => decodeServer({key: 'e', value: JSON.stringify(rest), era: 0, offset: 1}), `without ${field}`);
	}

	t.throws(() => decodeServer({key: 'e', value: JSON.stringify({...wellFormed, state: 'retired'}), era: 0, offset: 1}));
	t.throws(() => decodeServer({key: 'e', value: JSON.stringify({...wellFormed, born: 'yesterday'}), era: 0, offset: 1}));
	t.match(decodeServer({key: 'e', value: JSON.stringify(wellFormed), era: 0, offset: 1}), {type: 'registered', record: {bornAt: 1000}});
	await using store = await FakePlatformStore.create();
	await using client = StoreClient.create(store.address, silentLogger);
	const {lines, logger} = recordLines();
	const value = fc.oneof(fc.jsonValue(), fc.record({service: fc.anything(), address: fc.anything(), state: fc.anything()}).map(record => JSON.stringify(record)));
	for (const [index, malformedValue] of fc.sample(value, {seed: 8, numRuns: 150}).entries()) {
		store.put('keyed.servers', `strange-${index}`, malformedValue);
		store.put('keyed.op', `strange-${index}`, malformedValue);
		store.put('keyed.cassiaflow-instances', `strange-${index}`, malformedValue);
	}

	store.put('keyed.servers', 'good', wellFormed);
	const feeds = [endpointFeed(client, logger), routingFeed(client, logger), instanceFeed(client, logger)] as const;
	for (const feed of feeds) {
		const snapshot = await feed.readSnapshot();
		const changes = await feed.readChanges({era: 1, offset: 0}, 0);
		t.ok(snapshot.next.offset > 100, `${feed.name} was read to its end`);
		t.match(changes, {type: 'page', page: {next: snapshot.next}});
	}

	const {items} = await feeds[0].readSnapshot();
	t.match(items, [{type: 'registered', record: {id: 'good'}}]);
	t.ok(lines.length <= 2 * 151, `${lines.length} lines: one for each key of a feed`);
	const config = {version: 1, routes: [], services: [], limits: {}, tenants: []};
	fc.assert(fc.property(fc.constantFrom(...Object.keys(config)), fc.jsonValue(), (field, malformedValue) => {
		const text = JSON.stringify({...config, [field]: malformedValue});
		try {
			decodeDesiredState(text);
		} catch (error) {
			return error instanceof Error;
		}

		return true;
	}), {seed: 5, numRuns: 200});
});

// Guards against a malformed statement that ends the request, or that holds an endpoint back for ever.
tap.test('a rate limit that a worker states is decoded whatever its status, and a malformed one is reported', async t => {
	const stated = (value: string): unknown => requestCodec.readResponse(503, {'server-limit': value}).stated;
	t.same(stated('2.3'), {statements: [{type: 'rate-limit', requestsPerSecond: 2.3}], malformed: []});
	t.same(stated('0'), {statements: [{type: 'rate-limit', requestsPerSecond: 0}], malformed: []});
	t.same(stated('3, 2'), {statements: [{type: 'rate-limit', requestsPerSecond: 2}], malformed: []}, 'the lowest of two');
	t.same(stated('1e9'), {statements: [{type: 'rate-limit', requestsPerSecond: 1e9}], malformed: []});
	for (const malformed of ['abc', '-1', '', 'Infinity', 'NaN']) {
		t.same(stated(malformed), {statements: [], malformed: [`server-limit: ${malformed}`]});
	}

	t.same(requestCodec.readResponse(200, {}).stated, {statements: [], malformed: []});
});

tap.test('a worker that leaves states so in any response', async t => {
	const stated = (value: string): unknown => requestCodec.readResponse(500, {'server-leaving': value}).stated;
	t.same(stated('1'), {statements: [{type: 'leaving'}], malformed: []});
	t.same(stated('0'), {statements: [], malformed: []});
	t.same(stated('1, 1'), {statements: [{type: 'leaving'}], malformed: []});
	t.same(stated('yes'), {statements: [], malformed: ['server-leaving: yes']});
	t.same(requestCodec.readResponse(200, {'server-leaving': '1', 'server-limit': '2'}).stated.statements.map(({type}) => type), ['rate-limit', 'leaving']);
});

tap.test('a backoff that a worker asks for is decoded from a 503 only, in each of its forms', async t => {
	const stated = (value: string, headers: Readonly<Record<string, string>> = {}): unknown => requestCodec.readResponse(503, {'retry-after': value, ...headers}).stated;
	t.same(stated('3'), {statements: [{type: 'backoff', milliseconds: 3000}], malformed: []});
	t.same(stated('2.5'), {statements: [{type: 'backoff', milliseconds: 2500}], malformed: []});
	t.same(stated('10000'), {statements: [{type: 'backoff', milliseconds: 10_000_000}], malformed: []});
	t.same(stated('0'), {statements: [], malformed: []});
	t.same(stated('Thu, 03 Dec 2026 10:00:05 GMT', {date: 'Thu, 03 Dec 2026 10:00:00 GMT'}), {statements: [{type: 'backoff', milliseconds: 5000}], malformed: []});
	t.same(stated('Thu, 03 Dec 2026 09:00:00 GMT', {date: 'Thu, 03 Dec 2026 10:00:00 GMT'}), {statements: [], malformed: []}, 'a date that is past');
	t.match(stated('Thu, 03 Dec 2026 10:00:05 GMT'), {statements: [], malformed: [/retry-after/v]}, 'a date is not compared with the own clock');
	for (const malformed of ['-1', 'soon', '', 'Infinity']) {
		t.same(stated(malformed), {statements: [], malformed: [`retry-after: ${malformed}`]});
	}

	for (const status of [200, 429, 500]) {
		t.same(requestCodec.readResponse(status, {'retry-after': '3'}).stated, {statements: [], malformed: []}, `${status}`);
	}
});

// After a restart of all instances only the engines know which prompt parts they have cached.
tap.test('an engine\'s list of cached prompt parts is read, and a malformed list is rejected', async t => {
	let body = JSON.stringify({epoch: 1, next: 5, held: [['', '5c1e07a2', 800, 'm'], ['', '91bd3f06', 410, 'm']]});
	const server = createServer((request, response) => {
		response.writeHead(request.url === '/v1/kv-list' ? 200 : 404).end(body);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
	const listed = await readCachedParts(address);
	const parts = listed.type === 'listed' ? listed.parts : undefined;
	const read = requestCodec.readRequest({'request-id': 'r', 'prefix-hash': '5c1e07a2:800,91bd3f06:410'});
	t.same(read.type === 'facts' && read.facts.parts, parts, 'the same ids as in the headers of a request');
	for (const wrong of ['{', '{"held": 5}', '{"held": [["", 5]]}', '[]']) {
		body = wrong;
		await t.rejects(readCachedParts(address));
	}

	server.close();
	server.closeAllConnections();
	await t.rejects(readCachedParts(address));
});
