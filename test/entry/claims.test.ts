import tap from 'tap';
import {v7 as uuidv7} from 'uuid';
import {FakeLog} from '../../fakes/index.js';
import {ClaimManager, type ClaimManagerSettings, type ClaimOutcome} from '../../src/entry/claims/index.js';
import {type RequestId, type WorkspaceName} from '../../src/model/index.js';
import {HttpLogClient, type LogClient} from '../../src/platform/index.js';
import {keyWindowMilliseconds} from '../../src/policy/claims/index.js';

const workspace = 'hotel' as WorkspaceName;

function createLogClient(log: FakeLog): HttpLogClient {
	return HttpLogClient.create({baseUrl: log.url, timeoutMilliseconds: 2000});
}

function createManager(log: LogClient, instance: string, more: Partial<ClaimManagerSettings> = {}): ClaimManager {
	return ClaimManager.create({log, instance, waitMilliseconds: 1500, ...more});
}

async function claim(manager: ClaimManager, key: string, requestId: string, fingerprint = 'ticket'): Promise<ClaimOutcome> {
	return manager.claim({workspace, key, fingerprint, requestId: requestId as RequestId});
}

function claimIdOf(outcome: ClaimOutcome): string {
	return outcome.type === 'won' ? outcome.claimId : `not won: ${JSON.stringify(outcome)}`;
}

tap.test('concurrent claims of the same keys by two entries: exactly one claim of each key wins', async t => {
	// A load balancer sends a hundred requests to two entries each, at once. Exactly one of each pair may
	// run; the other gets the owner of the key. Group commit needs far fewer appends than claims.
	await using log = await FakeLog.create();
	await using client = createLogClient(log);
	await using one = createManager(client, 'entry-1');
	await using two = createManager(client, 'entry-2');
	const keys = Array.from({length: 100}, () => uuidv7());
	const outcomes = await Promise.all(keys.map(key => Promise.all([claim(one, key, 'r1'), claim(two, key, 'r2')])));
	t.ok(outcomes.every(pair => pair.filter(({type}) => type === 'won').length === 1));
	t.ok(outcomes.every(pair => pair.some(outcome => outcome.type === 'lost' && outcome.sameRequest && /^entry-[12]$/v.test(outcome.ownerInstance))));
	t.ok(log.appends < 100, `${log.appends} appends for 200 claims`);
});

tap.test('a key that is not a UUIDv7 or is too old is refused as not run without an append to the log', async t => {
	await using log = await FakeLog.create();
	await using client = createLogClient(log);
	await using manager = createManager(client, 'entry-1');
	t.match(await claim(manager, 'again', 'r1'), {type: 'refused', failure: {kind: 'bad_request', verdict: 'not-run'}});
	t.match(await claim(manager, uuidv7({msecs: Date.now() - keyWindowMilliseconds}), 'r1'), {type: 'refused', failure: {kind: 'idempotency_key_expired', verdict: 'not-run'}});
	t.equal(log.appends, 0);
});

tap.test('an entry that crashes after its claim, after the body or before the response leaves the key claimed', async t => {
	// The entry crashes at different points after its claim, and its successor has only the log. When the caller
	// sends the key again, it is refused as claimed by another request: a second run must never start, since
	// it is unknown how far the first one got.
	await using log = await FakeLog.create();
	await using client = createLogClient(log);
	const keys = [uuidv7(), uuidv7(), uuidv7()];
	{
		await using crashed = createManager(client, 'entry-1');
		await claim(crashed, keys[0]!, 'r1');
		t.ok(await crashed.confirm(claimIdOf(await claim(crashed, keys[1]!, 'r2'))));
		const third = claimIdOf(await claim(crashed, keys[2]!, 'r3'));
		t.ok(await crashed.confirm(third));
		crashed.finish(third, {endpoint: 'service-1'});
	}

	await using successor = createManager(client, 'entry-2');
	t.match(await claim(successor, keys[0]!, 'r4'), {type: 'lost', ownerInstance: 'entry-1', requestId: 'r1', finished: false});
	t.match(await claim(successor, keys[1]!, 'r5'), {type: 'lost', requestId: 'r2', finished: false});
	t.match(await claim(successor, keys[2]!, 'r6'), {type: 'lost', requestId: 'r3', finished: true, endpoint: 'service-1'});
});

tap.test('a released key can be claimed again, a finished one returns its response, and a different body is detected', async t => {
	await using log = await FakeLog.create();
	await using client = createLogClient(log);
	await using manager = createManager(client, 'entry-1');
	await using other = createManager(client, 'entry-2');
	const key = uuidv7();
	const first = claimIdOf(await claim(manager, key, 'r1'));
	t.ok(await manager.release(first));
	t.notOk(await manager.confirm(first), 'a released claim cannot be confirmed');
	const second = claimIdOf(await claim(other, key, 'r2'));
	t.ok(await other.confirm(second));
	other.finish(second, {response: {status: 200, headers: {}, body: new Uint8Array([1])}, endpoint: 'service-1'});
	t.match(await claim(other, key, 'r3'), {type: 'lost', response: {status: 200}, sameRequest: true});
	t.match(await claim(manager, key, 'r4', 'another body'), {type: 'lost', endpoint: 'service-1', sameRequest: false});
});

