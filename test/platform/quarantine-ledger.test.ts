import tap from 'tap';
import {FakeLog} from '../../fakes/index.js';
import {type EndpointId, type InstanceId} from '../../src/model/index.js';
import {HttpLogClient, QuarantineLedger} from '../../src/platform/index.js';
import {createCrashRecord, createReleasedRecord, Suspicion} from '../../src/policy/quarantine/index.js';

async function until(condition: () => boolean): Promise<void> {
	for (let tries = 0; !condition() && tries < 500; tries++) {
		await new Promise(resolve => {
			setTimeout(resolve, 20);
		});
	}
}

const crash = (side: string) => createCrashRecord(side as InstanceId, `${side}-endpoint` as EndpointId, ['poison'], Date.now());

tap.test('records are sent by frame while the log is down, each once, and by the log when it is available again', async t => {
	// An endpoint crashes while the log is down. Peers get the record by frame at once and forward it once; a
	// process that no frame reaches reads it from the log later.
	await using log = await FakeLog.create();
	await using client = HttpLogClient.create({baseUrl: log.url, timeoutMilliseconds: 2000});
	await log.stop();
	const notified: string[] = [];
	await using unconnected = QuarantineLedger.create({log: client});
	await using peer = QuarantineLedger.create({log: client});
	peer.addListener((_records, from) => {
		notified.push(`peer ${from}`);
	});
	await using first = QuarantineLedger.create({log: client});
	first.addListener(records => {
		notified.push('first');
		peer.receiveRecords(records);
		peer.receiveRecords(records);
	});
	first.addRecord(crash('side-1'));
	first.addRecord(crash('side-2'));
	t.equal(peer.evaluate('poison').suspicion, Suspicion.quarantined);
	t.same(notified, ['first', 'peer process', 'first', 'peer process']);
	t.equal(unconnected.evaluate('poison').suspicion, Suspicion.none);
	await log.start();
	await until(() => unconnected.evaluate('poison').suspicion === Suspicion.quarantined);
	t.equal(unconnected.evaluate('poison').suspicion, Suspicion.quarantined);
	peer.addRecord(createReleasedRecord(peer.state, 'poison', 'operator', Date.now()));
	await until(() => unconnected.evaluate('poison').suspicion === Suspicion.none);
	t.equal(unconnected.evaluate('poison').suspicion, Suspicion.none);
	unconnected.receiveRecords(['not a record']);
	t.equal(unconnected.records().length, 3);
});
