import tap from 'tap';
import {RoutingState, type Decision, Dispatcher, type PlacementRequest} from '../../src/gateway/index.js';
import {type InstanceId, type ZoneName} from '../../src/model/index.js';
import {defaultTuning} from '../../src/policy/dispatch/index.js';
import {type EndpointRecord} from '../../src/routing/index.js';
import {VirtualTime} from './virtual-time.js';

const quiet = {debug: () => undefined, info: () => undefined, warn: () => undefined, error: () => undefined};
const zone = 'z' as ZoneName;

function record(id: string): EndpointRecord {
	return {id, service: 'models', address: '127.0.0.1:1', zone, isLeaving: false, slots: 4, revision: 1};
}

function createDispatcher(endpoints: readonly EndpointRecord[], beliefs = RoutingState.create(quiet)): Dispatcher {
	beliefs.applyTable({
		version: 1, routes: [], services: [{name: 'models', largestConnections: 10, engine: {slots: 4, memoryTokens: 100_000, tokensPerEvent: 1}}],
		limits: {headerBytes: 1, bodyBytes: 1, headerMilliseconds: 1, idleMilliseconds: 1},
	}, 'store');
	beliefs.applyEndpointChanges(endpoints.map((one, offset) => ({type: 'registered', era: 0, offset, record: one})), 'store', performance.now());
	return Dispatcher.create({
		incarnation: 'a' as InstanceId, zone, routingState: beliefs, logger: quiet, allowance: {ratio: 0.1, slack: 10, windowMilliseconds: 10_000}, random: () => 0.5, tuning: defaultTuning, onLoad: () => undefined,
	});
}

function submit(dispatcher: Dispatcher, id: string, excluded: ReadonlySet<string> = new Set()): Decision[] {
	const decisions: Decision[] = [];
	const now = performance.now();
	const ticket: PlacementRequest = {
		id, workspace: 'w', service: 'models', urgency: {route: 1, workspace: undefined}, work: 2000, arrivedAt: now, inTimeUntil: now + 300, lastStartAt: now + 2000, excluded, isIdempotent: true,
		demand: {
			service: 'models', urgency: 1, urgencies: {most: 1, least: 2}, targetMilliseconds: 400, parts: [{id: 1, tokens: 2000}], isLatencyCritical: false,
			maxPauseMilliseconds: 300, strictestPauseMilliseconds: 200, deferredMilliseconds: 0, elapsedMilliseconds: 0, isOutranked: false,
		},
		onDecision(decision) {
			decisions.push(decision);
		},
	};
	dispatcher.submit(ticket);
	return decisions;
}

// An endpoint was set aside, and may be tried again; what other instances sent there before is still
// counted. Callers of requests that may be repeated were refused as too late, since all of them looked
// at that one endpoint, while the others had room.
tap.test('an endpoint on trial that is full does not hold up what others can take', async t => {
	const [sick, well] = [record('sick'), record('well')];
	using dispatcher = createDispatcher([sick, well]);
	for (let number = 0; number < 4; number++) {
		dispatcher.applyLoad({type: 'placed', run: {id: `b/${number}`, owner: 'b', endpoint: 'sick', service: 'models', prefillTokens: 9000, isLatencyCritical: false, parts: []}});
	}

	dispatcher.endpoints.report(sick, 'unreachable');
	dispatcher.endpoints.report(sick, 'unreachable');
	await new Promise(resolve => {
		setTimeout(resolve, 800);
	});
	const [decision] = submit(dispatcher, 'r');
	t.match(decision, {type: 'placed', record: {id: 'well'}});
});

tap.test('an endpoint on trial gets one request that may be repeated, and no second before its outcome', async t => {
	const [sick, well] = [record('sick'), record('well')];
	using dispatcher = createDispatcher([sick, well]);
	dispatcher.endpoints.report(sick, 'unreachable');
	dispatcher.endpoints.report(sick, 'unreachable');
	const before = submit(dispatcher, 'early');
	t.match(before, [{type: 'placed', record: {id: 'well'}}], 'suspended');
	await new Promise(resolve => {
		setTimeout(resolve, 800);
	});
	t.match(submit(dispatcher, 'trial'), [{type: 'placed', record: {id: 'sick'}}]);
	t.match(submit(dispatcher, 'next'), [{type: 'placed', record: {id: 'well'}}]);
});

