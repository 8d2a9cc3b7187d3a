import tap from 'tap';
import {parseGatewaySettings, tuningOf} from '../../src/settings/gateway/index.js';
import {answer, requestsOf, shareInTime, summary} from './uneven-engines.js';

/** Settings of a deployment that says nothing of placement, as the template of deploy/ does. */
const settings = parseGatewaySettings(JSON.stringify({
	instance: 'gateway-0', isFirstStart: true, availabilityZone: 'zone-a', memoryMegabytes: 200,
	callerAddress: '127.0.0.1:0', adminAddress: '127.0.0.1:0', peerAddress: '127.0.0.1:0', storeAddress: '127.0.0.1:1',
}));
/** The share of requests that is to be in time (CONTRIBUTING.md). */
const targetShare = 0.95;

// Guards against engines that are taken for alike unless an operator says otherwise: half of the most urgent streams were late then.
tap.test('with the settings that a deployment has by itself, streams with tight pauses are in time where engines are uneven', async t => {
	const requests = requestsOf({tuning: tuningOf(settings.placement), seed: 4});
	for (const kind of [answer, summary]) {
		t.ok(shareInTime(requests, kind) >= targetShare, `${shareInTime(requests, kind)} of ${kind.name} in time`);
	}
});

// Guards against instances that take engines for alike, since they have no time to learn them, and send long prompts to those where others keep their streams.
tap.test('instances that cannot learn the engines place streams like those that can', async t => {
	for (const learners of [1, 2]) {
		const requests = requestsOf({seed: 5, learners});
		t.ok(shareInTime(requests, answer) >= targetShare, `${shareInTime(requests, answer)} of answers in time where ${learners} of four instances learn`);
		t.ok(shareInTime(requests, summary) >= targetShare, `${shareInTime(requests, summary)} of long prompts`);
	}
});
