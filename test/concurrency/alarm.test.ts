import tap from 'tap';
import {channel, receive, spawn, Alarm} from '../../src/concurrency/index.js';
import {type RequestEvent} from '../../src/entry/request-event.js';

// The caller would see its stream given up although tokens flow: the alarm fires, and before its
// event is read a chunk comes and the alarm is set anew. The event must then count as stale.
tap.test('an alarm that was set anew has not fired', async t => {
	const inbox = channel<RequestEvent>(4);
	using alarm = Alarm.create(inbox);
	alarm.set(0);
	const event = await spawn('reader', () => receive(inbox));
	t.same(event, {type: 'alarm'});
	t.ok(alarm.hasFired);
	alarm.set(60_000);
	t.notOk(alarm.hasFired);
});
