import tap from 'tap';
import {FakeDutyReceiver, type ReceivedCall} from '../../fakes/duty-receiver.js';
import {desiredState} from '../../fakes/platform-state.js';
import {type GatewayProcess} from '../../src/bin/gateway-process.js';
import {eventually, freePort, Testbed} from './testbed.js';

const windowSeconds = 1;
const leaseMilliseconds = 600;

type UsageBody = {readonly window: number; readonly counts: Readonly<Record<string, number>>};

async function startGateway(testbed: Testbed, receiver: FakeDutyReceiver, overrides: Readonly<Record<string, unknown>> = {}): Promise<GatewayProcess> {
	const duties = {
		receiverAddress: receiver.address, address: `127.0.0.1:${await freePort()}`, leaseMilliseconds, checksFences: true, usageWindowSeconds: windowSeconds, usageLateSeconds: 3,
	};
	return testbed.startGateway({duties, ...overrides});
}

function reportsOf(receiver: FakeDutyReceiver): Map<number, UsageBody['counts']> {
	const accepted = receiver.calls.filter(({path, status}) => path === '/usage' && status === 200);
	return new Map(accepted.map(({body}) => [(body as UsageBody).window, (body as UsageBody).counts]));
}

function reportedTotal(receiver: FakeDutyReceiver): number {
	return [...reportsOf(receiver).values()].flatMap(counts => Object.values(counts)).reduce((sum, count) => sum + count, 0);
}

/** Windows that were reported with two different contents. */
function contradictions(calls: readonly ReceivedCall[]): ReceivedCall[] {
	const accepted = calls.filter(({status}) => status === 200);
	return accepted.filter(call => accepted.some(other => (other.body as UsageBody).window === (call.body as UsageBody).window && JSON.stringify(other.body) !== JSON.stringify(call.body)));
}

tap.test('one of two instances reports what both have sent, each window once', async t => {
	await using testbed = await Testbed.create();
	await using receiver = await FakeDutyReceiver.create();
	testbed.respondWith('models', () => ({type: 'events', count: 3, gapMilliseconds: 5}));
	const first = await startGateway(testbed, receiver);
	const second = await startGateway(testbed, receiver);
	await eventually(() => receiver.calls.length > 0);
	for (let count = 0; count < 10; count++) {
		t.equal(await testbed.statusOf({}, first), 200);
		t.equal(await testbed.statusOf({path: '/question/1', method: 'POST', body: 'x'}, second), 200);
	}

	await eventually(() => reportedTotal(receiver) >= 20);
	t.equal(reportedTotal(receiver), 20);
	t.same(new Set(receiver.calls.map(({holder}) => holder)).size, 1);
	t.same(contradictions(receiver.calls), []);
});

// Guards against usage that is lost, or reported twice, when the holder shuts down.
tap.test('a holder that shuts down hands its duties over, and what it has counted', async t => {
	await using testbed = await Testbed.create();
	await using receiver = await FakeDutyReceiver.create();
	const gateways = [await startGateway(testbed, receiver), await startGateway(testbed, receiver)];
	await eventually(() => receiver.calls.length > 0);
	const holder = gateways.find(gateway => receiver.calls.some(({holder: name}) => name === `gateway-${testbed.gateways.indexOf(gateway)}`))!;
	for (let count = 0; count < 10; count++) {
		await testbed.statusOf({}, holder);
	}

	const callsBefore = receiver.calls.length;
	await holder.drain();
	await eventually(() => reportedTotal(receiver) >= 10);
	t.equal(testbed.logLines.filter(({msg}) => msg === 'Duties: Duties held.').length, 2);
	const taken = testbed.logLines.findLast(({msg}) => msg === 'Duties: Duties held.');
	t.ok(Number(taken?.unchanged) < leaseMilliseconds, `the successor waited ${String(taken?.unchanged)} ms, ${callsBefore} calls before`);
	t.equal(reportedTotal(receiver), 10);
	t.equal(new Set(receiver.calls.map(({token}) => token)).size, 2);
	t.same(contradictions(receiver.calls), []);
});

// Guards against a second, different report while calls are lost, refused or carried out late.
tap.test('a window is reported with one content, also when calls to the receiver and the store go wrong', async t => {
	await using testbed = await Testbed.create();
	await using receiver = await FakeDutyReceiver.create();
	await startGateway(testbed, receiver);
	await startGateway(testbed, receiver);
	await eventually(() => receiver.calls.length > 0);
	const faults = ['busy', 'execute-late', undefined] as const;
	let calls = 0;
	receiver.fault = () => faults[calls++ % faults.length];
	testbed.store.fault = path => path === '/v1/log-append' && calls % 2 === 1 ? 'lose-answer' : undefined;
	const until = performance.now() + 5000;
	while (performance.now() < until) {
		await testbed.statusOf({}, testbed.gateways[calls % 2]);
	}

	receiver.fault = () => undefined;
	testbed.store.fault = () => undefined;
	const reported = receiver.calls.length;
	await eventually(() => receiver.calls.length > reported + 1);
	t.same(contradictions(receiver.calls), []);
	const holders = new Map<number, Set<string>>();
	for (const {token, holder} of receiver.calls) {
		holders.set(token, new Set([...holders.get(token) ?? [], holder]));
	}

	t.ok([...holders.values()].every(names => names.size === 1), 'no token has two holders');
});

tap.test('the holder orders endpoints of a service that has bounds, within them, by its work', async t => {
	await using testbed = await Testbed.create();
	await using receiver = await FakeDutyReceiver.create();
	testbed.store.put('keyed.op', 'config', desiredState(2, {
		services: [{name: 'orders', maxConnections: 100, scale: {min: 1, max: 4, bootS: 5}}, {name: 'models', maxConnections: 100, engine: {slots: 16, kvCapacity: 400_000, stride: 7}}],
	}));
	testbed.respondWith('orders', () => ({type: 'whole', body: 'ok', afterMilliseconds: 400}));
	await startGateway(testbed, receiver);
	await startGateway(testbed, receiver);
	const orders = (): Array<{service: string; zone: string; desired: number}> => receiver.calls.filter(({path}) => path === '/scale').map(({body}) => body as {service: string; zone: string; desired: number});
	await eventually(() => orders().length > 0);
	const [first] = orders();
	t.match(first, {service: 'orders', desired: 1});
	const until = performance.now() + 3000;
	while (performance.now() < until) {
		await Promise.all(testbed.gateways.flatMap(gateway => Array.from({length: 6}, async () => testbed.statusOf({}, gateway))));
	}

	await eventually(() => orders().some(({desired}) => desired > first!.desired));
	t.ok(orders().every(({desired}) => desired >= 1 && desired <= 4));
	t.equal(new Set(receiver.calls.filter(({path}) => path === '/scale').map(({holder}) => holder)).size, 1);
});

tap.test('with invalid settings of the duties an instance reports the error and serves requests', async t => {
	await using testbed = await Testbed.create();
	await testbed.startGateway({duties: {receiverAddress: 'nowhere', usageWindowSeconds: -1}});
	t.equal(await testbed.statusOf(), 200);
	const line = testbed.logLines.find(({msg}) => String(msg).startsWith('Duties: The settings'));
	t.match(line?.reason, /duties\.receiverAddress.*duties\.usageWindowSeconds/sv);
});
