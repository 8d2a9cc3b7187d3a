import {setTimeout as delay} from 'node:timers/promises';
import tap from 'tap';
import {type Catalogue} from '../../src/catalogue/index.js';
import {CatalogueFollower} from '../../src/platform/catalogue-follower.js';
import {type FollowerOptions} from '../../src/platform/catalogue-follower-options.js';
import {QuarantineLedger} from '../../src/platform/index.js';
import {change, put, sampleModel} from '../catalogue/sample.js';
import {MemoryLog} from './memory-log.js';

const times = {firstRetryMilliseconds: 1, longestRetryMilliseconds: 5, snapshotCheckMilliseconds: 2, snapshotSpreadMilliseconds: 10};

function follow(log: MemoryLog, options: Partial<FollowerOptions> = {}): CatalogueFollower {
	return CatalogueFollower.create({log, instance: 'entry-1', times, ...options});
}

async function until(condition: () => boolean): Promise<void> {
	for (let attempt = 0; attempt < 5000 && !condition(); attempt++) {
		await delay(2);
	}

	if (!condition()) {
		throw new Error('The condition was not met.');
	}
}

async function publish(log: MemoryLog, ...names: string[]): Promise<void> {
	for (const name of names) {
		await log.append('catalogue', change(put(sampleModel(name))));
	}
}

function modelNames(catalogue: Catalogue): string[] {
	return catalogue.models().map(model => model.name);
}

tap.test('a follower applies a change that is published after it started', async t => {
	const log = MemoryLog.create();
	await using follower = follow(log);
	await follower.ready;
	t.equal(follower.current().offset, -1);
	await publish(log, 'menu');
	await until(() => follower.current().offset === 0);
	t.same(modelNames(follower.current()), ['menu']);
	t.match(follower.recentAudit(), [{offset: 0, verdict: {type: 'accepted'}}]);
});

tap.test('an outage of the log delays changes and loses none', async t => {
	// The log fails, then is available again with two more records; callers see a class published meanwhile only then.
	// The follower must keep its catalogue and continue from its own offset, so that no record is skipped or applied twice.
	const log = MemoryLog.create();
	await publish(log, 'menu');
	await using follower = follow(log);
	await follower.ready;
	log.isDown = true;
	await delay(20);
	t.same(modelNames(follower.current()), ['menu']);
	log.isDown = false;
	await publish(log, 'order', 'stitch');
	await until(() => follower.current().offset === 2);
	t.same(modelNames(follower.current()), ['menu', 'order', 'stitch']);
});

// Guards against long polls that are sent to an unresponsive log and still hang when it is available again.
tap.test('after a failed read the next reads do not wait for new records, until one succeeds', async t => {
	const log = MemoryLog.create();
	await using follower = follow(log);
	await using ledger = QuarantineLedger.create({log});
	await follower.ready;
	log.isDown = true;
	log.waits.splice(0);
	await until(() => log.waits.length > 5);
	const failing = log.waits.splice(0);
	t.same(failing.slice(-3), [0, 0, 0]);
	log.isDown = false;
	await publish(log, 'menu');
	await until(() => follower.current().offset === 0);
	await until(() => log.waits.at(-1) === 10_000);
	t.equal(ledger.records().length, 0);
});

tap.test('a process that starts while the log is down takes the catalogue from a peer', async t => {
	// Without this, a process would refuse requests as not ready until the log is available. It gets the records from a
	// peer instead. A stale peer that later sends old records again must not revert a change.
	const log = MemoryLog.create();
	await publish(log, 'menu', 'order');
	await using peer = follow(log);
	await until(() => peer.current().offset === 1);
	const stale = peer.recordsFrom(0);
	log.isDown = true;
	await using follower = follow(log);
	t.notOk(follower.isReady);
	t.ok(follower.applyPeerRecords(peer.recordsFrom(follower.current().offset + 1)));
	await follower.ready;
	t.notOk(follower.applyPeerRecords(stale));
	t.equal(follower.current().offset, 1);
});

tap.test('a peer whose history no longer reaches back far enough sends a snapshot', async t => {
	const log = MemoryLog.create();
	await publish(log, 'menu', 'order');
	await using writer = follow(log, {snapshots: {intervalMilliseconds: 60_000, intervalRecords: 2}});
	await until(() => log.records.length === 3 && writer.current().offset === 2);
	log.dropBefore(2);
	await using restarted = follow(log);
	await restarted.ready;
	t.same(modelNames(restarted.current()), ['menu', 'order'], 'restored from the snapshot in the log');
	log.isDown = true;
	const response = restarted.recordsFrom(0);
	t.ok(response.snapshot);
	await using follower = follow(log);
	t.ok(follower.applyPeerRecords(response));
	t.same(modelNames(follower.current()), ['menu', 'order']);
});

tap.test('retention never leaves the stream without a usable snapshot', async t => {
	// Without a snapshot, an old change would be missing in a process that starts after retention dropped it.
	// The log repeatedly drops all but its newest records. A follower must have written a snapshot before each
	// time, also if the response to its append was lost, and no more snapshots than necessary.
	const log = MemoryLog.create();
	log.losesResponses = true;
	await publish(log, 'menu');
	const snapshots = {intervalMilliseconds: 40, intervalRecords: 100};
	await using first = follow(log, {snapshots});
	await using second = follow(log, {snapshots, instance: 'entry-2'});
	await first.ready;
	await second.ready;
	await until(() => log.records.length > 0 && first.current().offset >= 0);
	log.dropBefore(1);
	for (let round = 0; round < 4; round++) {
		const known = log.records.at(-1)?.offset ?? 0;
		await until(() => (log.records.at(-1)?.offset ?? 0) > known);
		const latest = log.records.at(-1)!;
		await until(() => first.current().offset >= latest.offset && second.current().offset >= latest.offset);
		log.dropBefore(latest.offset);
	}

	await using restarted = follow(log);
	await restarted.ready;
	t.same(modelNames(restarted.current()), ['menu']);
});
