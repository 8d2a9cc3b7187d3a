import fc from 'fast-check';
import tap from 'tap';
import {MessagePriority} from '../../src/wire/index.js';
import {maxBulkWriteBytes, maxWaitingBulkBytes, SendQueue} from '../../src/wire/send-queue.js';

const frames = fc.array(fc.record({size: fc.integer({min: 1, max: maxBulkWriteBytes * 2}), isBulk: fc.boolean(), isTaken: fc.boolean()}), {maxLength: 60});

// A peer that reads slowly must neither hold up control nor let what waits for it grow without bound.
tap.test('control frames keep their order and are never dropped, bulk keeps its order and is bounded', async () => {
	fc.assert(fc.property(frames, pushed => {
		const queue = SendQueue.create();
		const taken: Uint8Array[] = [];
		const control: Uint8Array[] = [];
		const bulk: Uint8Array[] = [];
		for (const {size, isBulk, isTaken} of pushed) {
			const frame = new Uint8Array(size);
			(isBulk ? bulk : control).push(frame);
			queue.push(frame, isBulk ? MessagePriority.bulk : MessagePriority.control);
			const written = isTaken ? queue.take(false) : [];
			taken.push(...written);
			if (isTaken && written.some(one => bulk.includes(one))) {
				return false;
			}
		}

		taken.push(...queue.take(false));
		while (!queue.isEmpty) {
			taken.push(...queue.take(true));
		}

		const takenBulk = taken.filter(frame => bulk.includes(frame));
		const waited = takenBulk.reduce((sum, {byteLength}) => sum + byteLength, 0);
		return isSame(taken.filter(frame => control.includes(frame)), control)
			&& isSame(takenBulk, bulk.slice(bulk.length - takenBulk.length))
			&& waited <= maxWaitingBulkBytes
			&& queue.takeDropped() === bulk.length - takenBulk.length;
	}), {seed: 69, numRuns: 500});
});

// A turn with much to say lost part of it on a connection that took everything.
tap.test('bulk is not dropped, however much of it one turn has, while all earlier frames are written', async t => {
	const queue = SendQueue.create();
	const count = (3 * maxWaitingBulkBytes) / maxBulkWriteBytes;
	for (let number = 0; number < count; number++) {
		queue.push(new Uint8Array(maxBulkWriteBytes), MessagePriority.bulk);
	}

	let written = 0;
	while (!queue.isEmpty) {
		written += queue.take(true).length;
	}

	t.equal(written, count);
	t.equal(queue.takeDropped(), 0);
});

tap.test('bulk is written in parts once everything before is written', async t => {
	const queue = SendQueue.create();
	for (let number = 0; number < 4; number++) {
		queue.push(new Uint8Array(maxBulkWriteBytes / 2), MessagePriority.bulk);
	}

	t.equal(queue.take(false).length, 0);
	t.equal(queue.take(true).length, 2);
	queue.push(new Uint8Array(1), MessagePriority.control);
	t.equal(queue.take(true)[0]!.byteLength, 1, 'control goes first');
	t.ok(queue.isEmpty);
});

function isSame(left: readonly Uint8Array[], right: readonly Uint8Array[]): boolean {
	return left.length === right.length && left.every((frame, index) => frame === right[index]);
}
