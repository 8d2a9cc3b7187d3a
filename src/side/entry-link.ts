import {type Body, receive} from '../concurrency/index.js';
import {type Connection, type Message, protocolVersion} from '../wire/index.js';
import {type Reservation} from './reservation.js';

/** Handles the messages and the end of an entry's connection; implemented by `Side`. */
export type EntryLinkHandler = {
	handle(link: EntryLink, message: Message): void;
	linkClosed(link: EntryLink): void;
};

/** The connection of one entry, and the reservations made over it, by stream number. */
export class EntryLink {
	static create(connection: Connection, number: number): EntryLink {
		return new EntryLink(connection, number);
	}

	readonly reservations = new Map<number, Reservation>();
	/** The instance id of the entry, which is new after every restart; known once its `hello` has arrived. */
	instance: string | undefined;
	/** Number of the connection at this side; makes reservation ids unique across connections. */
	readonly number: number;
	readonly connection: Connection;

	private constructor(connection: Connection, number: number) {
		this.connection = connection;
		this.number = number;
	}

	send(message: Message): void {
		this.connection.send(message);
	}

	/** Sends a heartbeat if one is due on one of this many connections; those with reservations have the shorter interval. */
	sendHeartbeatIfDue(connections: number, catalogueOffset: number): void {
		this.connection.setBusy(this.reservations.size > 0);
		if (this.connection.takeHeartbeat(connections)) {
			this.send({type: 'heartbeat', catalogueOffset});
		}
	}

	/** Reads messages until the connection ends. The first one must be `hello`. */
	* read(handler: EntryLinkHandler): Body<void> {
		for (;;) {
			const messages = yield * receive(this.connection.incoming);
			if (messages === undefined) {
				break;
			}

			for (const message of messages) {
				this.#accept(message, handler);
			}
		}

		handler.linkClosed(this);
	}

	#accept(message: Message, handler: EntryLinkHandler): void {
		if (this.instance === undefined && !this.#acceptHello(message)) {
			this.connection.close('no hello from an entry of this protocol version');
			return;
		}

		handler.handle(this, message);
	}

	#acceptHello(message: Message): boolean {
		if (message.type !== 'hello' || message.role !== 'entry' || message.protocol !== protocolVersion) {
			return false;
		}

		this.instance = message.instance;
		return true;
	}
}
