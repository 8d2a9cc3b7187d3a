import fc from 'fast-check';
import tap from 'tap';
import {type ZoneName} from '../../src/model/index.js';
import {type EndpointChange, endpointChangeSchema, EndpointDirectory, tombstoneMilliseconds, EndpointStatus, endpointStatusOf, unconfirmedMilliseconds} from '../../src/routing/index.js';

type Position = {readonly era: number; readonly offset: number};

function registered(id: string, position: Position, more: {isLeaving?: boolean; revision?: number; bornAt?: number; slots?: number} = {}): EndpointChange {
	return {type: 'registered', ...position, record: {id, service: 's', address: '1.2.3.4:5', zone: 'z' as ZoneName, slots: 1, isLeaving: false, revision: 1, ...more}};
}

function removed(id: string, position: Position): EndpointChange {
	return {type: 'removed', ...position, id};
}

function statusOf(directory: EndpointDirectory, id: string, now: number): EndpointStatus | undefined {
	const entry = directory.entries.get(id);
	return entry === undefined ? undefined : endpointStatusOf(entry, now);
}

// Guards against a whole service that counts as ended because the backup is older than its registrations.
tap.test('an endpoint that the backup lacks is used until its grace period ends, and for good once it registers again', async t => {
	const before = EndpointDirectory.create().apply([registered('e', {era: 1, offset: 900})], 0);
	const restored = before.applySnapshot(new Set(), 2, 1000);
	t.equal(statusOf(restored, 'e', 1000), EndpointStatus.ready);
	t.equal(restored.unconfirmed(1000).length, 1);
	t.equal(statusOf(restored, 'e', 1000 + unconfirmedMilliseconds), EndpointStatus.lastResort);
	t.equal(statusOf(restored, 'e', 1000 + (2 * unconfirmedMilliseconds)), EndpointStatus.gone);
	for (const offset of [850, 860, 899]) {
		for (const revision of [1, 2]) {
			const again = restored.apply([registered('e', {era: 2, offset}, {revision})], 2000);
			t.equal(statusOf(again, 'e', 3 * unconfirmedMilliseconds), EndpointStatus.ready, `at ${offset}, revision ${revision}`);
			t.equal(again.unconfirmed(2000).length, 0);
		}
	}

	t.equal(restored.prune(1000 + unconfirmedMilliseconds + tombstoneMilliseconds).entries.size, 0, 'an endpoint that never registers again is dropped');
});

// Guards against an ended endpoint that is used again because the backup still has it.
tap.test('an endpoint removed before the restore is not usable again through the backup, but through a later revision', async t => {
	const ended = EndpointDirectory.create().apply([registered('e', {era: 1, offset: 900}, {revision: 9}), removed('e', {era: 1, offset: 950})], 0);
	const restored = ended.apply([registered('e', {era: 2, offset: 900}, {revision: 9})], 10).applySnapshot(new Set(['e']), 2, 10);
	t.ok(restored.entries.get('e')?.endedAt !== undefined);
	t.equal(restored.apply([registered('e', {era: 2, offset: 905}, {revision: 10})], 20).entries.get('e')?.endedAt, undefined, 'it wrote again after the removal');
	const shutDown = EndpointDirectory.create().apply([registered('l', {era: 1, offset: 1}), registered('l', {era: 1, offset: 2}, {revision: 2, isLeaving: true})], 0);
	t.ok(shutDown.apply([registered('l', {era: 2, offset: 1})], 10).entries.get('l')?.endedAt !== undefined, 'the backup is from before its shutdown');
	t.equal(shutDown.apply([registered('l', {era: 2, offset: 1}, {bornAt: 5})], 10).entries.get('l')?.endedAt, undefined, 'a later incarnation');
});

