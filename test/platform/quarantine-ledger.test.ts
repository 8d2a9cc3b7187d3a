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

tap.test('records spread by frame while the log is down, each once, and by the log once it is back', async t => {
	// An endpoint dies while the log is down. Peers hear of it by frame at once, pass it on once, and a
	// process that no frame reaches learns it from the log later.
	await using log = await FakeLog.create();
	await using client = HttpLogClient.create({baseUrl: log.url, timeoutMilliseconds: 2000});
	await log.stop();
	const passedOn: string[] = [];
	await using far = QuarantineLedger.create({log: client});
	await using near = QuarantineLedger.create({log: client});
	near.addListener((_records, from) => {
		passedOn.push(`near ${from}`);
	});
	await using first = QuarantineLedger.create({log: client});
	first.addListener(records => {
		passedOn.push('first');
		near.receiveRecords(records);
		near.receiveRecords(records);
	});
	first.addRecord(crash('side-1'));
	first.addRecord(crash('side-2'));
	t.equal(near.evaluate('poison').suspicion, Suspicion.quarantined);
	t.same(passedOn, ['first', 'near process', 'first', 'near process']);
	t.equal(far.evaluate('poison').suspicion, Suspicion.none);
	await log.start();
	await until(() => far.evaluate('poison').suspicion === Suspicion.quarantined);
	t.equal(far.evaluate('poison').suspicion, Suspicion.quarantined);
	near.addRecord(createReleasedRecord(near.state, 'poison', 'operator', Date.now()));
	await until(() => far.evaluate('poison').suspicion === Suspicion.none);
	t.equal(far.evaluate('poison').suspicion, Suspicion.none);
	far.receiveRecords(['not a record']);
	t.equal(far.records().length, 3);
});
