import fc from 'fast-check';
import tap from 'tap';
import {type EndpointId, type TargetName, type ZoneName} from '../../src/model/index.js';
import {
	absenceMilliseconds, createAssignment, type EngineMember, modelsForEndpoint, observeMembers, endpointsForModel,
} from '../../src/policy/assignment/index.js';

const model = 'model-a' as TargetName;

function site(index: number, more: Partial<EngineMember> = {}): EngineMember {
	return {endpoint: `engine-${index}` as EndpointId, zone: `zone-${index % 3}` as ZoneName, models: [], leaving: false, ...more};
}

const anySites = fc.uniqueArray(fc.record({
	index: fc.nat(30), holds: fc.boolean(), leaving: fc.boolean(),
}), {selector: ({index}) => index, maxLength: 20}).map(list => list.map(({index, holds, leaving}) => site(index, {models: holds ? [model] : [], leaving})));

tap.test('every reader of the same list assigns alike, whatever its order', async t => {
	fc.assert(fc.property(anySites, fc.nat(6), (sites, replicas) => {
		const there = endpointsForModel(observeMembers(createAssignment(), sites, 0), {name: model, replicas});
		const back = endpointsForModel(observeMembers(createAssignment(), sites.toReversed(), 0), {name: model, replicas});
		return [...there].toSorted().join(' ') === [...back].toSorted().join(' ');
	}), {seed: 7});
	t.pass('100 lists');
});

tap.test('an assignment has as many replicas as wanted or possible, and none is leaving', async t => {
	fc.assert(fc.property(anySites, fc.nat(6), (sites, replicas) => {
		const chosen = endpointsForModel(observeMembers(createAssignment(), sites, 0), {name: model, replicas});
		const usable = sites.filter(({leaving}) => !leaving).map(({endpoint}) => endpoint);
		return chosen.length === Math.min(replicas, usable.length) && chosen.every(endpoint => usable.includes(endpoint));
	}), {seed: 8});
	t.pass('100 lists');
});

tap.test('a joining endpoint moves nothing', async t => {
	fc.assert(fc.property(anySites, fc.integer({min: 1, max: 6}), (sites, replicas) => {
		const chosen = endpointsForModel(observeMembers(createAssignment(), sites, 0), {name: model, replicas});
		const loaded = sites.map(one => (chosen.includes(one.endpoint) ? {...one, models: [model]} : {...one, models: []}));
		const before = endpointsForModel(observeMembers(createAssignment(), loaded, 0), {name: model, replicas});
		const after = endpointsForModel(observeMembers(createAssignment(), [...loaded, site(99)], 0), {name: model, replicas});
		return before.every(endpoint => after.includes(endpoint)) && (before.length < replicas || after.length === before.length);
	}), {seed: 9});
	t.pass('100 joins');
});

tap.test('replicas are spread over the availability zones', async t => {
	const sites = Array.from({length: 9}, (_, index) => site(index));
	const chosen = endpointsForModel(observeMembers(createAssignment(), sites, 0), {name: model, replicas: 3});
	const zones = new Set(chosen.map(endpoint => sites.find(one => one.endpoint === endpoint)!.zone));
	t.equal(zones.size, 3);
});

// Nobody sees anything: an endpoint restarts and is missing from the list for some seconds. Its
// replica is not loaded elsewhere until it has been away for a minute.
tap.test('a short absence moves nothing, a long one is made up for', async t => {
	const sites = [site(0, {models: [model]}), site(1)];
	const seen = observeMembers(createAssignment(), sites, 0);
	const short = observeMembers(seen, [sites[1]!], absenceMilliseconds - 1);
	t.same(endpointsForModel(short, {name: model, replicas: 1}), ['engine-0']);
	const long = observeMembers(short, [sites[1]!], absenceMilliseconds);
	t.same(endpointsForModel(long, {name: model, replicas: 1}), ['engine-1']);
	t.same(modelsForEndpoint(long, [{name: model, replicas: 1}], 'engine-1' as EndpointId), [model]);
});
