import {Buffer} from 'node:buffer';
import {ByteBuffer} from './byte-buffer.js';

/** A complete event of a stream, as the endpoint wrote it. */
export type StreamEvent = {readonly bytes: Uint8Array; readonly id: string | undefined};

/** Limit of the size of one event. */
export const maxEventBytes = 1024 * 1024;
/** The longest end of an event, two line ends of two characters each, may have arrived but for its last character. */
const maxPartialEndBytes = 3;

/**
 * Splits a stream into complete events, each with its closing blank line. Only complete events are forwarded, so that a stream
 * can continue at another endpoint between two events. Otherwise, if an endpoint stopped in the middle of an event, the caller would
 * receive half an event joined to a complete one.
 */
export class EventSplitter {
	static create(): EventSplitter {
		return new EventSplitter();
	}

	readonly #rest = ByteBuffer.create();

	/** Bytes of an incomplete event. */
	get restBytes(): number {
		return this.#rest.length;
	}

	/** Bytes of memory that are held for it. */
	get heldBytes(): number {
		return this.#rest.heldBytes;
	}

	push(bytes: Uint8Array): StreamEvent[] {
		if (!this.#endsEvent(bytes)) {
			this.#keep(bytes);
			return [];
		}

		const buffer = asBuffer(this.#join(bytes));
		const events: StreamEvent[] = [];
		let start = 0;
		for (let end = endOfEvent(buffer, start); end !== -1; end = endOfEvent(buffer, start)) {
			const event = buffer.subarray(start, end);
			events.push({bytes: event, id: idOf(event.toString('latin1'))});
			start = end;
		}

		this.#keep(buffer.subarray(start));
		return events;
	}

	/** Whether an event ends in these bytes. What came before is not searched again: an endpoint that sends no end of an event, byte by byte, would take the processor. */
	#endsEvent(bytes: Uint8Array): boolean {
		if (endOfEvent(asBuffer(bytes), 0) !== -1) {
			return true;
		}

		if (this.#rest.length === 0) {
			return false;
		}

		const seam = Buffer.concat([this.#rest.last(maxPartialEndBytes), bytes.subarray(0, maxPartialEndBytes)]);
		return endOfEvent(seam, 0) !== -1;
	}

	#keep(bytes: Uint8Array): void {
		this.#rest.append(bytes);
		if (this.#rest.length > maxEventBytes) {
			throw new RangeError('An event exceeds the size limit.');
		}
	}

	/** The rest and what follows it; what follows no rest is not copied. */
	#join(bytes: Uint8Array): Uint8Array {
		if (this.#rest.length === 0) {
			return bytes;
		}

		this.#rest.append(bytes);
		return this.#rest.take();
	}
}

function asBuffer({buffer, byteOffset, byteLength}: Uint8Array) {
	return Buffer.from(buffer, byteOffset, byteLength);
}

type Searchable = {indexOf(text: string, start: number): number};

function endOfEvent(buffer: Searchable, start: number): number {
	const lf = buffer.indexOf('\n\n', start);
	const crlf = buffer.indexOf('\r\n\r\n', start);
	if (lf === -1 && crlf === -1) {
		return -1;
	}

	return crlf !== -1 && (lf === -1 || crlf < lf) ? crlf + 4 : lf + 2;
}

function idOf(text: string): string | undefined {
	return /^id: ?(?<id>[^\r\n]*)/mv.exec(text)?.groups?.id;
}
