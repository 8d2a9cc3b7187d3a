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

tap.test('the route with the longest matching prefix of the host is found, whatever the order', async t => {
	const routes = [route({name: 'short'}), route({name: 'long', pathPrefix: '/x/y/'}), route({name: 'other', host: 'b.example'})];
	for (const order of [routes, routes.toReversed()]) {
		const table = RoutingTable.create({version: 1, routes: order, services: [], limits});
		t.equal(table.findRoute('A.example:80', '/x/y/z')?.name, 'long');
		t.equal(table.findRoute('a.example', '/x/z')?.name, 'short');
		t.equal(table.findRoute('a.example', '/x'), undefined);
		t.equal(table.findRoute('b.example', '/x/y/z')?.name, 'other');
	}
});

tap.test('a key gives access for its workspace; without workspaces no key is needed', async t => {
	const workspace = {name: 'w' as WorkspaceName, keys: ['k']};
	const table = RoutingTable.create({version: 1, routes: [], services: [], workspaces: [workspace], limits});
	t.same(table.access(route(), 'k'), {type: 'allowed', workspace});
	t.same(table.access(route(), 'x'), {type: 'unknown-key'});
	t.same(table.access(route(), undefined), {type: 'unknown-key'});
	t.same(table.access(route({isPublic: true}), undefined), {type: 'allowed', workspace: undefined});
	t.same(RoutingTable.create({version: 1, routes: [], services: [], limits}).access(route(), undefined), {type: 'allowed', workspace: undefined});
});

tap.test('services are chosen in proportion to their weights', async t => {
	const split = route({shares: [{service: 'a', weight: 90}, {service: 'b', weight: 10}]});
	const draws = Array.from({length: 1000}, (_, index) => chooseService(split, index / 1000));
	t.equal(draws.filter(service => service === 'b').length, 100);
	t.equal(chooseService(route({shares: []}), 0.5), undefined);
});

tap.test('only streams whose pause limit is clearly shorter than others\' are latency-critical', async t => {
	const stream = (name: string, pause: number): Route => route({name, kind: RouteKind.stream, longestPauseMilliseconds: pause});
	const [critical, tolerant] = [stream('t', 120), stream('l', 500)];
	t.ok(RoutingTable.create({version: 1, routes: [critical, tolerant], services: [], limits}).isLatencyCritical(critical, 's'));
	t.notOk(RoutingTable.create({version: 1, routes: [critical, tolerant], services: [], limits}).isLatencyCritical(tolerant, 's'));
	t.notOk(RoutingTable.create({version: 1, routes: [critical], services: [], limits}).isLatencyCritical(critical, 's'));
});

function registered(id: string, offset: number, more: {isLeaving?: boolean; revision?: number; bornAt?: number} = {}): EndpointChange {
	return {type: 'registered', era: 0, offset, record: {id, service: 's', address: '1.2.3.4:5', zone: 'z' as ZoneName, slots: 1, isLeaving: false, revision: 1, ...more}};
}

// Records arrive late, twice and out of order, from the store and from other instances.
// Whatever the order, an endpoint that announced its shutdown is never used again, and all orders that end
// with the newest record agree.
tap.test('no order of records makes an endpoint usable again after it announced its shutdown', async t => {
	const changes = [
		registered('e', 1),
		registered('e', 2, {revision: 2}),
		registered('e', 3, {isLeaving: true, revision: 3}),
		registered('e', 4, {revision: 3}),
		{type: 'removed', era: 0, offset: 5, id: 'e'} as const,
	];
	fc.assert(fc.property(fc.shuffledSubarray(changes, {minLength: 1}), fc.array(fc.nat(4)), (order, repeats) => {
		let directory = EndpointDirectory.create();
		let hasShutDown = false;
		for (const change of [...order, ...repeats.map(index => changes[index]!)]) {
			directory = directory.apply([change], 0);
			const entry = directory.entries.get('e');
			hasShutDown ||= entry?.record.isLeaving === true;
			if (hasShutDown && entry?.endedAt === undefined) {
				return false;
			}
		}

		return true;
	}), {seed: 3, numRuns: 300});
});

tap.test('an ended endpoint is a last resort for a short time, then gone', async t => {
	const directory = EndpointDirectory.create().apply([registered('e', 1)], 0).applySnapshot(new Set(), 0, 100);
	const entry = directory.entries.get('e')!;
	t.equal(endpointStatusOf(entry, 100), EndpointStatus.lastResort);
	t.equal(endpointStatusOf(entry, 100 + lastResortMilliseconds), EndpointStatus.gone);
	const restarted = directory.apply([registered('e', 7)], 200);
	t.equal(endpointStatusOf(restarted.entries.get('e')!, 200), EndpointStatus.ready, 'the store had dropped it, and it registered again');
});

// An endpoint crashes and restarts under its id, two times. Its records, removals and late writes of earlier incarnations
// arrive in any order, from the store and from peers. Instances with the same records agree, and only the latest incarnation counts.
tap.test('the latest incarnation of an id decides, in every order of records', async t => {
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

tap.test('an endpoint that shut down can restart under its id; a record without a start time is never a later incarnation', async t => {
	const shutDown = EndpointDirectory.create().apply([registered('e', 1, {bornAt: 100}), registered('e', 2, {bornAt: 100, revision: 2, isLeaving: true})], 0);
	t.ok(shutDown.entries.get('e')?.endedAt !== undefined);
	t.equal(shutDown.apply([registered('e', 3, {bornAt: 200})], 0).entries.get('e')?.endedAt, undefined);
	t.ok(shutDown.apply([registered('e', 3)], 0).entries.get('e')?.endedAt !== undefined);
	const updated = shutDown.apply([registered('e', 3, {bornAt: 200})], 0).applySnapshot(new Set(['other']), 0, 5);
	t.ok(updated.entries.get('e')?.endedAt !== undefined, 'a snapshot that lacks it ends it');
});

// Nine of ten workspaces have the same urgency. If only this counted, an urgent question and a draft would be equal: engines would prefill
// the question last, and preempt it first when memory runs out.
tap.test('a workspace\'s urgency takes precedence, and the route\'s decides among equals', async t => {
	const stream = (name: string, urgency: number, pause: number): Route => route({name, urgency, kind: RouteKind.stream, longestPauseMilliseconds: pause});
	const [question, draft] = [stream('question', 0, 100), stream('draft', 2, 1000)];
	const workspace = (name: string, urgency?: number) => ({name: name as WorkspaceName, keys: [name], urgency});
	const [usual, first, none] = [workspace('usual', 1), workspace('first', 0), workspace('none')];
	const table = RoutingTable.create({version: 1, routes: [question, draft], services: [{name: 's', largestConnections: 1}], workspaces: [usual, first, none], limits});
	const rank = (asked: Route, by: typeof usual): number => table.rank(asked, 's', by);
	t.ok(rank(draft, first) < rank(question, usual), 'the workspace takes precedence');
	t.ok(rank(question, usual) < rank(draft, usual));
	t.ok(rank(question, none) < rank(draft, none), 'without an urgency of the workspace only the route\'s counts');
	t.equal(rank(question, first), 0);
});
