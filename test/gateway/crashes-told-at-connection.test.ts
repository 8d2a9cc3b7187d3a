import tap from 'tap';
import {eventually, Testbed} from './testbed.js';

const gatewayCount = 8;
const crashCount = 20;
const namesEach = 40;
const topic = 'keyed.cassiaflow-crashes';
/** Longer than an instance waits for a peer to read what is stored. */
const settleMilliseconds = 4000;

/** Crashes that some instance stored before all of them were lost. */
function storedCrashes(): unknown {
	return {
		crashes: Array.from({length: crashCount}, (_, crash) => ({
			crash: `crash-${crash}`, endpoint: `endpoint-${crash}`, ageMilliseconds: 1000,
			fingerprints: Array.from({length: namesEach}, (__, name) => `${crash}-${name}`.padStart(16, '0')),
		})),
		runs: [],
	};
}

// After a loss of power of all of them, each instance told each other one all that both had just read: links of small instances were full while callers came back.
tap.test('instances that have read what is stored of crashes do not tell it to each other', async t => {
	await using testbed = await Testbed.create({services: ['orders'], workersEach: 1});
	const stored = storedCrashes();
	testbed.store.put(topic, 'an earlier one', stored);
	const gateways = await Promise.all(Array.from({length: gatewayCount}, async (_, number) => testbed.startGateway({instance: `gateway-${number}`})));
	await eventually(() => gateways.every(({peers}) => peers.count === gatewayCount - 1), 30_000);
	await sleep(settleMilliseconds);
	const storedBytes = JSON.stringify(stored).length;
	const sentBytes = gateways.reduce((sum, {peers}) => sum + (peers.sentBytes.get('request-crashes') ?? 0), 0);
	t.ok(sentBytes <= storedBytes, `${sentBytes} bytes for ${gatewayCount * (gatewayCount - 1)} links, ${storedBytes} are stored`);
});

// An instance that the store refuses would know of no crash, and send on what ends its endpoints.
tap.test('an instance that does not reach the store is told of crashes', async t => {
	await using testbed = await Testbed.create({services: ['orders'], workersEach: 1});
	testbed.store.put(topic, 'an earlier one', storedCrashes());
	const first = await testbed.startGateway({instance: 'first'});
	await eventually(() => testbed.logLines.some(({msg}) => String(msg).includes('Crashes read from the store.')));
	const [port] = first.peers.address.split(':').toReversed();
	await using apart = await Testbed.create({services: []});
	const second = await apart.createGateway({instance: 'second', storeAddress: '127.0.0.1:9', peerAddress: `127.0.0.2:${port}`, seedHosts: ['127.0.0.1']});
	await eventually(() => second.peers.count === 1);
	await eventually(() => (first.peers.sentBytes.get('request-crashes') ?? 0) > crashCount * namesEach);
	t.pass();
});

async function sleep(milliseconds: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}
