import {writeFileSync} from 'node:fs';
import tap from 'tap';
import {checkSettings, explainFromLogs, OperatorExit, showDutiesFromLogs} from '../../src/operator/index.js';

tap.test('a request is traced through log files with other output around its lines', async t => {
	const folder = t.testdir({
		'a.log': [
			'  12.1 front-a {"instance":"a","request":"r1","msg":"Request: Sent.","endpoint":"e1","outcome":"failed","reason":"socket hang up","time":"2026-01-01T00:00:02Z"}',
			'{"instance":"a","request":"r10","msg":"Request: Sent.","time":"2026-01-01T00:00:02Z"}',
			'{"instance":"a","request":"r1","msg":"cut off',
		].join('\n'),
		'b.log': '{"instance":"b","request":"r1","msg":"Request: Refused.","reason":"too-late","time":"2026-01-01T00:00:01Z"}\n',
	});
	const found = explainFromLogs([`${folder}/a.log`, `${folder}/b.log`], 'r1');
	t.equal(found.exit, OperatorExit.ok);
	t.match(found.value, {lines: [{instance: 'b', fields: {reason: 'too-late'}}, {instance: 'a', fields: {endpoint: 'e1', reason: 'socket hang up'}}]});
	t.match(found.text, /too-late[\s\S]*socket hang up/v);
	t.equal(explainFromLogs([`${folder}/b.log`], 'r9').exit, OperatorExit.notFound);
});

tap.test('checking a settings file reports every invalid field at once', async t => {
	const folder = t.testdir({});
	const valid = {
		instance: 'a', availabilityZone: 'z', callerAddress: '10.0.0.1:1', adminAddress: '10.0.0.1:2', peerAddress: '10.0.0.1:3', storeAddress: '10.0.0.2:4', memoryMegabytes: 200, novel: 1,
	};
	writeFileSync(`${folder}/right.json`, JSON.stringify(valid));
	writeFileSync(`${folder}/wrong.json`, JSON.stringify({...valid, callerAddress: 'here', memoryMegabytes: -1}));
	writeFileSync(`${folder}/text.json`, 'not json');
	writeFileSync(`${folder}/duties.json`, JSON.stringify({...valid, duties: {receiverAddress: 'there', leaseMilliseconds: 1}}));
	t.match(checkSettings(`${folder}/duties.json`).text, /duties\.receiverAddress[\s\S]*duties\.leaseMilliseconds/v);
	t.equal(checkSettings(`${folder}/right.json`).exit, OperatorExit.ok, 'unknown fields are ignored');
	const invalid = checkSettings(`${folder}/wrong.json`);
	t.equal(invalid.exit, OperatorExit.rejected);
	t.match(invalid.text, /callerAddress[\s\S]*memoryMegabytes/v);
	t.match(checkSettings(`${folder}/text.json`).text, /not JSON/v);
	t.throws(() => checkSettings(`${folder}/missing.json`), /ENOENT/v);
});

tap.test('the holder of the duties and the windows are shown from log files', async t => {
	const line = (instance: string, second: number, message: string, fields: Record<string, unknown>): string => JSON.stringify({instance, msg: `Duties: ${message}`, ...fields, time: `2026-01-01T00:00:0${second}Z`});
	const folder = t.testdir({
		'a.log': [line('a', 1, 'Duties held.', {token: 1}), line('a', 4, 'Duties no longer held.', {token: 1, holder: 'b'}), line('a', 5, 'Connection to the holder of the duties ended.', {holder: 'b'})].join('\n'),
		'b.log': [line('b', 3, 'Duties held.', {token: 9}), line('b', 5, 'Usage decided.', {window: 7, total: 12, missing: ['a']})].join('\n'),
		'c.log': '{"instance":"c","msg":"Request: Sent.","time":"2026-01-01T00:00:02Z"}\n',
	});
	const found = showDutiesFromLogs([`${folder}/a.log`, `${folder}/b.log`, `${folder}/c.log`]);
	t.match(found, {exit: OperatorExit.ok, value: {holder: {instance: 'b', token: 9, isLost: false}}});
	t.match(found.text, /Held by b with token 9[\s\S]*missing: a/v);
	t.notMatch(found.text, /Connection/v);
	t.match(showDutiesFromLogs([`${folder}/a.log`]).text, /Last held by a/v);
	t.equal(showDutiesFromLogs([`${folder}/c.log`]).exit, OperatorExit.notFound);
});
