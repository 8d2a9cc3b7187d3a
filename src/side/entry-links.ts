import {type Message, type MessageOf} from '../wire/index.js';
import {type EntryLink} from './entry-link.js';

/** The connections of a side's entries, and what is sent on all or on some of them. */
export class EntryLinks {
	static create(): EntryLinks {
		return new EntryLinks();
	}

	readonly #links = new Set<EntryLink>();
	/** The load that `sendLoad` sent last, as JSON. */
	#lastLoadText = '';

	private constructor() {
		// Starts empty.
	}

	get size(): number {
		return this.#links.size;
	}

	add(link: EntryLink): void {
		this.#links.add(link);
	}

	delete(link: EntryLink): void {
		this.#links.delete(link);
	}

	broadcast(message: Message): void {
		for (const link of this.#links) {
			link.send(message);
		}
	}

	/** Sends the load to the entries that have requests at this side, and only if it changed. */
	sendLoad(message: MessageOf<'state'>): void {
		const text = JSON.stringify(message);
		if (text === this.#lastLoadText) {
			return;
		}

		this.#lastLoadText = text;
		for (const link of [...this.#links].filter(({reservations}) => reservations.size > 0)) {
			link.send(message);
		}
	}

	sendDueHeartbeats(catalogueOffset: number): void {
		for (const link of this.#links) {
			link.sendHeartbeatIfDue(this.#links.size, catalogueOffset);
		}
	}

	/** Closes all connections. */
	async closeAll(): Promise<void> {
		await Promise.all([...this.#links].map(async link => link.connection[Symbol.asyncDispose]()));
	}
}
