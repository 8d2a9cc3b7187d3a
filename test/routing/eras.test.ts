import fc from 'fast-check';
import tap from 'tap';
import {type ZoneName} from '../../src/model/index.js';
import {type EndpointChange, endpointChangeSchema, EndpointDirectory, memoryMilliseconds, EndpointStatus, endpointStatusOf, trustMilliseconds} from '../../src/routing/index.js';

type Place = {readonly era: number; readonly offset: number};

function registered(id: string, place: Place, more: {isLeaving?: boolean; revision?: number; bornAt?: number; slots?: number} = {}): EndpointChange {
	return {type: 'registered', ...place, record: {id, service: 's', address: '1.2.3.4:5', zone: 'z' as ZoneName, slots: 1, isLeaving: false, revision: 1, ...more}};
}

function removed(id: string, place: Place): EndpointChange {
	return {type: 'removed', ...place, id};
}

function standing(directory: EndpointDirectory, id: string, now: number): EndpointStatus | undefined {
	const entry = directory.entries.get(id);
	return entry === undefined ? undefined : endpointStatusOf(entry, now);
}

// Guards against a whole service ended because the copy is older than its registrations.
tap.test('an endpoint that the copy lacks is used until its time of trust is over, and for good once it registers again', async t => {
	const before = EndpointDirectory.create().apply([registered('e', {era: 1, offset: 900})], 0);
	const back = before.applySnapshot(new Set(), 2, 1000);
	t.equal(standing(back, 'e', 1000), EndpointStatus.ready);
	t.equal(back.unconfirmed(1000).length, 1);
	t.equal(standing(back, 'e', 1000 + trustMilliseconds), EndpointStatus.lastResort);
	t.equal(standing(back, 'e', 1000 + (2 * trustMilliseconds)), EndpointStatus.gone);
	for (const offset of [850, 860, 899]) {
		for (const revision of [1, 2]) {
			const again = back.apply([registered('e', {era: 2, offset}, {revision})], 2000);
			t.equal(standing(again, 'e', 3 * trustMilliseconds), EndpointStatus.ready, `at ${offset}, revision ${revision}`);
			t.equal(again.unconfirmed(2000).length, 0);
		}
	}

	t.equal(back.prune(1000 + trustMilliseconds + memoryMilliseconds).entries.size, 0, 'whoever never came back is forgotten');
});

// Guards against an endpoint that ended being used again because the copy still has it.
tap.test('what was taken away before is not brought back by the copy, but by a revision after it', async t => {
	const ended = EndpointDirectory.create().apply([registered('e', {era: 1, offset: 900}, {revision: 9}), removed('e', {era: 1, offset: 950})], 0);
	const copied = ended.apply([registered('e', {era: 2, offset: 900}, {revision: 9})], 10).applySnapshot(new Set(['e']), 2, 10);
	t.ok(copied.entries.get('e')?.endedAt !== undefined);
	t.equal(copied.apply([registered('e', {era: 2, offset: 905}, {revision: 10})], 20).entries.get('e')?.endedAt, undefined, 'it wrote again after the removal');
	const left = EndpointDirectory.create().apply([registered('l', {era: 1, offset: 1}), registered('l', {era: 1, offset: 2}, {revision: 2, isLeaving: true})], 0);
	t.ok(left.apply([registered('l', {era: 2, offset: 1})], 10).entries.get('l')?.endedAt !== undefined, 'the copy is from before its leaving');
	t.equal(left.apply([registered('l', {era: 2, offset: 1}, {bornAt: 5})], 10).entries.get('l')?.endedAt, undefined, 'a younger incarnation');
});

// Guards against a removal that is passed over because its offset is lower than that of a removal before the store came back from a copy.
tap.test('an endpoint that is removed again in a later era, at a lower offset, has ended', async t => {
	const again = EndpointDirectory.create().apply([
		registered('e', {era: 1, offset: 900}, {revision: 9}), removed('e', {era: 1, offset: 950}), registered('e', {era: 2, offset: 890}, {revision: 10}),
	], 0);
	t.equal(standing(again, 'e', trustMilliseconds), EndpointStatus.ready, 'it wrote after the removal that the copy lacks');
	const removedAgain = again.apply([removed('e', {era: 2, offset: 900})], 10);
	t.ok(removedAgain.entries.get('e')?.endedAt !== undefined);
	t.ok(removedAgain.apply([removed('e', {era: 1, offset: 950})], 20).entries.get('e')?.endedAt !== undefined, 'whatever a peer tells of the earlier era');
	const rewritten = EndpointDirectory.create().apply([registered('e', {era: 1, offset: 900}, {slots: 16}), registered('e', {era: 2, offset: 850}, {slots: 8})], 0);
	t.equal(rewritten.entries.get('e')?.record.slots, 8, 'of two records of one revision that of the later era stands');
});

// Guards against a fleet that argues: one instance has read the new era, one has not, and both tell each other.
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
	t.match(outcome(changes), [{record: {id: 'e'}, hasEnded: false}, {record: {id: 'f'}, hasEnded: true}, {record: {id: 'g'}, unconfirmedUntil: trustMilliseconds}]);
});

tap.test('an instance that knows of no eras takes nothing away that a later era has named', async t => {
	const named = EndpointDirectory.create().apply([registered('e', {era: 3, offset: 10})], 0);
	t.equal(named.apply([removed('e', {era: 0, offset: 4000})], 1).entries.get('e')?.endedAt, undefined);
	const heard = named.apply([registered('old', {era: 0, offset: 4000})], 1);
	t.equal(standing(heard, 'old', 2), EndpointStatus.ready);
	t.equal(standing(heard, 'old', 2 + (2 * trustMilliseconds)), EndpointStatus.gone, 'its word is on trust here');
});

tap.test('word of an instance that knows of no eras is of the first one', async t => {
	t.same(endpointChangeSchema.parse({type: 'removed', offset: 5, id: 'e'}), {type: 'removed', era: 0, offset: 5, id: 'e'});
	t.throws(() => endpointChangeSchema.parse({type: 'removed', era: -1, offset: 5, id: 'e'}));
	t.throws(() => endpointChangeSchema.parse({type: 'removed', era: 'two', offset: 5, id: 'e'}));
});