tap.test('a log that is unavailable before the claim: refused as not run, and the key stays free', async t => {
	await using log = await FakeLog.create();
	await using client = createLogClient(log);
	await using manager = createManager(client, 'entry-1');
	const key = uuidv7();
	await log.stop();
	t.match(await claim(manager, key, 'r1'), {type: 'refused', failure: {kind: 'claim_unavailable', verdict: 'not-run'}});
	await log.start();
	t.match(await claim(manager, key, 'r1'), {type: 'won'});
});

tap.test('a lost response of the log and a duplicated record: the claim still wins', async t => {
	// The log appends the claim and the connection breaks. The manager appends again, finds its first
	// record in the stream and has won, so the caller's request runs once.
	await using log = await FakeLog.create({faults: {loseAnswers: 2, duplicateAppends: 1}});
	await using client = createLogClient(log);
	await using manager = createManager(client, 'entry-1');
	const outcome = await claim(manager, uuidv7(), 'r1');
	t.equal(outcome.type, 'won');
	t.ok(await manager.confirm(claimIdOf(outcome)));
});

/** A log client that can lose the responses of appends (`losesResponses`, the log is then down) or fail every call (`isDown`). */
function createFaultyClient(inner: LogClient): LogClient & {losesResponses: boolean; isDown: boolean} {
	const client = {
		losesResponses: false,
		isDown: false,
		async append(stream: string, value: unknown) {
			if (client.isDown) {
				return {type: 'unknown' as const, reason: 'down'};
			}

			const result = await inner.append(stream, value);
			client.isDown ||= client.losesResponses;
			return client.losesResponses ? {type: 'unknown' as const, reason: 'lost'} : result;
		},
		async read(...parameters: Parameters<LogClient['read']>) {
			if (client.isDown) {
				throw new Error('down');
			}

			return inner.read(...parameters);
		},
	};
	return client;
}

tap.test('a log that goes down during the claim: may have run, and the key is released when the log is available again', async t => {
	// The claim is appended, the response is lost and the log goes down, so the manager cannot determine whether
	// it won. The verdict is "may have run". Once the log is available again, the claim is released and the key is free.
	await using log = await FakeLog.create();
	await using client = createLogClient(log);
	const faultyClient = createFaultyClient(client);
	await using manager = createManager(faultyClient, 'entry-1', {waitMilliseconds: 1500});
	await using other = createManager(client, 'entry-2');
	const key = uuidv7();
	faultyClient.losesResponses = true;
	t.match(await claim(manager, key, 'r1'), {type: 'refused', failure: {kind: 'claim_unavailable', verdict: 'may-have-run'}});
	t.match(await claim(other, key, 'r2'), {type: 'lost', ownerInstance: 'entry-1'});
	faultyClient.losesResponses = false;
	faultyClient.isDown = false;
	let outcome = await claim(other, key, 'r3');
	for (let tries = 0; outcome.type !== 'won' && tries < 100; tries++) {
		await new Promise(resolve => {
			setTimeout(resolve, 50);
		});
		outcome = await claim(other, key, 'r3');
	}

	t.equal(outcome.type, 'won');
});

tap.test('a log that goes down after the claim: the claim is confirmed within its lease, and a release is not reported as done', async t => {
	await using log = await FakeLog.create();
	await using client = createLogClient(log);
	const faultyClient = createFaultyClient(client);
	await using manager = createManager(faultyClient, 'entry-1', {waitMilliseconds: 1000, leaseMilliseconds: 60_000});
	const runs = claimIdOf(await claim(manager, uuidv7(), 'r1'));
	const refused = claimIdOf(await claim(manager, uuidv7(), 'r2'));
	faultyClient.isDown = true;
	t.ok(await manager.confirm(runs));
	t.notOk(await manager.release(refused), 'the verdict is "may have run"');
});

tap.test('a manager that is paused for longer than the lease reads the log again before it confirms a claim', async t => {
	// The manager wins a claim, and its process is paused for longer than the lease. With the log down it cannot
	// determine whether it still holds the key, so the body must not be sent; with the log available it still holds
	// the key and may run. After a pause beyond the key's window the claim is void.
	await using log = await FakeLog.create();
	await using client = createLogClient(log);
	const faultyClient = createFaultyClient(client);
	let paused = 0;
	await using manager = createManager(faultyClient, 'entry-1', {
		waitMilliseconds: 1000, wallClock: () => Date.now() + paused,
	});
	const first = claimIdOf(await claim(manager, uuidv7(), 'r1'));
	paused = 60_000;
	faultyClient.isDown = true;
	t.notOk(await manager.confirm(first));
	faultyClient.isDown = false;
	const {reads} = manager.counts;
	t.ok(await manager.confirm(first));
	t.ok(manager.counts.reads > reads);
	paused = keyWindowMilliseconds + 60_000;
	t.notOk(await manager.confirm(first));
});

tap.test('a key stays held when the log\'s retention removes records that were not read', async t => {
	await using log = await FakeLog.create();
	await using client = createLogClient(log);
	await using manager = createManager(client, 'entry-1');
	const key = uuidv7();
	const first = claimIdOf(await claim(manager, key, 'r1'));
	t.ok(await manager.confirm(first));
	log.faults.retainRecords = 1;
	await using other = createManager(client, 'entry-2');
	for (let count = 0; count < 200; count++) {
		await claim(other, uuidv7(), `r${count}`);
	}

	t.match(await claim(manager, key, 'again'), {type: 'lost', ownerInstance: 'entry-1'});
});
