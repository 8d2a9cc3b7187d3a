import {Buffer} from 'node:buffer';

/** One whole event of a stream, as the endpoint wrote it. */
export type StreamEvent = {readonly bytes: Uint8Array; readonly id: string | undefined};

/** An event that does not end within so many bytes is not one. */
export const largestEventBytes = 1024 * 1024;

/**
 * Cuts a stream into whole events, each with its closing blank line. Failure: an endpoint stops in the
 * middle of an event and another one goes on. Symptom: the caller reads half an event joined to a
 * whole one. Nothing but whole events leaves here, so the cut falls between two.
 */
export class EventSplitter {
	static create(): EventSplitter {
		return new EventSplitter();
	}

	#rest: Uint8Array = new Uint8Array();

	/** Bytes of an event that has not ended. */
	get rest(): Uint8Array {
		return this.#rest;
	}

	push(bytes: Uint8Array): StreamEvent[] {
		const buffer = Buffer.concat([this.#rest, bytes]);
		const events: StreamEvent[] = [];
		let start = 0;
		for (let end = endOfEvent(buffer, start); end !== -1; end = endOfEvent(buffer, start)) {
			const event = buffer.subarray(start, end);
			events.push({bytes: event, id: idOf(event.toString('latin1'))});
			start = end;
		}

		this.#rest = buffer.subarray(start);
		if (this.#rest.length > largestEventBytes) {
			throw new RangeError('An event is longer than any may be.');
		}

		return events;
	}
}

type Searchable = {indexOf(text: string, start: number): number};

function endOfEvent(buffer: Searchable, start: number): number {
	const plain = buffer.indexOf('\n\n', start);
	const carriage = buffer.indexOf('\r\n\r\n', start);
	if (plain === -1 && carriage === -1) {
		return -1;
	}

	return carriage !== -1 && (plain === -1 || carriage < plain) ? carriage + 4 : plain + 2;
}

function idOf(text: string): string | undefined {
	return /^id: ?(?<id>[^\r\n]*)/mv.exec(text)?.groups?.id;
}
