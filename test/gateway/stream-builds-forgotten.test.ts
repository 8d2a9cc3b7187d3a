import tap from 'tap';
import {type WorkerAnswer} from '../../fakes/platform-worker.js';
import {type CallerResponse, eventually, Testbed} from './testbed.js';

const eventCount = 5;
const eventsBefore = 2;
const whole: WorkerAnswer = {type: 'events', count: eventCount, gapMilliseconds: 5};
const broken: WorkerAnswer = {type: 'events', count: eventCount, cutAfter: eventsBefore, gapMilliseconds: 5};

function lastEventIdOf({body}: CallerResponse): string {
	return [...body.matchAll(/^id: (?<id>\d+)$/gmv)].at(-1)!.groups!.id!;
}

// A stream that an earlier build began went on at a later one, with nothing to show it, once all instances had been killed and the earlier build's last endpoint had left.
tap.test('a stream whose build left before all instances were lost is not joined to what another build writes', async t => {
	await using testbed = await Testbed.create({services: []});
	const earlier = await testbed.addWorker('earlier', 'models');
	earlier.answer = () => broken;
	const gateway = await testbed.startGateway();
	const first = await testbed.send({path: '/chart/1', id: 's'});
	t.equal(lastEventIdOf(first), String(eventsBefore));
	const later = await testbed.addWorker('later', 'models');
	later.answer = () => whole;
	testbed.store.put('keyed.servers', later.id, later.beat({version: 'v2', seq: 2}));
	await eventually(() => gateway.routingState.directory.entries.has(later.id));
	testbed.store.put('keyed.servers', earlier.id);
	await eventually(() => gateway.routingState.directory.entries.get(earlier.id)?.endedAt !== undefined);
	await testbed.gateways.pop()![Symbol.asyncDispose]();
	await testbed.startGateway({instance: 'gateway-0'});
	const second = await testbed.send({path: '/chart/1', id: 't', headers: {Resumes: 's', 'Last-Event-Id': lastEventIdOf(first)}});
	t.equal(second.status, 503, 'its caller is told that it has not run');
	t.equal(testbed.attemptCount('t'), 0);
});
