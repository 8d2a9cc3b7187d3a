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
	send(message: GatewayMessage, connections: readonly Connection[]): void {
		if (connections.length === 0) {
			return;
		}

		const frame = encodeFrame(message);
		for (const connection of connections) {
			connection.sendFrame(frame, priorityOf(message));
		}

		this.#sentBytes.set(message.type, (this.#sentBytes.get(message.type) ?? 0) + (frame.byteLength * connections.length));
	}
}
