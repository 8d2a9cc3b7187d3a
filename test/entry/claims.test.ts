import tap from 'tap';
import {v7 as uuidv7} from 'uuid';
import {FakeLog} from '../../fakes/index.js';
import {ClaimManager, type ClaimKeeperSettings, type ClaimOutcome} from '../../src/entry/claims/index.js';
import {type RequestId, type WorkspaceName} from '../../src/model/index.js';
import {HttpLogClient, type LogClient} from '../../src/platform/index.js';
import {keyWindowMilliseconds} from '../../src/policy/claims/index.js';

const workspace = 'hotel' as WorkspaceName;

function clientOf(log: FakeLog): HttpLogClient {
	return HttpLogClient.create({baseUrl: log.url, timeoutMilliseconds: 2000});
}

function keeperOf(log: LogClient, instance: string, more: Partial<ClaimKeeperSettings> = {}): ClaimManager {
	return ClaimManager.create({log, instance, waitMilliseconds: 1500, ...more});
}

async function claim(keeper: ClaimManager, key: string, requestId: string, fingerprint = 'ticket'): Promise<ClaimOutcome> {
	return keeper.claim({workspace, key, fingerprint, requestId: requestId as RequestId});
}

function claimIdOf(outcome: ClaimOutcome): string {
	return outcome.type === 'won' ? outcome.claimId : `not won: ${JSON.stringify(outcome)}`;
}

tap.test('the same key at two entries at the same instant: one wins, also among many keys', async t => {
	// The caller's balancer sends a ticket to two entries at once, for a hundred tickets. Exactly one of
	// each pair may run; the other is told whose the key is. Group commit needs far fewer appends.
	await using log = await FakeLog.create();
	await using client = clientOf(log);
	await using one = keeperOf(client, 'entry-1');
	await using two = keeperOf(client, 'entry-2');
	const keys = Array.from({length: 100}, () => uuidv7());
	const outcomes = await Promise.all(keys.map(key => Promise.all([claim(one, key, 'r1'), claim(two, key, 'r2')])));
	t.ok(outcomes.every(pair => pair.filter(({type}) => type === 'won').length === 1));
	t.ok(outcomes.every(pair => pair.some(outcome => outcome.type === 'lost' && outcome.sameRequest && /^entry-[12]$/v.test(outcome.ownerInstance))));
	t.ok(log.appends < 100, `${log.appends} appends for 200 claims`);
});

tap.test('a key that is no UUIDv7, or was made long ago, is refused as not run without the log', async t => {
	await using log = await FakeLog.create();
	await using client = clientOf(log);
	await using keeper = keeperOf(client, 'entry-1');
	t.match(await claim(keeper, 'again', 'r1'), {type: 'refused', failure: {kind: 'bad_request', verdict: 'not-run'}});
	t.match(await claim(keeper, uuidv7({msecs: Date.now() - keyWindowMilliseconds}), 'r1'), {type: 'refused', failure: {kind: 'idempotency_key_expired', verdict: 'not-run'}});
	t.equal(log.appends, 0);
});

tap.test('the entry crashes after its claim, after the body, and before the answer', async t => {
	// The claimant dies at any point after its claim. Its successor knows nothing. The caller sends the
	// key again and is told that another request has it: never a second run, since nobody knows more.
	await using log = await FakeLog.create();
	await using client = clientOf(log);
	const keys = [uuidv7(), uuidv7(), uuidv7()];
	{
		await using crashed = keeperOf(client, 'entry-1');
		await claim(crashed, keys[0]!, 'r1');
		t.ok(await crashed.confirm(claimIdOf(await claim(crashed, keys[1]!, 'r2'))));
		const third = claimIdOf(await claim(crashed, keys[2]!, 'r3'));
		t.ok(await crashed.confirm(third));
		crashed.finish(third, {endpoint: 'service-1'});
	}

	await using successor = keeperOf(client, 'entry-2');
	t.match(await claim(successor, keys[0]!, 'r4'), {type: 'lost', ownerInstance: 'entry-1', requestId: 'r1', finished: false});
	t.match(await claim(successor, keys[1]!, 'r5'), {type: 'lost', requestId: 'r2', finished: false});
	t.match(await claim(successor, keys[2]!, 'r6'), {type: 'lost', requestId: 'r3', finished: true, endpoint: 'service-1'});
});

tap.test('a released key can be won again, a finished one gives its answer, and another body is told apart', async t => {
	await using log = await FakeLog.create();
	await using client = clientOf(log);
	await using keeper = keeperOf(client, 'entry-1');
	await using other = keeperOf(client, 'entry-2');
	const key = uuidv7();
	const first = claimIdOf(await claim(keeper, key, 'r1'));
	t.ok(await keeper.release(first));
	t.notOk(await keeper.confirm(first), 'a released claim may not run');
	const second = claimIdOf(await claim(other, key, 'r2'));
	t.ok(await other.confirm(second));
	other.finish(second, {answer: {status: 200, headers: {}, body: new Uint8Array([1])}, endpoint: 'service-1'});
	t.match(await claim(other, key, 'r3'), {type: 'lost', answer: {status: 200}, sameRequest: true});
	t.match(await claim(keeper, key, 'r4', 'another body'), {type: 'lost', endpoint: 'service-1', sameRequest: false});
});

