import {type IncomingMessage} from 'node:http';
import {type Body, channel, type Channel, receive, tryDeliver, wait} from '../concurrency/index.js';
import {malformedEvent} from '../connections/index.js';
import {type RequestId} from '../model/index.js';
import {maximumPartBytes} from '../wire/index.js';
import {createMalformedError} from './protocol/index.js';
import {type Slot} from './slot.js';

/** Parts of a body that may be sent before the service has read the first one. */
const bodyWindowParts = 16;

/** A caller's request body that is streamed to a service, read from the caller no faster than the service reads it. */
export class ServiceBody {
	static create(request: IncomingMessage): ServiceBody {
		return new ServiceBody(request);
	}

	/** The part that is sent with the `start` message; the complete body if `isComplete`. */
	firstPart: Uint8Array<ArrayBuffer> = new Uint8Array();
	isComplete = false;
	#buffered: Uint8Array<ArrayBuffer> = new Uint8Array();
	readonly #request: IncomingMessage;
	readonly #chunks: AsyncIterator<Uint8Array>;
	#isMalformed = false;
	/** Ends the wait for the next chunk with an error. */
	#failNext: ((error: Error) => void) | undefined;
	readonly #credits: Channel<number> = channel<number>(bodyWindowParts * 4);

	private constructor(request: IncomingMessage) {
		this.#request = request;
		this.#chunks = request.iterator({destroyOnReturn: false}) as AsyncIterator<Uint8Array>;
		request.once(malformedEvent, () => {
			this.#isMalformed = true;
			this.#failNext?.(createMalformedError());
		});
	}

	/** Throws a `RequestError` if bytes of the body have arrived that are none by HTTP's framing. */
	throwIfMalformed(): void {
		if (this.#isMalformed) {
			throw createMalformedError();
		}
	}

	/** Waits for the first bytes, or for the end of the body. */
	* readFirstPart(): Body<void> {
		this.firstPart = yield * wait(this.#next());
		const isExhausted = this.#buffered.length === 0 && this.#request.complete && this.#request.readableLength === 0;
		this.isComplete = this.firstPart.length === 0 || isExhausted;
	}

	/** The service has read `parts` more parts. */
	grantCredit(parts: number): void {
		tryDeliver(this.#credits, parts);
	}

	/** Stops sending because the call has ended. */
	stop(): void {
		this.#credits.close();
	}

	/** Sends everything after the first part; throws if the caller closes its connection before the end of the body, and a `RequestError` if the body is malformed. */
	* sendRest(slot: Slot, request: RequestId): Body<void> {
		let window = bodyWindowParts;
		let last = false;
		while (!last) {
			const bytes = yield * wait(this.#next());
			last = bytes.length === 0;
			while (window <= 0) {
				const parts = yield * receive(this.#credits);
				if (parts === undefined) {
					return;
				}

				window += parts;
			}

			slot.link.send({type: 'body', stream: slot.stream, request, bytes, last});
			window -= 1;
		}
	}

	/** The next part; an empty one at the end. */
	async #next(): Promise<Uint8Array<ArrayBuffer>> {
		if (this.#buffered.length === 0) {
			const next = await this.#nextChunk();
			this.#buffered = next.done ? new Uint8Array() : next.value as Uint8Array<ArrayBuffer>;
		}

		const part = this.#buffered.subarray(0, maximumPartBytes);
		this.#buffered = this.#buffered.subarray(maximumPartBytes);
		return part;
	}

	/** The iterator alone would wait for ever: bytes that are no body don't end the stream, as the responses before this one are still owed. */
	#nextChunk(): Promise<IteratorResult<Uint8Array>> {
		this.throwIfMalformed();
		return new Promise((resolve, reject) => {
			this.#failNext = reject;
			this.#chunks.next().then(resolve, reject);
		});
	}
}
