import {setTimeout as delay} from 'node:timers/promises';
import tap, {type Test} from 'tap';
import {until} from '../../bench/harness/local-fleet.js';
import {begin, call, end, model, type Play, replace, tokens} from './replaced-side-play.js';

/** Longer than two reads of the membership list, and than the state reports of a side with requests. */
const listReadsMilliseconds = 2200;

async function assertWhole(t: Test, {streams, ends, earlier}: Play): Promise<void> {
	const results = await Promise.all(streams);
	t.same(results.map(({outcome}) => outcome), ['whole', 'whole', 'whole']);
	t.same(ends.slice(0, 3).map(({attempts}) => attempts), [1, 1, 1], 'at the side that began them');
	t.equal(earlier.side.counts.whole, 3);
}

// A newer connection to the same endpoint closed the earlier one, and all its streams broke off although they went on.
tap.test('streams at a side that drains go on when its replacement is connected', async t => {
	const play = await begin();
	const drained = play.earlier.side.drain();
	await replace(play);
	const later = await call(play.fleet, 'After the replacement [[tokens=5]]');
	t.equal(later.outcome, 'whole');
	t.equal(play.fleet.endpoints[0]!.side.counts.whole, 1, 'new requests go to the replacement');
	await assertWhole(t, play);
	await drained;
	await end(play);
});

// The two sides of one endpoint closed each other's connection at each state report and each dial, and no stream lasted.
tap.test('streams at two sides of one endpoint go on while both serve and both are listed', async t => {
	const play = await begin();
	const {fleet, earlier} = play;
	await replace(play);
	fleet.members.set({instance: earlier.instance, role: 'side', address: earlier.side.address, zone: 'zone-a', state: 'live', endpoint: earlier.name, targets: [model]});
	const later = call(fleet, `At the other side [[tokens=${tokens}]]`);
	await until(() => fleet.endpoints[0]!.engine.running === 4);
	await delay(listReadsMilliseconds);
	t.equal(earlier.side.status().peers, 1);
	t.equal(fleet.endpoints[0]!.side.status().peers, 1);
	t.equal(fleet.entries[0]!.entry.fleet.connected.length, 1, 'one of them takes new requests');
	const {outcome} = await later;
	t.equal(outcome, 'whole');
	t.equal(fleet.endpoints[0]!.side.counts.whole, 1);
	await assertWhole(t, play);
	await end(play);
});

// A replacement that stops while the earlier side still serves would leave the endpoint without a side.
tap.test('the earlier side takes new requests again when its replacement leaves', async t => {
	const play = await begin();
	await replace(play);
	await play.fleet.endpoints[0]!.side.drain();
	const later = await call(play.fleet, 'After the replacement has left [[tokens=5]]');
	t.equal(later.outcome, 'whole');
	t.equal(play.fleet.endpoints[0]!.side.counts.whole, 0);
	const results = await Promise.all(play.streams);
	t.same(results.map(({outcome}) => outcome), ['whole', 'whole', 'whole']);
	t.equal(play.earlier.side.counts.whole, 4);
	await end(play);
});
