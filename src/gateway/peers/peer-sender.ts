import {type Connection, encodeFrame, type GatewayMessage} from '../../wire/index.js';
import {priorityOf} from './peer-messages.js';

/** Sends messages to peers and counts their bytes by type, so that an operator sees which kind fills the links. */
export class PeerSender {
	static create(): PeerSender {
		return new PeerSender();
	}

	readonly #sentBytes = new Map<string, number>();

	/** Bytes that were handed to connections since the start of the process, by type of message. */
	get sentBytes(): ReadonlyMap<string, number> {
		return this.#sentBytes;
	}

	/** Sends a message over each of the connections; it is encoded once. */
	send(message: GatewayMessage, connections: Iterable<Connection>): void {
		const frame = encodeFrame(message);
		const priority = priorityOf(message);
		let count = 0;
		for (const connection of connections) {
			connection.sendFrame(frame, priority);
			count += 1;
		}

		this.#sentBytes.set(message.type, (this.#sentBytes.get(message.type) ?? 0) + (frame.byteLength * count));
	}
}
