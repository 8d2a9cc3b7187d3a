import {Buffer} from 'node:buffer';
import fc from 'fast-check';
import tap from 'tap';
import {
	encodeFrame, FrameDecoder, FrameError, maximumFrameBytes, type Message,
} from '../../src/wire/index.js';

const text = fc.string({maxLength: 40});
const stream = fc.nat();
const request = fc.string({minLength: 1, maxLength: 20});
const messages: fc.Arbitrary<Message> = fc.oneof(
	fc.record({type: fc.constant('heartbeat' as const), catalogueOffset: fc.integer()}),
	fc.record({type: fc.constant('withdraw' as const), stream, request}),
	fc.record({type: fc.constant('chunk' as const), stream, request, index: fc.nat(), events: fc.array(text, {maxLength: 5})}),
	fc.record({type: fc.constant('data' as const), stream, request, index: fc.nat(), bytes: fc.uint8Array({maxLength: 300}).map(bytes => new Uint8Array(bytes))}),
	fc.record({type: fc.constant('head' as const), stream, request, status: fc.nat(), headers: fc.dictionary(fc.constantFrom('content-type', 'etag', 'x-one'), text)}),
);

/** Feeds bytes in chunks; returns the decoded messages and the frame error, if any. Any other error is rethrown. */
function decode(bytes: Uint8Array, chunkSizes: readonly number[]): {messages: Message[]; fault?: FrameError} {
	const decoder = FrameDecoder.create();
	const decoded: Message[] = [];
	try {
		for (let position = 0, turn = 0; position < bytes.length; turn++) {
			const length = chunkSizes[turn % chunkSizes.length]!;
			decoded.push(...decoder.push(bytes.subarray(position, position + length)));
			position += length;
		}
	} catch (error) {
		if (error instanceof FrameError) {
			return {messages: decoded, fault: error};
		}

		throw error;
	}

	return {messages: decoded};
}

const chunkSizes = fc.array(fc.integer({min: 1, max: 400}), {minLength: 1, maxLength: 8});

tap.test('messages are decoded completely and in order, however the bytes are chunked', async t => {
	fc.assert(fc.property(fc.array(messages, {maxLength: 8}), chunkSizes, (sent, sizes) => {
		const result = decode(Buffer.concat(sent.map(message => encodeFrame(message))), sizes);
		t.equal(result.fault, undefined);
		t.same(result.messages.map(message => plain(message)), sent.map(message => plain(message)));
	}), {seed: 5, numRuns: 300});
});

tap.test('fuzz: any bytes decode to messages or raise a FrameError, and nothing else', async t => {
	const framed = fc.uint8Array({maxLength: 200}).map(payload => Buffer.concat([lengthOf(payload.length), payload]));
	fc.assert(fc.property(fc.oneof(fc.uint8Array({maxLength: 300}), framed), chunkSizes, (bytes, sizes) => {
		decode(bytes, sizes);
	}), {seed: 6, numRuns: 5000});
	t.pass('no other error was thrown');
});

tap.test('fuzz: a frame with a changed byte is a message or a FrameError; a truncated frame is never a message', async t => {
	fc.assert(fc.property(messages, fc.nat(), fc.integer({min: 0, max: 255}), (message, offset, value) => {
		const frame = encodeFrame(message);
		t.same(decode(frame.subarray(0, offset % frame.length), [50]).messages, []);
		const changed = Uint8Array.from(frame);
		changed[offset % frame.length] = value;
		decode(changed, [50]);
	}), {seed: 7, numRuns: 2000});
});

tap.test('an oversized length, an unknown type or excessive nesting is a FrameError at once', async t => {
	t.equal(decode(lengthOf(maximumFrameBytes + 1), [4]).fault?.fault, 'oversized', 'before any payload is awaited');
	const unknown = Buffer.from([0xA1, 0x64, 0x74, 0x79, 0x70, 0x65, 0x63, 0x66, 0x6F, 0x6F]);
	t.equal(decode(Buffer.concat([lengthOf(unknown.length), unknown]), [99]).fault?.fault, 'unknown-message', '{type: "foo"}');
	const hugeArray = Buffer.from([0x9B, 0, 0, 0, 0, 0xFF, 0xFF, 0xFF, 0xFF]);
	t.type(decode(Buffer.concat([lengthOf(hugeArray.length), hugeArray]), [99]).fault, FrameError);
	const deep = Buffer.alloc(1_000_000, 0x81);
	t.type(decode(Buffer.concat([lengthOf(deep.length), deep]), [65_536]).fault, FrameError);
});

function lengthOf(length: number): Uint8Array {
	const bytes = Buffer.alloc(4);
	bytes.writeUInt32BE(length);
	return bytes;
}

/** Converts bytes to plain arrays, so that a Buffer equals the Uint8Array that it was made from. */
function plain(message: Message): unknown {
	return 'bytes' in message ? {...message, bytes: [...message.bytes]} : message;
}
