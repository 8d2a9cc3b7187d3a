import {type Body, receive} from '../concurrency/index.js';
import {type Connection, type Message, protocolVersion} from '../wire/index.js';
import {type Reservation} from './reservation.js';

/** What one entry's connection needs of the side it ends at. */
export type EntryLinkOwner = {
	handle(link: EntryLink, message: Message): void;
	linkClosed(link: EntryLink): void;
};

/** One entry's connection, and the reservations that came over it, by stream number. */
export class EntryLink {
	static create(connection: Connection, number: number): EntryLink {
		return new EntryLink(connection, number);
	}

	readonly reservations = new Map<number, Reservation>();
	/** The entry's incarnation, known once its `hello` has come. */
	instance: string | undefined;
	readonly number: number;
	readonly connection: Connection;

	private constructor(connection: Connection, number: number) {
		this.connection = connection;
		this.number = number;
	}

	send(message: Message): void {
		this.connection.send(message);
	}

	/** Reads until the connection ends. The first message must be `hello`. */
	* read(owner: EntryLinkOwner): Body<void> {
		for (;;) {
			const messages = yield * receive(this.connection.incoming);
			if (messages === undefined) {
				break;
			}

			for (const message of messages) {
				this.#accept(message, owner);
			}
		}

		owner.linkClosed(this);
	}

	#accept(message: Message, owner: EntryLinkOwner): void {
		if (this.instance === undefined && !this.#greet(message)) {
			this.connection.close('no hello from an entry of this protocol version');
			return;
		}

		owner.handle(this, message);
	}

	#greet(message: Message): boolean {
		if (message.type !== 'hello' || message.role !== 'entry' || message.protocol !== protocolVersion) {
			return false;
		}

		this.instance = message.instance;
		return true;
	}
}
