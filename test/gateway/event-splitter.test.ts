import {Buffer} from 'node:buffer';
import process from 'node:process';
import {array, assert, constantFrom, integer, property, uint8Array} from 'fast-check';
import tap from 'tap';
import {EventSplitter} from '../../src/gateway/index.js';
import {ByteBuffer} from '../../src/gateway/requests/byte-buffer.js';

const megabyte = 1024 * 1024;
const pieceBytes = 65_536;

/** Cuts a text into pieces of these lengths, again and again. */
function piecesOf(text: string, lengths: readonly number[]): Uint8Array[] {
	const bytes = Buffer.from(text, 'latin1');
	const pieces: Uint8Array[] = [];
	for (let start = 0; start < bytes.length; start += pieces.at(-1)!.length) {
		pieces.push(bytes.subarray(start, start + lengths[pieces.length % lengths.length]!));
	}

	return pieces;
}

// An event whose end is cut in two would be joined to the next one.
tap.test('a stream has the same events however it is cut into pieces', t => {
	const part = constantFrom('\n', '\r\n', '\n\n', '\r\n\r\n', '\r', 'id: 1', 'data: x', 'y'.repeat(3000), 'z'.repeat(40_000));
	assert(property(array(part, {maxLength: 30}), array(constantFrom(1, 2, 3, 5, 700, 20_000, 70_000), {minLength: 1, maxLength: 6}), (parts, lengths) => {
		const text = parts.join('');
		const whole = EventSplitter.create();
		const cut = EventSplitter.create();
		const expected = whole.push(Buffer.from(text, 'latin1'));
		const events = piecesOf(text, lengths).flatMap(piece => cut.push(Buffer.from(piece)));
		t.same(events.map(({id, bytes}) => [id, Buffer.from(bytes).toString('latin1')]), expected.map(({id, bytes}) => [id, Buffer.from(bytes).toString('latin1')]));
		t.equal(cut.restBytes, whole.restBytes);
	}), {numRuns: 200});
	t.end();
});

// Pieces that are kept in parts would come out in another order, or count for less than they take.
tap.test('what is taken of a buffer is what was appended to it, and counts for at least as much', t => {
	const piece = uint8Array({maxLength: 3000}).chain(bytes => constantFrom(1, 10).map(times => Buffer.concat(Array.from({length: times}, () => bytes))));
	assert(property(array(piece, {maxLength: 20}), integer({min: 0, max: 5}), (pieces, count) => {
		const buffer = ByteBuffer.create();
		for (const one of pieces) {
			buffer.append(one);
		}

		const all = Buffer.concat(pieces);
		t.equal(buffer.length, all.length);
		t.ok(buffer.heldBytes >= all.length);
		t.same(Buffer.from(buffer.last(count)), all.subarray(Math.max(0, all.length - count)));
		t.same(Buffer.from(buffer.take()), all);
		t.match(buffer, {length: 0, heldBytes: 0});
	}));
	t.end();
});

// Unfinished events took up to twice what the pool of all answers counted, and left four times as much garbage, outside of the limit of the heap.
tap.test('events that do not end hold what was read of them, and no copies', t => {
	const pieces = Array.from({length: 16}, () => new Uint8Array(pieceBytes).fill(120));
	const before = process.memoryUsage().arrayBuffers;
	const splitters = Array.from({length: 16}, () => EventSplitter.create());
	for (const splitter of splitters) {
		for (const piece of pieces) {
			t.same(splitter.push(piece), []);
		}
	}

	const copied = process.memoryUsage().arrayBuffers - before;
	t.ok(copied < megabyte, `${copied} bytes for ${splitters.length} events of a megabyte`);
	t.ok(splitters.every(({restBytes}) => restBytes === megabyte));
	t.end();
});

// A byte at a time would take a hundred times its memory if each piece were kept.
tap.test('an event in pieces of a byte counts for no more than twice its length', t => {
	const splitter = EventSplitter.create();
	const byte = new Uint8Array(pieceBytes).fill(120);
	for (let index = 0; index < 50_000; index++) {
		splitter.push(byte.subarray(index, index + 1));
	}

	t.equal(splitter.restBytes, 50_000);
	t.ok(splitter.heldBytes <= 100_000, `${splitter.heldBytes} bytes`);
	t.end();
});
