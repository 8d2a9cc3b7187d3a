import fc from 'fast-check';
import tap from 'tap';
import {type WorkspaceName, type ZoneName} from '../../src/model/index.js';
import {
	chooseService, type EndpointChange, EndpointDirectory, lastResortMilliseconds, positionOf, type Route, RouteKind, RoutingTable, EndpointStatus, endpointStatusOf,
} from '../../src/routing/index.js';

function route(more: Partial<Route> = {}): Route {
	return {
		name: 'r', host: 'a.example', pathPrefix: '/x/', kind: RouteKind.safe, resumable: false, shares: [{service: 's', weight: 1}], timeoutMilliseconds: 1000,
		targetMilliseconds: 100, urgency: 1, largestAttempts: 2, isPublic: false, ...more,
	};
}

const limits = {headerBytes: 1, bodyBytes: 1, headerMilliseconds: 1, idleMilliseconds: 1};

tap.test('the longest prefix of the host decides, whatever the order', async t => {
	const routes = [route({name: 'short'}), route({name: 'long', pathPrefix: '/x/y/'}), route({name: 'other', host: 'b.example'})];
	for (const order of [routes, routes.toReversed()]) {
		const table = RoutingTable.create({version: 1, routes: order, services: [], limits});
		t.equal(table.findRoute('A.example:80', '/x/y/z')?.name, 'long');
		t.equal(table.findRoute('a.example', '/x/z')?.name, 'short');
		t.equal(table.findRoute('a.example', '/x'), undefined);
		t.equal(table.findRoute('b.example', '/x/y/z')?.name, 'other');
	}
});

tap.test('a key opens routes for its workspace; without workspaces none is needed', async t => {
	const workspace = {name: 'w' as WorkspaceName, keys: ['k']};
	const table = RoutingTable.create({version: 1, routes: [], services: [], workspaces: [workspace], limits});
	t.same(table.access(route(), 'k'), {type: 'allowed', workspace});
	t.same(table.access(route(), 'x'), {type: 'unknown-key'});
	t.same(table.access(route(), undefined), {type: 'unknown-key'});
	t.same(table.access(route({isPublic: true}), undefined), {type: 'allowed', workspace: undefined});
	t.same(RoutingTable.create({version: 1, routes: [], services: [], limits}).access(route(), undefined), {type: 'allowed', workspace: undefined});
});

tap.test('shares get their weight of the draws', async t => {
	const split = route({shares: [{service: 'a', weight: 90}, {service: 'b', weight: 10}]});
	const draws = Array.from({length: 1000}, (_, index) => chooseService(split, index / 1000));
	t.equal(draws.filter(service => service === 'b').length, 100);
	t.equal(chooseService(route({shares: []}), 0.5), undefined);
});

tap.test('only streams whose pauses are clearly shorter than others\' count as tight', async t => {
	const stream = (name: string, pause: number): Route => route({name, kind: RouteKind.stream, longestPauseMilliseconds: pause});
	const [tight, loose] = [stream('t', 120), stream('l', 500)];
	t.ok(RoutingTable.create({version: 1, routes: [tight, loose], services: [], limits}).isLatencyCritical(tight, 's'));
	t.notOk(RoutingTable.create({version: 1, routes: [tight, loose], services: [], limits}).isLatencyCritical(loose, 's'));
	t.notOk(RoutingTable.create({version: 1, routes: [tight], services: [], limits}).isLatencyCritical(tight, 's'));
});

function registered(id: string, offset: number, more: {isLeaving?: boolean; revision?: number; bornAt?: number} = {}): EndpointChange {
	return {type: 'registered', era: 0, offset, record: {id, service: 's', address: '1.2.3.4:5', zone: 'z' as ZoneName, slots: 1, isLeaving: false, revision: 1, ...more}};
}

// Records of the store come late, twice and out of order, from the store and from other instances.
// Whatever the order, an endpoint that said it leaves is never used again, and all orders that end
// with the newest record agree.
tap.test('no order of records brings a leaving endpoint back', async t => {
	const changes = [registered('e', 1), registered('e', 2, {revision: 2}), registered('e', 3, {isLeaving: true, revision: 3}), registered('e', 4, {revision: 3}), {type: 'removed', era: 0, offset: 5, id: 'e'} as const];
	fc.assert(fc.property(fc.shuffledSubarray(changes, {minLength: 1}), fc.array(fc.nat(4)), (order, repeats) => {
		let directory = EndpointDirectory.create();
		let hasLeft = false;
		for (const change of [...order, ...repeats.map(index => changes[index]!)]) {
			directory = directory.apply([change], 0);
			const entry = directory.entries.get('e');
			hasLeft ||= entry?.record.isLeaving === true;
			if (hasLeft && entry?.endedAt === undefined) {
				return false;
			}
		}

		return true;
	}), {seed: 3, numRuns: 300});
});

