import tap from 'tap';
import {RoutingState, Dispatcher, type PlacementRequest} from '../../src/gateway/index.js';
import {type InstanceId, type ZoneName} from '../../src/model/index.js';
import {defaultTuning, type QueueReport, type LoadEvent} from '../../src/policy/dispatch/index.js';
import {VirtualTime} from './virtual-time.js';

const quiet = {debug: () => undefined, info: () => undefined, warn: () => undefined, error: () => undefined};
const zone = 'z' as ZoneName;
const shared = {id: 1, tokens: 6000};

// Confirmations were refused at two of four instances, 30 and more waiting there, while the other two sent drafts: at the moments
// in which these drafts got their places, 16 or more confirmations of the same workspaces waited elsewhere and none was told of.
// Each of them had passed over a free engine once, for the one that holds its beginning, and counted from then on as one that
// holds nobody up, though every engine was full by the next look.
tap.test('a request that passed over a free engine is told of once none is free', async t => {
	using time = VirtualTime.install();
	const told: LoadEvent[] = [];
	using dispatcher = createDispatcher(told);
	place(dispatcher, 'holder', 4, 5000);
	const ticket = confirmation(time.now);
	dispatcher.submit(ticket);
	time.runFor(20);
	t.same(linesOf(told), [], 'it waits for the engine that holds its beginning, while another one is free');
	t.not(ticket.deferredAt, undefined, 'it has passed over that one');

	place(dispatcher, 'other', 4, 9000);
	time.runFor(150);
	t.match(linesOf(told), [{service: 'models', urgencies: [{route: 1}]}], 'now it waits for any');
});

function linesOf(told: readonly LoadEvent[]): QueueReport[] {
	return told.filter(event => event.type === 'waiting');
}

/** Two engines of four slots; one of them holds a beginning. */
function createDispatcher(told: LoadEvent[]): Dispatcher {
	const beliefs = RoutingState.create(quiet);
	beliefs.applyTable({
		version: 1, routes: [], services: [{name: 'models', largestConnections: 10, engine: {slots: 4, memoryTokens: 500_000, tokensPerEvent: 1}}],
		limits: {headerBytes: 1, bodyBytes: 1, headerMilliseconds: 1, idleMilliseconds: 1},
	}, 'store');
	const records = ['holder', 'other'].map(id => ({id, service: 'models', address: '127.0.0.1:1', zone, isLeaving: false, slots: 4, revision: 1}));
	beliefs.applyEndpointChanges(records.map((record, offset) => ({type: 'registered', era: 0, offset, record})), 'store', performance.now());
	const dispatcher = Dispatcher.create({
		incarnation: 'a' as InstanceId, zone, routingState: beliefs, logger: quiet, allowance: {ratio: 0.1, slack: 10, windowMilliseconds: 10_000}, random: () => 0, tuning: defaultTuning,
		onLoad(event) {
			told.push(event);
		},
	});
	dispatcher.view = {links: 1, instances: 2};
	return dispatcher;
}

/** Another instance sends so many prompts there, all with the shared beginning at the engine that holds it. */
function place(dispatcher: Dispatcher, endpoint: string, count: number, prefillTokens: number): void {
	for (let number = 0; number < count; number++) {
		const parts = endpoint === 'holder' ? [shared] : [{id: 100 + number, tokens: prefillTokens}];
		dispatcher.applyLoad({type: 'placed', run: {id: `b/${endpoint}${number}`, owner: 'b', endpoint, service: 'models', prefillTokens, isLatencyCritical: false, parts}});
	}
}

function confirmation(now: number): PlacementRequest {
	return {
		id: 'confirmation', workspace: 'w', service: 'models', urgency: {route: 1, workspace: undefined}, work: 6500, arrivedAt: now, inTimeUntil: now + 3000, lastStartAt: now + 5000, excluded: new Set(), isIdempotent: true,
		demand: {
			service: 'models', urgency: 1, urgencies: {most: 1, least: 2}, targetMilliseconds: 4000, parts: [shared, {id: 2, tokens: 500}], isLatencyCritical: false,
			maxPauseMilliseconds: 300, strictestPauseMilliseconds: 200, waitedMilliseconds: 0, elapsedMilliseconds: 0, isOutranked: false,
		},
		onDecision: () => undefined,
	};
}
