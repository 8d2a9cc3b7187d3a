import tap from 'tap';
import {LogLimit} from '../../src/telemetry/index.js';

tap.test('a key is logged at once, and again after each interval', async t => {
	const limit = LogLimit.create({intervalMilliseconds: 10, maxKeys: 2});
	t.same([0, 9, 10, 19, 20].map(now => limit.allows('a', now)), [true, false, true, false, true]);
});

// Writers that invent keys would fill the memory and the log.
tap.test('keys beyond the bound are never logged, and those within it still are', async t => {
	const limit = LogLimit.create({intervalMilliseconds: 10, maxKeys: 2});
	t.same(['a', 'b', 'c'].map(key => limit.allows(key, 0)), [true, true, false]);
	t.same(['a', 'b', 'c'].map(key => limit.allows(key, 10)), [true, true, false]);
});
