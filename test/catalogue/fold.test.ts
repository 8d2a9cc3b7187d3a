import {isDeepStrictEqual} from 'node:util';
import fc from 'fast-check';
import tap from 'tap';
import {
	applyRecord, Catalogue, findFaults, restoreFrom, type Operation, type StreamRecord,
} from '../../src/catalogue/index.js';
import {
	change, fold, put, sampleClass, sampleModel, sampleWorkspace, stream,
} from './sample.js';

const settings = {seed: 5, numRuns: 300};

/** Concurrent changes: any of a few entries, made against any revision that may be current. */
const entryArbitrary = fc.oneof(
	fc.tuple(fc.constantFrom('andino', 'stickwerk'), fc.integer({min: 1, max: 3})).map(([name, weight]) => sampleWorkspace(name, weight)[0]!),
	fc.tuple(fc.constantFrom('andino', 'stickwerk'), fc.constantFrom('chart', 'order')).map(([workspace, name]) => sampleClass(workspace, name)),
	fc.constantFrom('stitch', 'menu').map(name => sampleModel(name)),
);
const revisionArbitrary = fc.option(fc.integer({min: 0, max: 12}), {freq: 2, nil: undefined});
const operationArbitrary: fc.Arbitrary<Operation> = fc.oneof(
	{weight: 4, arbitrary: fc.tuple(entryArbitrary, revisionArbitrary).map(([entry, revision]) => put(entry, revision))},
	{weight: 1, arbitrary: fc.tuple(entryArbitrary, revisionArbitrary).map(([entry, revision]): Operation => ({type: 'remove', kind: entry.kind, name: entry.name, revision}))},
);
const valueArbitrary = fc.oneof(
	{weight: 3, arbitrary: fc.array(operationArbitrary, {minLength: 1, maxLength: 4}).map(operations => change(...operations))},
	{weight: 1, arbitrary: fc.constantFrom('andino', 'stickwerk').map(name => change(...sampleWorkspace(name).map(entry => put(entry))))},
	{weight: 1, arbitrary: fc.anything()},
);
const streamArbitrary = fc.array(valueArbitrary, {minLength: 1, maxLength: 20}).map(values => stream(...values));

tap.test('any record advances the catalogue by one offset, does not throw, and leaves the catalogue valid', async () => {
	fc.assert(fc.property(streamArbitrary, records => {
		let catalogue = Catalogue.empty();
		for (const record of records) {
			const before = catalogue;
			const {catalogue: next, verdict} = applyRecord(before, record);
			catalogue = next;
			const isConsistent = verdict.type === 'accepted' || next.entries === before.entries;
			if (next.offset !== record.offset || findFaults(next.entries).length > 0 || !isConsistent) {
				return false;
			}
		}

		return true;
	}), settings);
});

tap.test('duplicate, reordered and lost deliveries change nothing once every record has been delivered', async () => {
	const deliveries = streamArbitrary.chain(records => fc.tuple(
		fc.constant(records),
		fc.array(fc.nat({max: records.length - 1}), {maxLength: 60}),
	));
	fc.assert(fc.property(deliveries, ([records, order]) => {
		let catalogue = Catalogue.empty();
		for (const index of order) {
			const {catalogue: next, verdict} = applyRecord(catalogue, records[index]!);
			const isNext = index === catalogue.offset + 1;
			if (isNext === (verdict.type === 'repeated' || verdict.type === 'gap') || next.offset < catalogue.offset) {
				return false;
			}

			catalogue = next;
		}

		return same(fold(records, catalogue), fold(records));
	}), settings);
});

tap.test('a snapshot at any point followed by the rest equals the full replay', async () => {
	fc.assert(fc.property(streamArbitrary, fc.nat(), (records, cut) => {
		const through = cut % records.length;
		const covered = fold(records.slice(0, through + 1));
		const snapshot = {offset: records.length, time: 0, value: structuredClone(covered.snapshot('entry-1'))};
		const restored = restoreFrom(snapshot, through + 1);
		const fullStream = [...records, snapshot];
		const verdict = applyRecord(fold(records), snapshot).verdict.type;
		return restored !== undefined && verdict === 'accepted' && same(fold(fullStream.slice(through + 1), restored), fold(fullStream));
	}), settings);
});

tap.test('of two changes made against one revision only the first in the log is accepted', async t => {
	const base = fold(stream(change(...sampleWorkspace('andino').map(entry => put(entry)))));
	const first: StreamRecord = {offset: 1, time: 0, value: change(put(sampleWorkspace('andino', 2)[0]!, 0))};
	const second: StreamRecord = {offset: 2, time: 0, value: change(put(sampleWorkspace('andino', 3)[0]!, 0))};
	const afterFirst = applyRecord(base, first);
	t.equal(afterFirst.verdict.type, 'accepted');
	const afterSecond = applyRecord(afterFirst.catalogue, second);
	t.same(afterSecond.verdict, {type: 'rejected', reasons: [{type: 'outdated', entry: 'workspace:andino', madeAgainst: 0, current: 1}]});
	t.equal(afterSecond.catalogue.workspace('andino')?.weight, 2);
});

tap.test('a change is applied atomically', async t => {
	const dangling = change(put(sampleModel('menu')), put(sampleClass('nobody', 'chart')));
	const {catalogue, verdict} = applyRecord(Catalogue.empty(), stream(dangling)[0]!);
	t.match(verdict, {type: 'rejected', reasons: [{type: 'invalid', entry: 'class:nobody/chart', field: 'name'}]});
	t.equal(catalogue.models().length, 0);
	t.equal(catalogue.offset, 0);
});

tap.test('a snapshot that differs from the folded records is rejected, and one that is older than the retained records is not used', async t => {
	const records = stream(change(put(sampleModel('menu'))));
	const catalogue = fold(records);
	const wrong = {...catalogue.snapshot('entry-1'), entries: []};
	t.match(applyRecord(catalogue, {offset: 1, time: 0, value: wrong}).verdict, {type: 'rejected', reasons: [{type: 'snapshot-differs'}]});
	t.equal(restoreFrom({offset: 9, time: 0, value: catalogue.snapshot('entry-1')}, 2), undefined);
});

tap.test('keys, default classes and targets are found', async t => {
	const [workspace, chart] = sampleWorkspace('andino');
	const key = 'a'.repeat(64);
	const catalogue = fold(stream(change(put({...workspace!, keySha256: [key]} as typeof workspace & Record<string, unknown>), put(chart!), put(sampleModel('menu')))));
	t.equal(catalogue.findWorkspaceByKey(key)?.name, 'andino');
	t.equal(catalogue.findWorkspaceByKey('b'.repeat(64)), undefined);
	t.equal(catalogue.classOf('andino')?.name, 'andino/chart');
	t.equal(catalogue.classOf('andino', 'order'), undefined);
	t.equal(catalogue.model('menu')?.version, '1');
	t.throws(() => catalogue.advance(catalogue.offset), RangeError);
});

function same(first: Catalogue, second: Catalogue): boolean {
	return first.offset === second.offset && first.changed === second.changed
		&& isDeepStrictEqual(new Map(first.entries), new Map(second.entries));
}
