import fc from 'fast-check';
import tap from 'tap';
import {addOrigin, decideTakeUp, findOrigin, nextSearchMilliseconds, originMilliseconds, type StreamOrigins} from '../../src/policy/streams/index.js';

tap.test('a stream is known until it can no longer be taken up', async t => {
	const origins: StreamOrigins = new Map();
	t.ok(addOrigin(origins, {key: 'a', build: 'v1'}, 0));
	t.notOk(addOrigin(origins, {key: 'a', build: 'v1'}, 10), 'what is known is nothing new');
	t.same(findOrigin(origins, 'a', originMilliseconds - 1), {type: 'known', build: 'v1'});
	t.same(findOrigin(origins, 'a', originMilliseconds), {type: 'unknown'});
});

// Two requests with one id began at two builds, and the stream of one went on at the build of the other.
tap.test('a stream of which two builds are told goes on nowhere', async t => {
	const origins: StreamOrigins = new Map();
	addOrigin(origins, {key: 'a', build: 'v1'}, 0);
	addOrigin(origins, {key: 'a', build: 'v2'}, 1);
	t.same(findOrigin(origins, 'a', 2), {type: 'contradictory'});
	t.same(decideTakeUp({type: 'contradictory'}, new Set(['v1'])), {type: 'refuse', reason: 'contradictory'});
});

tap.test('the number of streams is bounded, and the latest stay', async t => {
	const origins: StreamOrigins = new Map();
	for (let number = 0; number < 30_000; number++) {
		addOrigin(origins, {key: String(number), build: 'v1'}, number / 1000);
	}

	t.ok(origins.size <= 20_000);
	t.same(findOrigin(origins, '29999', 30), {type: 'known', build: 'v1'});
});

tap.test('a stream of unknown origin goes on only where one build can have begun it', async t => {
	t.same(decideTakeUp({type: 'unknown'}, new Set(['v1'])), {type: 'go-on', build: 'v1', reason: 'one-build'});
	t.same(decideTakeUp({type: 'unknown'}, new Set(['v1', 'v2'])), {type: 'refuse', reason: 'unknown'});
});

tap.test('a known stream goes on at its build, whatever builds serve', async t => {
	const builds = fc.uniqueArray(fc.constantFrom('v1', 'v2', 'v3'));
	fc.assert(fc.property(fc.constantFrom('v1', 'v2', 'v3'), builds, (build, serving) => {
		const takeUp = decideTakeUp({type: 'known', build}, new Set(serving));
		return takeUp.type === 'go-on' && takeUp.build === build;
	}));
	t.pass();
});

// A stream was cut whose endpoint ended just before its replacement was known.
tap.test('a stream that has begun looks for an endpoint for a second where none is registered', async t => {
	t.ok(nextSearchMilliseconds({hasBegun: true, hasReady: false, waitedMilliseconds: 0})! > 0);
	t.ok(nextSearchMilliseconds({hasBegun: true, hasReady: false, waitedMilliseconds: 900})! > 0);
	t.equal(nextSearchMilliseconds({hasBegun: true, hasReady: false, waitedMilliseconds: 1000}), undefined);
	t.equal(nextSearchMilliseconds({hasBegun: true, hasReady: true, waitedMilliseconds: 0}), undefined, 'the registered one has been tried');
	t.equal(nextSearchMilliseconds({hasBegun: false, hasReady: false, waitedMilliseconds: 0}), undefined, 'one without a response is refused');
});