tap.test('a log that is down before the claim: refused as not run, and the key stays free', async t => {
	await using log = await FakeLog.create();
	await using client = clientOf(log);
	await using keeper = keeperOf(client, 'entry-1');
	const key = uuidv7();
	await log.stop();
	t.match(await claim(keeper, key, 'r1'), {type: 'refused', failure: {kind: 'claim_unavailable', verdict: 'not-run'}});
	await log.start();
	t.match(await claim(keeper, key, 'r1'), {type: 'won'});
});

tap.test('a lost answer, and a record kept twice: the claimant reads until it knows that it won', async t => {
	// The log keeps the claim and the connection breaks. The claimant appends again and finds its first
	// record in the stream: it won, and the caller's ticket runs once.
	await using log = await FakeLog.create({faults: {loseAnswers: 2, duplicateAppends: 1}});
	await using client = clientOf(log);
	await using keeper = keeperOf(client, 'entry-1');
	const outcome = await claim(keeper, uuidv7(), 'r1');
	t.equal(outcome.type, 'won');
	t.ok(await keeper.confirm(claimIdOf(outcome)));
});

/** A log client whose appends or reads can be made to fail after the fact. */
function breakable(inner: LogClient): LogClient & {dropAnswers: boolean; down: boolean} {
	const client = {
		dropAnswers: false,
		down: false,
		async append(stream: string, value: unknown) {
			if (client.down) {
				return {type: 'unknown' as const, reason: 'down'};
			}

			const result = await inner.append(stream, value);
			client.down ||= client.dropAnswers;
			return client.dropAnswers ? {type: 'unknown' as const, reason: 'lost'} : result;
		},
		async read(...parameters: Parameters<LogClient['read']>) {
			if (client.down) {
				throw new Error('down');
			}

			return inner.read(...parameters);
		},
	};
	return client;
}

tap.test('a log that goes down during the claim: may have run, and the key is freed when the log is back', async t => {
	// The claim is kept, its answer is lost and the log goes down, so the claimant can't learn whether it
	// won. The caller is told "may have run". Once the log is back a release is written, and the key works.
	await using log = await FakeLog.create();
	await using client = clientOf(log);
	const broken = breakable(client);
	await using keeper = keeperOf(broken, 'entry-1', {waitMilliseconds: 200});
	await using other = keeperOf(client, 'entry-2');
	const key = uuidv7();
	broken.dropAnswers = true;
	t.match(await claim(keeper, key, 'r1'), {type: 'refused', failure: {kind: 'claim_unavailable', verdict: 'may-have-run'}});
	t.match(await claim(other, key, 'r2'), {type: 'lost', ownerInstance: 'entry-1'});
	broken.dropAnswers = false;
	broken.down = false;
	let outcome = await claim(other, key, 'r3');
	for (let tries = 0; outcome.type !== 'won' && tries < 100; tries++) {
		await new Promise(resolve => {
			setTimeout(resolve, 50);
		});
		outcome = await claim(other, key, 'r3');
	}

	t.equal(outcome.type, 'won');
});

tap.test('a log that goes down after the claim: the body leaves within the lease, and a release is written later', async t => {
	await using log = await FakeLog.create();
	await using client = clientOf(log);
	const broken = breakable(client);
	await using keeper = keeperOf(broken, 'entry-1', {waitMilliseconds: 100, leaseMilliseconds: 60_000});
	const runs = claimIdOf(await claim(keeper, uuidv7(), 'r1'));
	const refused = claimIdOf(await claim(keeper, uuidv7(), 'r2'));
	broken.down = true;
	t.ok(await keeper.confirm(runs));
	t.notOk(await keeper.release(refused), 'so the caller is told "may have run"');
});

tap.test('a claimant that is paused for longer than its lease reads again before the body may leave', async t => {
	// The claimant wins, and its process stops for longer than any lease. With the log down it can't know
	// what happened meanwhile, and the body stays; with the log back it is still the holder, and may run.
	// After a pause beyond the key's window the claim counts for nothing.
	await using log = await FakeLog.create();
	await using client = clientOf(log);
	const broken = breakable(client);
	let paused = 0;
	await using keeper = keeperOf(broken, 'entry-1', {
		waitMilliseconds: 100, wallClock: () => Date.now() + paused,
	});
	const first = claimIdOf(await claim(keeper, uuidv7(), 'r1'));
	paused = 60_000;
	broken.down = true;
	t.notOk(await keeper.confirm(first));
	broken.down = false;
	const {reads} = keeper.counts;
	t.ok(await keeper.confirm(first));
	t.ok(keeper.counts.reads > reads);
	paused = keyWindowMilliseconds + 60_000;
	t.notOk(await keeper.confirm(first));
});

tap.test('retention that passes unread records frees no key that is held', async t => {
	await using log = await FakeLog.create();
	await using client = clientOf(log);
	await using keeper = keeperOf(client, 'entry-1');
	const key = uuidv7();
	const first = claimIdOf(await claim(keeper, key, 'r1'));
	t.ok(await keeper.confirm(first));
	log.faults.retainRecords = 1;
	await using other = keeperOf(client, 'entry-2');
	for (let count = 0; count < 200; count++) {
		await claim(other, uuidv7(), `r${count}`);
	}

	t.match(await claim(keeper, key, 'again'), {type: 'lost', ownerInstance: 'entry-1'});
});