// An endpoint says that it leaves; this instance hears of it up to one and a half seconds later. A request
// that had failed at the only other one was sent there as a last resort, over two seconds after the
// endpoint had said so. A last resort is for a service of which no endpoint is known any more.
tap.test('a leaving endpoint is no resort while the service has others', async t => {
	const beliefs = RoutingState.create(quiet);
	using dispatcher = createDispatcher([record('stays'), record('leaves')], beliefs);
	beliefs.applyEndpointChanges([{type: 'registered', era: 0, offset: 5, record: {...record('leaves'), isLeaving: true, revision: 2}}], 'store', performance.now());
	t.match(submit(dispatcher, 'again', new Set(['stays'])), [{type: 'refused', reason: 'no-endpoint'}]);
	t.match(submit(dispatcher, 'first'), [{type: 'placed', record: {id: 'stays'}}]);
});

// The store drops all endpoints of a service that could not reach it, though they serve: callers are served
// for a while longer. One that said itself that it leaves is used for a short moment only.
tap.test('endpoints that were removed all at once are a last resort', async t => {
	const beliefs = RoutingState.create(quiet);
	using dispatcher = createDispatcher([record('one'), record('two')], beliefs);
	beliefs.applyEndpointChanges([{type: 'removed', era: 0, offset: 5, id: 'one'}, {type: 'removed', era: 0, offset: 6, id: 'two'}], 'store', performance.now());
	t.match(submit(dispatcher, 'r'), [{type: 'placed'}]);
});

// A refused caller asks why. The line has to tell a wait for the line from one for the endpoint, and both from an
// endpoint that is not there: each has another cause.
tap.test('a refusal says what it was judged by', async t => {
	using dispatcher = createDispatcher([record('only')]);
	for (let number = 0; number < 3; number++) {
		dispatcher.applyLoad({type: 'placed', run: {id: `b/${number}`, owner: 'b', endpoint: 'only', service: 'models', prefillTokens: 90_000, isLatencyCritical: false, parts: []}});
	}

	const [decision] = submit(dispatcher, 'r');
	t.match(decision, {type: 'refused', reason: 'too-late', ahead: 0, waiting: 0, foreseen: {line: 0}});
	t.ok(decision?.type === 'refused' && decision.foreseen !== undefined && decision.foreseen.endpoint > decision.foreseen.left && decision.foreseen.left > 1900);
});

// At twice the load that engines can take, half of an instance's arrivals looked at all endpoints in vain, at 0.13 ms each beside the
// looks of the line, and a few met what had come free between two tries of it, before others who waited for that.
tap.test('who comes behind others that found everything full joins them without a look', async t => {
	using time = VirtualTime.install();
	using dispatcher = createDispatcher([record('one')]);
	for (let number = 0; number < 4; number++) {
		dispatcher.applyLoad({type: 'placed', run: {id: `b/${number}`, owner: 'b', endpoint: 'one', service: 'models', prefillTokens: 10, isLatencyCritical: false, parts: []}});
	}

	const first = submit(dispatcher, 'first');
	time.runFor(30);
	let looks = 0;
	const load = dispatcher.loadTracker.load.bind(dispatcher.loadTracker);
	dispatcher.loadTracker.load = (endpoint, now) => {
		looks += 1;
		return load(endpoint, now);
	};

	dispatcher.applyLoad({type: 'ended', id: 'b/0'});
	const second = submit(dispatcher, 'second');
	t.equal(looks, 0, 'the second has looked at nothing');
	t.same([first, second], [[], []]);
	time.runFor(100);
	t.match(first, [{type: 'placed'}], 'what came free is the first one\'s');
	t.same(second, []);
});
