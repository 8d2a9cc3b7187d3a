import {Buffer} from 'node:buffer';
import {Encoder} from 'cbor-x';
import {messageSchema, type Message, type MessageOf} from './messages.js';

/** The largest payload of one frame, in bytes; a longer one closes the connection. */
export const maximumFrameBytes = 8 * 1024 * 1024;
/** The largest chunk of a service's body in one message, in bytes. */
export const maximumPartBytes = 64 * 1024;
/**
 * The longest event of a model's response, in characters, and the most of them in one message with several events. A character takes at most three bytes, so that
 * these messages are not longer than a frame may be.
 */
export const maximumEventLength = 1024 * 1024;
const lengthBytes = 4;

const codec = new Encoder({useRecords: false, mapsAsObjects: true, tagUint8Array: false});

/** Why received bytes are not a valid message. Each of these closes the connection. */
export type FrameFault = 'oversized' | 'malformed' | 'unknown-message';

/** Thrown for an invalid or oversized frame; a decoder must not be used after it, since the bytes that follow can't be trusted. */
export class FrameError extends Error {
	static create(fault: FrameFault, detail: string): FrameError {
		return new FrameError(fault, detail);
	}

	readonly fault: FrameFault;

	private constructor(fault: FrameFault, detail: string) {
		super(`Frame ${fault}: ${detail}`);
		this.name = 'FrameError';
		this.fault = fault;
	}
}

/** Encodes a message as a frame: a four-byte big-endian length, then CBOR. Throws `FrameError` if the payload is too large. */
export function encodeFrame(message: Message): Uint8Array {
	const payload = codec.encode(message);
	if (payload.byteLength > maximumFrameBytes) {
		throw FrameError.create('oversized', `${message.type} of ${payload.byteLength} bytes`);
	}

	const frame = Buffer.allocUnsafe(lengthBytes + payload.byteLength);
	frame.writeUInt32BE(payload.byteLength, 0);
	frame.set(payload, lengthBytes);
	return frame;
}

/**
 * Decodes a byte stream into messages. The bytes may arrive in chunks of any size. Messages are validated
 * against the schema, so the rest of the program handles only well-formed ones; the rows of `load` are the exception.
 */
export class FrameDecoder {
	static create(): FrameDecoder {
		return new FrameDecoder();
	}

	#chunks: Uint8Array[] = [];
	#bufferedBytes = 0;
	#requiredBytes = lengthBytes;

	/** Adds received bytes and returns the messages that are now complete. Throws `FrameError`. */
	push(bytes: Uint8Array): Message[] {
		this.#chunks.push(bytes);
		this.#bufferedBytes += bytes.byteLength;
		return this.#bufferedBytes < this.#requiredBytes ? [] : this.#decodeBuffered();
	}

	#decodeBuffered(): Message[] {
		const buffer = this.#chunks.length === 1 ? Buffer.from(this.#chunks[0]!.buffer, this.#chunks[0]!.byteOffset, this.#chunks[0]!.byteLength) : Buffer.concat(this.#chunks);
		const messages: Message[] = [];
		let position = 0;
		this.#requiredBytes = lengthBytes;
		while (buffer.byteLength - position >= lengthBytes) {
			const length = payloadLength(buffer, position);
			if (buffer.byteLength - position < lengthBytes + length) {
				this.#requiredBytes = lengthBytes + length;
				break;
			}

			messages.push(decodePayload(buffer.subarray(position + lengthBytes, position + lengthBytes + length)));
			position += lengthBytes + length;
		}

		this.#retain(buffer.subarray(position));
		return messages;
	}

	#retain(rest: Uint8Array): void {
		this.#chunks = rest.byteLength === 0 ? [] : [rest];
		this.#bufferedBytes = rest.byteLength;
	}
}

function payloadLength(buffer: Uint8Array, position: number): number {
	const length = new DataView(buffer.buffer, buffer.byteOffset, buffer.byteLength).getUint32(position);
	if (length > maximumFrameBytes) {
		throw FrameError.create('oversized', `${length} bytes announced`);
	}

	return length;
}

/**
 * Exempts load messages from schema validation: nine of ten messages between gateways are of type `load`, and their receiver
 * validates each row itself. Validating the rows twice would take processor time that a small instance among many needs for requests.
 */
function isLoad(value: unknown): value is MessageOf<'load'> {
	const {type, rows} = (value ?? {}) as Partial<MessageOf<'load'>>;
	return type === 'load' && Array.isArray(rows);
}

function decodePayload(payload: Uint8Array): Message {
	let value: unknown;
	try {
		value = codec.decode(payload);
	} catch (error) {
		throw FrameError.create('malformed', String(error));
	}

	if (isLoad(value)) {
		return value;
	}

	const parsed = messageSchema.safeParse(value);
	if (!parsed.success) {
		throw FrameError.create('unknown-message', parsed.error.issues[0]?.message ?? 'no detail');
	}

	return parsed.data;
}
