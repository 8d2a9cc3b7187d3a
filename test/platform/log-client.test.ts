import tap from 'tap';
import {FakeLog} from '../../fakes/index.js';
import {HttpLogClient, PlatformError} from '../../src/platform/index.js';

const timeoutMilliseconds = 2000;

tap.test('appends get increasing offsets and are read back in order', async t => {
	await using log = await FakeLog.create();
	await using client = HttpLogClient.create({baseUrl: log.url, timeoutMilliseconds});
	for (let offset = 0; offset < 3; offset++) {
		t.same(await client.append('catalogue', {change: offset}), {type: 'appended', offset});
	}

	const result = await client.read('catalogue', 1);
	t.match(result, {type: 'records', first: 0, next: 3});
	t.same(result.type === 'records' && result.records.map(record => record.value), [{change: 1}, {change: 2}]);
});

tap.test('a read waits for the next record', async t => {
	await using log = await FakeLog.create();
	await using client = HttpLogClient.create({baseUrl: log.url, timeoutMilliseconds});
	const pendingRead = client.read('claims', 0, {waitMilliseconds: 60_000});
	await client.append('claims', 'first');
	t.match(await pendingRead, {type: 'records', records: [{offset: 0, value: 'first'}]});
});

tap.test('a read of an offset that retention has dropped returns gone', async t => {
	await using log = await FakeLog.create({faults: {retainRecords: 2}});
	await using client = HttpLogClient.create({baseUrl: log.url, timeoutMilliseconds});
	for (let count = 0; count < 5; count++) {
		await client.append('claims', count);
	}

	t.same(await client.read('claims', 0), {type: 'gone', first: 3, next: 5});
});

tap.test('an append whose response is lost is unknown, and the record is in the log', async t => {
	// The log stores the record, but its response is lost. If the append were reported as refused, the writer
	// would repeat or deny a record that every reader sees.
	await using log = await FakeLog.create({faults: {loseAnswers: 1}});
	await using client = HttpLogClient.create({baseUrl: log.url, timeoutMilliseconds});
	t.match(await client.append('claims', 'kept'), {type: 'unknown'});
	t.match(await client.read('claims', 0), {records: [{value: 'kept'}]});
});

tap.test('an append that was certainly not stored is refused, and one to a failing log is unknown', async t => {
	await using log = await FakeLog.create({faults: {appendsPerSecond: 1}});
	await using client = HttpLogClient.create({baseUrl: log.url, timeoutMilliseconds});
	await client.append('claims', 1);
	t.match(await client.append('claims', 2), {type: 'refused'}, 'rate limit');
	log.faults.mode = 'error';
	t.match(await client.append('claims', 3), {type: 'unknown'}, 'server error');
	log.faults.mode = 'reset';
	t.match(await client.append('claims', 4), {type: 'unknown'}, 'connection reset');
	await log.stop();
	t.match(await client.append('claims', 5), {type: 'refused'}, 'no connection');
	t.equal(log.records('claims').length, 1);
});

tap.test('a call to a log that hangs ends at its timeout', async t => {
	await using log = await FakeLog.create({faults: {mode: 'hang'}});
	await using client = HttpLogClient.create({baseUrl: log.url, timeoutMilliseconds: 30});
	t.match(await client.append('claims', 1), {type: 'unknown'});
	await t.rejects(client.read('claims', 0), PlatformError);
});

tap.test('a record that the log stored twice has two offsets', async t => {
	await using log = await FakeLog.create({faults: {duplicateAppends: 1}});
	await using client = HttpLogClient.create({baseUrl: log.url, timeoutMilliseconds});
	t.same(await client.append('claims', 'twice'), {type: 'appended', offset: 0});
	t.match(await client.read('claims', 0), {records: [{offset: 0, value: 'twice'}, {offset: 1, value: 'twice'}]});
});
