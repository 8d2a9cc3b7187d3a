/** What requests at an earlier incarnation of an endpoint show, and what they do not. */
import tap from 'tap';
import {CrashMonitor, Dispatcher, isRegistrationLost, RoutingState, watchRegistrations} from '../../src/gateway/index.js';
import {type InstanceId, type ZoneName} from '../../src/model/index.js';
import {defaultTuning} from '../../src/policy/dispatch/index.js';
import {type EndpointRecord} from '../../src/routing/index.js';

const silentLogger = {debug: () => undefined, info: () => undefined, warn: () => undefined, error: () => undefined};
const zone = 'z' as ZoneName;
const earlier: EndpointRecord = {id: 'a', service: 'models', address: '127.0.0.1:1', zone, isLeaving: false, slots: 4, revision: 1, bornAt: 1};
const later: EndpointRecord = {...earlier, address: '127.0.0.1:2', bornAt: 2};

function register(routingState: RoutingState, record: EndpointRecord, offset: number): void {
	routingState.applyEndpointChanges([{type: 'registered', era: 0, offset, record}], 'store', performance.now());
}

function createDispatcher(routingState: RoutingState): Dispatcher {
	return Dispatcher.create({
		incarnation: 'a' as InstanceId, zone, routingState, logger: silentLogger, allowance: {ratio: 0.1, slack: 10, windowMilliseconds: 10_000}, slackSharing: () => ({type: 'unknown'}),
		random: () => 0.5, tuning: defaultTuning, onLoad: () => undefined, instance: 'a', instances: () => [], onRateLimitReport: () => undefined, onSharesWanted: () => undefined,
	});
}

// An endpoint that had restarted was suspended as unreachable since the streams at the process before broke off when that one ended.
tap.test('what breaks off at an earlier incarnation does not suspend the next one', async t => {
	const routingState = RoutingState.create(silentLogger);
	using dispatcher = createDispatcher(routingState);
	register(routingState, earlier, 1);
	register(routingState, later, 2);
	for (let number = 0; number < 5; number++) {
		dispatcher.endpoints.report(earlier, 'unreachable');
	}

	t.ok(dispatcher.endpoints.isOpen(later, performance.now()));
	dispatcher.endpoints.report(later, 'unreachable');
	dispatcher.endpoints.report(later, 'unreachable');
	t.notOk(dispatcher.endpoints.isOpen(later, performance.now()), 'its own failures do');
	dispatcher.endpoints.report(earlier, 'answered');
	t.notOk(dispatcher.endpoints.isOpen(later, performance.now()), 'an answer of the one before does not free it');
});

// A record that states its start for the first time is of the same process.
tap.test('what breaks off at an endpoint counts also after it has stated its start', async t => {
	const routingState = RoutingState.create(silentLogger);
	using dispatcher = createDispatcher(routingState);
	const {bornAt: _bornAt, ...unborn} = earlier;
	register(routingState, unborn, 1);
	register(routingState, {...earlier, revision: 2}, 2);
	dispatcher.endpoints.report(unborn, 'unreachable');
	dispatcher.endpoints.report(unborn, 'unreachable');
	t.notOk(dispatcher.endpoints.isOpen(earlier, performance.now()));
});

/** Longer than the silence after which an endpoint that is not registered any more counts as crashed. */
const silentMilliseconds = 700;

/** Leaves a request unanswered at an endpoint, whose record changes; then it may answer. Returns what was told, in order. */
async function toldAfter(record: EndpointRecord, change: EndpointRecord, {answers, isNewsFirst = false}: {readonly answers: boolean; readonly isNewsFirst?: boolean}): Promise<readonly string[]> {
	const routingState = RoutingState.create(silentLogger);
	const told: string[] = [];
	const tell = (what: string) => () => {
		told.push(what);
	};

	using monitor = CrashMonitor.create({
		logger: silentLogger, isLost: one => isRegistrationLost(routingState, one),
		onEvidence: () => undefined, onSuspect: tell('suspect'), onDismiss: tell('dismiss'), onCrash: tell('crash'), onRetract: tell('retract'),
	});
	watchRegistrations(routingState, monitor);
	register(routingState, record, 1);
	if (isNewsFirst) {
		register(routingState, change, 2);
	}

	monitor.recordUnanswered({record, fingerprints: ['order'], sentAt: 0, sign: 'silence'}, performance.now());
	register(routingState, change, 2);
	await new Promise(resolve => {
		setTimeout(resolve, silentMilliseconds);
	});
	if (answers) {
		monitor.recordResponse(record, 0, performance.now());
	}

	return told;
}

// All silent requests of a service were named as crashes at the moment at which its endpoints began to state their starts.
tap.test('an endpoint that states its start for the first time has not crashed', async t => {
	const {bornAt: _bornAt, ...unborn} = earlier;
	t.same(await toldAfter(unborn, {...earlier, revision: 2}, {answers: false}), ['suspect']);
	t.same(await toldAfter(unborn, {...earlier, revision: 2}, {answers: false, isNewsFirst: true}), ['suspect']);
	t.same(await toldAfter(unborn, {...earlier, revision: 2}, {answers: true}), ['suspect', 'dismiss']);
});

// A sound order at the earlier process stayed a suspect for ten minutes.
tap.test('a request that is silent at an earlier incarnation is cleared once that one answers it', async t => {
	t.same(await toldAfter(earlier, later, {answers: true}), ['crash', 'retract']);
	t.same(await toldAfter(earlier, later, {answers: true, isNewsFirst: true}), ['crash', 'retract']);
});