// Guards against a removal that is ignored because its offset is lower than that of a removal before the store was restored from a backup.
tap.test('an endpoint that is removed again in a later era, at a lower offset, has ended', async t => {
	const again = EndpointDirectory.create().apply([
		registered('e', {era: 1, offset: 900}, {revision: 9}), removed('e', {era: 1, offset: 950}), registered('e', {era: 2, offset: 890}, {revision: 10}),
	], 0);
	t.equal(statusOf(again, 'e', unconfirmedMilliseconds), EndpointStatus.ready, 'it wrote after the removal that the backup lacks');
	const removedAgain = again.apply([removed('e', {era: 2, offset: 900})], 10);
	t.ok(removedAgain.entries.get('e')?.endedAt !== undefined);
	t.ok(removedAgain.apply([removed('e', {era: 1, offset: 950})], 20).entries.get('e')?.endedAt !== undefined, 'whatever a peer reports about the earlier era');
	const updated = EndpointDirectory.create().apply([registered('e', {era: 1, offset: 900}, {slots: 16}), registered('e', {era: 2, offset: 850}, {slots: 8})], 0);
	t.equal(updated.entries.get('e')?.record.slots, 8, 'of two records of one revision that of the later era counts');
});

// Guards against instances that never agree: one has polled the new era, one has not, and both report to each other.
tap.test('the same changes of several eras lead to the same endpoints, in every order', async t => {
	const changes = [
		registered('e', {era: 1, offset: 5}, {revision: 3}),
		removed('e', {era: 1, offset: 6}),
		registered('e', {era: 2, offset: 4}, {revision: 3}),
		registered('e', {era: 2, offset: 6}, {revision: 4}),
		removed('e', {era: 2, offset: 7}),
		registered('e', {era: 3, offset: 7}, {revision: 5}),
		registered('f', {era: 1, offset: 7}, {revision: 1}),
		registered('f', {era: 2, offset: 5}, {revision: 1, isLeaving: true}),
		registered('f', {era: 3, offset: 5}, {revision: 1}),
		registered('g', {era: 2, offset: 8}),
	];
	const outcome = (order: readonly EndpointChange[]): unknown => {
		let directory = EndpointDirectory.create();
		for (const change of order) {
			directory = directory.apply([change], 0);
		}

		return [...directory.entries.values()].map(({record, registrations, endedAt, unconfirmedUntil}) => ({record, registrations, hasEnded: endedAt !== undefined, unconfirmedUntil}))
			.toSorted((left, right) => left.record.id < right.record.id ? -1 : 1);
	};

	fc.assert(fc.property(fc.subarray(changes, {minLength: 1}), fc.nat(), (subset, seed) => {
		const [order] = fc.sample(fc.shuffledSubarray(subset, {minLength: subset.length}), {seed, numRuns: 1});
		t.same(outcome(order!), outcome(subset));
	}), {seed: 11, numRuns: 500});
	t.match(outcome(changes), [{record: {id: 'e'}, hasEnded: false}, {record: {id: 'f'}, hasEnded: true}, {record: {id: 'g'}, unconfirmedUntil: unconfirmedMilliseconds}]);
});

tap.test('an instance without support for eras removes nothing that a later era has named', async t => {
	const named = EndpointDirectory.create().apply([registered('e', {era: 3, offset: 10})], 0);
	t.equal(named.apply([removed('e', {era: 0, offset: 4000})], 1).entries.get('e')?.endedAt, undefined);
	const received = named.apply([registered('old', {era: 0, offset: 4000})], 1);
	t.equal(statusOf(received, 'old', 2), EndpointStatus.ready);
	t.equal(statusOf(received, 'old', 2 + (2 * unconfirmedMilliseconds)), EndpointStatus.gone, 'its registration is unconfirmed here');
});

tap.test('messages of an instance without support for eras belong to the first era', async t => {
	t.same(endpointChangeSchema.parse({type: 'removed', offset: 5, id: 'e'}), {type: 'removed', era: 0, offset: 5, id: 'e'});
	t.throws(() => endpointChangeSchema.parse({type: 'removed', era: -1, offset: 5, id: 'e'}));
	t.throws(() => endpointChangeSchema.parse({type: 'removed', era: 'two', offset: 5, id: 'e'}));
});