tap.test('an ended endpoint is a last resort for a moment, then gone', async t => {
	const directory = EndpointDirectory.create().apply([registered('e', 1)], 0).applySnapshot(new Set(), 0, 100);
	const entry = directory.entries.get('e')!;
	t.equal(endpointStatusOf(entry, 100), EndpointStatus.lastResort);
	t.equal(endpointStatusOf(entry, 100 + lastResortMilliseconds), EndpointStatus.gone);
	const back = directory.apply([registered('e', 7)], 200);
	t.equal(endpointStatusOf(back.entries.get('e')!, 200), EndpointStatus.ready, 'the store forgot it, and it registered again');
});

// An endpoint dies and starts again under its id, two times. Its records, removals and late writes of the dead
// come in any order, from the store and from peers. All who heard the same agree, and only the youngest one counts.
tap.test('of an id\'s incarnations the youngest decides, in every order of records', async t => {
	const changes = [
		registered('e', 1, {bornAt: 100, revision: 8}),
		registered('e', 2, {bornAt: 100, revision: 9}),
		{type: 'removed', era: 0, offset: 3, id: 'e'} as const,
		registered('e', 4, {bornAt: 200, revision: 1}),
		registered('e', 5, {bornAt: 100, revision: 10, isLeaving: true}),
		registered('e', 6, {bornAt: 200, revision: 2}),
		{type: 'removed', era: 0, offset: 7, id: 'e'} as const,
		registered('e', 8, {bornAt: 300, revision: 1}),
		registered('e', 9, {bornAt: 200, revision: 3}),
	];
	const outcome = (order: readonly EndpointChange[]): unknown => {
		let directory = EndpointDirectory.create();
		for (const change of order) {
			directory = directory.apply([change], 0);
		}

		const {record, registrations, endedAt} = directory.entries.get('e')!;
		return {bornAt: record.bornAt, revision: record.revision, offset: positionOf(registrations).offset, hasEnded: endedAt !== undefined};
	};

	t.same(outcome(changes), {bornAt: 300, revision: 1, offset: 8, hasEnded: false});
	fc.assert(fc.property(fc.shuffledSubarray(changes, {minLength: changes.length}), fc.array(fc.nat(changes.length - 1)), (order, repeats) => {
		t.same(outcome([...order, ...repeats.map(index => changes[index]!)]), outcome(changes));
	}), {seed: 7, numRuns: 300});
	fc.assert(fc.property(fc.subarray(changes, {minLength: 1}), fc.nat(1000), (subset, seed) => {
		const [order] = fc.sample(fc.shuffledSubarray(subset, {minLength: subset.length}), {seed, numRuns: 1});
		if (subset.some(({type}) => type === 'registered')) {
			t.same(outcome(order!), outcome(subset));
		}
	}), {seed: 9, numRuns: 300});
});

tap.test('an endpoint that left can start again under its id; one that tells no start is never younger', async t => {
	const left = EndpointDirectory.create().apply([registered('e', 1, {bornAt: 100}), registered('e', 2, {bornAt: 100, revision: 2, isLeaving: true})], 0);
	t.ok(left.entries.get('e')?.endedAt !== undefined);
	t.equal(left.apply([registered('e', 3, {bornAt: 200})], 0).entries.get('e')?.endedAt, undefined);
	t.ok(left.apply([registered('e', 3)], 0).entries.get('e')?.endedAt !== undefined);
	const whole = left.apply([registered('e', 3, {bornAt: 200})], 0).applySnapshot(new Set(['other']), 0, 5);
	t.ok(whole.entries.get('e')?.endedAt !== undefined, 'a whole reading that lacks it ends it');
});

// Nine of ten workspaces have the same urgency. Taken alone it made an urgent question and a draft equal: engines read
// the question last, and put it back first when memory ran out.
tap.test('a workspace\'s urgency goes first, and the route\'s decides among equals', async t => {
	const stream = (name: string, urgency: number, pause: number): Route => route({name, urgency, kind: RouteKind.stream, longestPauseMilliseconds: pause});
	const [question, draft] = [stream('question', 0, 100), stream('draft', 2, 1000)];
	const workspace = (name: string, urgency?: number) => ({name: name as WorkspaceName, keys: [name], urgency});
	const [usual, first, none] = [workspace('usual', 1), workspace('first', 0), workspace('none')];
	const table = RoutingTable.create({version: 1, routes: [question, draft], services: [{name: 's', largestConnections: 1}], workspaces: [usual, first, none], limits});
	const rank = (asked: Route, by: typeof usual): number => table.rank(asked, 's', by);
	t.ok(rank(draft, first) < rank(question, usual), 'workspaces go first');
	t.ok(rank(question, usual) < rank(draft, usual));
	t.ok(rank(question, none) < rank(draft, none), 'without an urgency of its own the route\'s counts alone');
	t.equal(rank(question, first), 0);
});
