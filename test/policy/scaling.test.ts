import tap from 'tap';
import {type ZoneName} from '../../src/model/index.js';
import {createScaling, dueOrders, recordAccepted, type ScaleBounds, type ScalingState, type ServiceSample, stepScaling} from '../../src/policy/scaling/index.js';

const bounds: ScaleBounds = {least: 1, most: 8, bootMilliseconds: 10_000};
const zones = ['zone-a', 'zone-b'].map(zone => ({zone: zone as ZoneName, isReachable: true, occupied: 0}));

function sample(work: number, more: Partial<ServiceSample> = {}): ServiceSample {
	return {service: 'models', bounds, zones, work, ...more};
}

/** Samples the work each second, and accepts every order. */
function run(works: readonly number[], more: Partial<ServiceSample> = {}, from: ScalingState = createScaling(), startAt = 0): {state: ScalingState; totals: number[]; orders: number} {
	let state = from;
	let orders = 0;
	const totals = works.map((work, second) => {
		state = stepScaling(state, [sample(work, more)], startAt + (second * 1000));
		for (const order of dueOrders(state)) {
			state = recordAccepted(state, order);
			orders += 1;
		}

		return [...state.accepted.values()].reduce((sum, desired) => sum + desired, 0);
	});
	return {state, totals, orders};
}

function seconds(count: number, work: (second: number) => number): number[] {
	return Array.from({length: count}, (_, second) => work(second));
}

// Guards against a burst that waits for the boot of endpoints which were ordered only when the others were full.
tap.test('a rise of the work is followed ahead of it, by the time that an endpoint takes to boot', async t => {
	const {totals} = run(seconds(30, second => 2 + Math.max(0, (second - 10) * 0.2)));
	t.ok(totals[9]! <= 6, `steady: ${totals[9]}`);
	const secondOfFour = 20;
	t.ok(totals[secondOfFour - 4]! >= 6, `ordered when the work was 3.2: ${totals[secondOfFour - 4]}`);
	t.ok(totals.every((total, index) => index === 0 || total >= totals[index - 1]!), 'it does not fall meanwhile');
});

// Guards against endpoints that are ordered away in each lull and back after it.
tap.test('the number falls only after the work was low for long', async t => {
	const {totals, orders} = run(seconds(200, second => second % 40 < 20 ? 4 : 1));
	t.equal(new Set(totals.slice(60)).size, 1, 'lulls of twenty seconds change nothing');
	t.ok(orders <= 8, `${orders} orders`);
	const calm = run(seconds(100, second => second < 10 ? 4 : 0.5));
	t.equal(calm.totals.at(-1), 2);
	t.ok(calm.totals[40]! > 2);
});

tap.test('bounds, running work and a zone that is cut off', async t => {
	t.equal(run([100]).totals[0], 16, 'at most eight in each zone');
	t.equal(run([0]).totals[0], 2, 'at least one in each zone');
	const occupied = run([0.1], {zones: zones.map(zone => ({...zone, occupied: 5}))});
	t.equal(occupied.totals[0], 10, 'never fewer than run requests');
	const {state} = run([4]);
	const before = new Map(state.accepted);
	const [first, second] = zones as [typeof zones[number], typeof zones[number]];
	const cut = run([6], {zones: [first, {...second, isReachable: false}]}, state, 1000);
	t.equal(cut.state.accepted.get('["models","zone-b"]'), before.get('["models","zone-b"]'), 'what was ordered there stays');
	t.ok(cut.state.accepted.get('["models","zone-a"]')! > before.get('["models","zone-a"]')!, 'the other zone takes over');
});

// Guards against an old order that is carried out after a newer one.
tap.test('an order whose outcome is unknown is sent again as it is wanted by then', async t => {
	let state = stepScaling(createScaling(), [sample(1)], 0);
	const [order] = dueOrders(state);
	state = stepScaling(state, [sample(6)], 1000);
	const again = dueOrders(state).find(({zone}) => zone === order!.zone);
	t.ok(again!.desired > order!.desired);
	t.equal(dueOrders(recordAccepted(state, order!)).length, 2, 'the late acceptance of the old one does not settle the new one');
});
