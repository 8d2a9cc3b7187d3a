import tap from 'tap';
import {Alarm} from '../../src/concurrency/index.js';
import {Testbed} from './testbed.js';

/** Twenty searches a second for one and a half seconds, two timers each since a timer may fire early, and some for the rest. */
const allowedTimers = 70;

// With no other endpoint to go to, a request looked for one in each turn of the event loop until its deadline.
tap.test('a request at a silent endpoint without another one costs few timers', async t => {
	await using testbed = await Testbed.create({services: ['orders'], workersEach: 1});
	await testbed.startGateway();
	testbed.respondWith('orders', () => ({type: 'silent'}));
	const {set} = Alarm.prototype;
	let timers = 0;
	Alarm.prototype.set = function (milliseconds) {
		timers += 1;
		set.call(this, milliseconds);
	};

	try {
		t.equal(await testbed.statusOf(), 504);
	} finally {
		Alarm.prototype.set = set;
	}

	t.ok(timers < allowedTimers, `${timers} timers`);
});
