import tap from 'tap';
import {buildsToStore, isWorthStoring, originMilliseconds, possibleBuilds, type ServedBuild} from '../../src/policy/streams/index.js';

const startedAt = 1000;

function possible(served: readonly ServedBuild[], stored: readonly string[] | undefined, uptime: number): string[] | undefined {
	const builds = possibleBuilds({served, stored, startedAt}, startedAt + uptime);
	return builds && [...builds];
}

const v2: ServedBuild = {build: 'v2', endedAt: undefined};

// A build that left just before all instances were lost may have begun a stream that is taken up now.
tap.test('a build that was stored counts for as long as its streams may go on', async t => {
	t.same(possible([v2], ['v1', 'v2'], 10), ['v1', 'v2']);
	t.same(possible([v2], ['v1', 'v2'], originMilliseconds - 1), ['v1', 'v2']);
	t.same(possible([v2], ['v1', 'v2'], originMilliseconds), ['v2']);
});

tap.test('until what was stored is read, the builds are not known, and after a while those of this start are all', async t => {
	t.same(possible([v2], undefined, 10), undefined);
	t.same(possible([v2], undefined, originMilliseconds), ['v2']);
});

tap.test('a build counts for a while after its last endpoint has ended', async t => {
	const ended: ServedBuild = {build: 'v1', endedAt: startedAt + 500};
	t.same(possible([v2, ended], [], 600), ['v1', 'v2']);
	t.same(possible([v2, ended], [], 500 + originMilliseconds), ['v2']);
});

// A single build was not stored: an instance that started took the one that it saw for the one that had always served.
tap.test('builds are stored where they are not, or others are', async t => {
	t.ok(isWorthStoring(new Set(['v1']), undefined));
	t.notOk(isWorthStoring(new Set(['v1']), ['v1']));
	t.notOk(isWorthStoring(new Set(), undefined));
	t.ok(isWorthStoring(new Set(['v1', 'v2']), undefined));
	t.ok(isWorthStoring(new Set(['v2']), ['v1', 'v2']));
	t.notOk(isWorthStoring(new Set(['v1', 'v2']), ['v2', 'v1']));
});

tap.test('what is stored keeps earlier builds for as long as their streams may go on, also where nothing was read', async t => {
	const toStore = (stored: readonly string[] | undefined, uptime: number): string[] => [...buildsToStore({served: [v2], stored, startedAt}, startedAt + uptime)];
	t.same(toStore(['v1'], 10), ['v1', 'v2']);
	t.same(toStore(undefined, 10), ['v2']);
	t.same(toStore(['v1'], originMilliseconds), ['v2']);
});
