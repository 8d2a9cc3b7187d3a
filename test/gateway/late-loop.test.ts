import {once} from 'node:events';
import net from 'node:net';
import tap from 'tap';
import {parseGatewaySettings} from '../../src/settings/gateway/index.js';
import {splitAddress} from '../../src/model/index.js';
import {Testbed} from './testbed.js';

const blockedMilliseconds = 500;
const deadlineMilliseconds = 300;
const lateLoop = {lateMilliseconds: 60};

/** Sends a request to a gateway and keeps the loop of this process, which is the gateway's, from reading it until its deadline has passed. */
async function sendWhileBlocked(settings: Readonly<Record<string, unknown>>, milliseconds = deadlineMilliseconds): Promise<{response: string; sent: number}> {
	await using testbed = await Testbed.create({services: ['orders'], workersEach: 1});
	const gateway = await testbed.startGateway(settings);
	const caller = net.connect(splitAddress(gateway.gateway.address));
	await once(caller, 'connect');
	await testbed.send({id: 'before'});
	caller.write(`GET /lookup/1 HTTP/1.1\r\nHost: studio.example\r\nRequest-Id: late\r\nAuthorization: Bearer key-a\r\nDeadline-Ms: ${milliseconds}\r\n\r\n`);
	const end = performance.now() + blockedMilliseconds;
	while (performance.now() < end) {
		// The loop is blocked.
	}

	const [response] = await once(caller, 'data') as [Uint8Array];
	caller.destroy();
	return {response: String(response), sent: testbed.workers[0]!.requests.filter(({id}) => id === 'late').length};
}

// Counted from its reading, the request had its whole time left, and an endpoint ran it for a caller that had left.
tap.test('a request whose deadline has passed while the loop was blocked is not sent', async t => {
	const {response, sent} = await sendWhileBlocked({lateLoop});
	t.match(response, /^HTTP\/1.1 503 /v);
	t.equal(sent, 0);
});

// Giving away is what a late loop does besides: without it, a request is counted from its arrival and ended in time all the same.
tap.test('a late loop that gives nothing away does not send it either, and begins what it reads in time', async t => {
	const settings = {lateLoop: {...lateLoop, givesAway: false}};
	const {response, sent} = await sendWhileBlocked(settings);
	t.match(response, /^HTTP\/1.1 503 /v);
	t.equal(sent, 0);
	const long = await sendWhileBlocked(settings, 10 * blockedMilliseconds);
	t.match(long.response, /^HTTP\/1.1 200 /v);
	t.equal(long.sent, 1);
});

tap.test('without the setting it is sent, as before', async t => {
	const {response, sent} = await sendWhileBlocked({});
	t.match(response, /^HTTP\/1.1 200 /v);
	t.equal(sent, 1);
});

tap.test('without the section in the settings file no lag is named', async t => {
	const settings = {instance: 'g', availabilityZone: 'z', callerAddress: '127.0.0.1:1', adminAddress: '127.0.0.1:1', peerAddress: '127.0.0.1:1', storeAddress: '127.0.0.1:1', memoryMegabytes: 1};
	t.equal(parseGatewaySettings(JSON.stringify(settings)).lateLoop, undefined);
	t.same(parseGatewaySettings(JSON.stringify({...settings, lateLoop: {}})).lateLoop, {lateMilliseconds: 60});
	t.throws(() => parseGatewaySettings(JSON.stringify({...settings, lateLoop: {lateMilliseconds: 0}})), /lateLoop.lateMilliseconds/v);
});
