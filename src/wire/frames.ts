import {Buffer} from 'node:buffer';
import {Encoder} from 'cbor-x';
import {messageSchema, type Message, type MessageOf} from './messages.js';

/** The largest payload of one frame, in bytes; a longer one closes the connection. */
export const maximumFrameBytes = 8 * 1024 * 1024;
/** The largest part of a service's body that travels in one message, in bytes. */
export const maximumPartBytes = 64 * 1024;
const lengthBytes = 4;

const codec = new Encoder({useRecords: false, mapsAsObjects: true, tagUint8Array: false});

/** Why a peer's bytes were not a message. The connection is closed on any of them. */
export type FrameFault = 'oversized' | 'malformed' | 'unknown-message';

/** Thrown by the decoder; the bytes after it can't be trusted. */
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

/** One message as bytes: a four-byte length, then CBOR. */
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
 * Cuts a byte stream into messages. Bytes may come in any portions; what is returned is checked
 * against the schema, so the rest of the program meets only well-formed messages.
 */
export class FrameDecoder {
	static create(): FrameDecoder {
		return new FrameDecoder();
	}

	#parts: Uint8Array[] = [];
	#buffered = 0;
	#wanted = lengthBytes;

	/** Takes the next bytes and gives the messages that are complete. Throws `FrameError`. */
	push(bytes: Uint8Array): Message[] {
		this.#parts.push(bytes);
		this.#buffered += bytes.byteLength;
		return this.#buffered < this.#wanted ? [] : this.#drain();
	}

	#drain(): Message[] {
		const buffer = this.#parts.length === 1 ? Buffer.from(this.#parts[0]!.buffer, this.#parts[0]!.byteOffset, this.#parts[0]!.byteLength) : Buffer.concat(this.#parts);
		const messages: Message[] = [];
		let position = 0;
		this.#wanted = lengthBytes;
		while (buffer.byteLength - position >= lengthBytes) {
			const length = payloadLength(buffer, position);
			if (buffer.byteLength - position < lengthBytes + length) {
				this.#wanted = lengthBytes + length;
				break;
			}

			messages.push(decodePayload(buffer.subarray(position + lengthBytes, position + lengthBytes + length)));
			position += lengthBytes + length;
		}

		this.#keep(buffer.subarray(position));
		return messages;
	}

	#keep(rest: Uint8Array): void {
		this.#parts = rest.byteLength === 0 ? [] : [rest];
		this.#buffered = rest.byteLength;
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
 * Load is nine of ten messages between gateways, and whoever takes it checks each row by hand. Failure: the schema goes through the same
 * rows before. Symptom: a small instance among many spends time there that its callers need.
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
