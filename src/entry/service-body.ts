import {type IncomingMessage} from 'node:http';
import {type Body, channel, type Channel, receive, tryDeliver, wait} from '../concurrency/index.js';
import {type RequestId} from '../model/index.js';
import {maximumPartBytes} from '../wire/index.js';
import {type Slot} from './slot.js';

/** Parts of a body that may be on their way to a service before it has taken one. */
const bodyWindow = 16;

/** A caller's body on its way to a service, read no faster than the service takes it. */
export class ServiceBody {
	static create(request: IncomingMessage): ServiceBody {
		return new ServiceBody(request);
	}

	/** The part that travels with `start`; the whole body if `isWhole`. */
	first: Uint8Array<ArrayBuffer> = new Uint8Array();
	isWhole = false;
	#rest: Uint8Array<ArrayBuffer> = new Uint8Array();
	readonly #request: IncomingMessage;
	readonly #chunks: AsyncIterator<Uint8Array>;
	readonly #taken: Channel<number> = channel<number>(bodyWindow * 4);

	private constructor(request: IncomingMessage) {
		this.#request = request;
		this.#chunks = request.iterator({destroyOnReturn: false}) as AsyncIterator<Uint8Array>;
	}

	/** Waits for the first bytes, or the end. */
	* readFirst(): Body<void> {
		this.first = yield * wait(this.#next());
		const nothingLeft = this.#rest.length === 0 && this.#request.complete && this.#request.readableLength === 0;
		this.isWhole = this.first.length === 0 || nothingLeft;
	}

	/** The service took so many more parts. */
	taken(parts: number): void {
		tryDeliver(this.#taken, parts);
	}

	/** Nothing more is to be sent: the call has ended. */
	stop(): void {
		this.#taken.close();
	}

	/** Sends everything after the first part; throws if the caller breaks off. */
	* sendRest(slot: Slot, request: RequestId): Body<void> {
		let window = bodyWindow;
		let last = false;
		while (!last) {
			const bytes = yield * wait(this.#next());
			last = bytes.length === 0;
			while (window <= 0) {
				const parts = yield * receive(this.#taken);
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
		if (this.#rest.length === 0) {
			const next = await this.#chunks.next();
			this.#rest = next.done ? new Uint8Array() : next.value as Uint8Array<ArrayBuffer>;
		}

		const part = this.#rest.subarray(0, maximumPartBytes);
		this.#rest = this.#rest.subarray(maximumPartBytes);
		return part;
	}
}
