import fc from 'fast-check';
import tap from 'tap';
import {type EndpointId, type TargetName, type ZoneName} from '../../src/model/index.js';
import {
	absenceGraceMilliseconds, createAssignment, type EngineMember, modelsForEndpoint, observeMembers, endpointsForModel,
} from '../../src/policy/assignment/index.js';

const model = 'model-a' as TargetName;

function createMember(index: number, overrides: Partial<EngineMember> = {}): EngineMember {
	return {endpoint: `engine-${index}` as EndpointId, zone: `zone-${index % 3}` as ZoneName, models: [], leaving: false, ...overrides};
}

const arbitraryMembers = fc.uniqueArray(fc.record({
	index: fc.nat(30), holds: fc.boolean(), leaving: fc.boolean(),
}), {selector: ({index}) => index, maxLength: 20}).map(list => list.map(({index, holds, leaving}) => createMember(index, {models: holds ? [model] : [], leaving})));

tap.test('the assignment does not depend on the order of the membership list', async t => {
	fc.assert(fc.property(arbitraryMembers, fc.nat(6), (members, replicas) => {
		const assigned = endpointsForModel(observeMembers(createAssignment(), members, 0), {name: model, replicas});
		const assignedReversed = endpointsForModel(observeMembers(createAssignment(), members.toReversed(), 0), {name: model, replicas});
		return [...assigned].toSorted().join(' ') === [...assignedReversed].toSorted().join(' ');
	}), {seed: 7});
	t.pass('100 lists');
});

tap.test('an assignment has as many replicas as requested or possible, and none is on a leaving endpoint', async t => {
	fc.assert(fc.property(arbitraryMembers, fc.nat(6), (members, replicas) => {
		const chosen = endpointsForModel(observeMembers(createAssignment(), members, 0), {name: model, replicas});
		const usable = members.filter(({leaving}) => !leaving).map(({endpoint}) => endpoint);
		return chosen.length === Math.min(replicas, usable.length) && chosen.every(endpoint => usable.includes(endpoint));
	}), {seed: 8});
	t.pass('100 lists');
});

tap.test('a joining endpoint moves no replica', async t => {
	fc.assert(fc.property(arbitraryMembers, fc.integer({min: 1, max: 6}), (members, replicas) => {
		const chosen = endpointsForModel(observeMembers(createAssignment(), members, 0), {name: model, replicas});
		const loaded = members.map(member => (chosen.includes(member.endpoint) ? {...member, models: [model]} : {...member, models: []}));
		const before = endpointsForModel(observeMembers(createAssignment(), loaded, 0), {name: model, replicas});
		const after = endpointsForModel(observeMembers(createAssignment(), [...loaded, createMember(99)], 0), {name: model, replicas});
		return before.every(endpoint => after.includes(endpoint)) && (before.length < replicas || after.length === before.length);
	}), {seed: 9});
	t.pass('100 joins');
});

tap.test('replicas are spread over the availability zones', async t => {
	const members = Array.from({length: 9}, (_, index) => createMember(index));
	const chosen = endpointsForModel(observeMembers(createAssignment(), members, 0), {name: model, replicas: 3});
	const zones = new Set(chosen.map(endpoint => members.find(member => member.endpoint === endpoint)!.zone));
	t.equal(zones.size, 3);
});

// An endpoint that restarts is missing from the list for some seconds. Its replica must not be loaded
// elsewhere until the endpoint has been away for a minute; otherwise each restart costs a load.
tap.test('a short absence moves no replica, a long one does', async t => {
	const members = [createMember(0, {models: [model]}), createMember(1)];
	const seen = observeMembers(createAssignment(), members, 0);
	const short = observeMembers(seen, [members[1]!], absenceGraceMilliseconds - 1);
	t.same(endpointsForModel(short, {name: model, replicas: 1}), ['engine-0']);
	const long = observeMembers(short, [members[1]!], absenceGraceMilliseconds);
	t.same(endpointsForModel(long, {name: model, replicas: 1}), ['engine-1']);
	t.same(modelsForEndpoint(long, [{name: model, replicas: 1}], 'engine-1' as EndpointId), [model]);
});
