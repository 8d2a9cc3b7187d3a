import tap from 'tap';
import {channel, receive, spawn, Alarm} from '../../src/concurrency/index.js';
import {type RequestEvent} from '../../src/entry/request-event.js';

// The alarm fires, and before its event is read a chunk arrives and resets the alarm. The event must then
// count as stale; otherwise the stream is aborted although tokens arrive.
tap.test('resetting an alarm clears hasFired', async t => {
	const inbox = channel<RequestEvent>(4);
	using alarm = Alarm.create(inbox);
	alarm.set(0);
	const event = await spawn('reader', () => receive(inbox));
	t.same(event, {type: 'alarm'});
	t.ok(alarm.hasFired);
	alarm.set(60_000);
	t.notOk(alarm.hasFired);
});
