import {type EndpointRecord} from '../routing/index.js';
import {ConnectionPool} from './connection-pool.js';

/** Where a service does not say how many connections its endpoints take. */
const defaultConnections = 64;
/** This instance's part of what an endpoint takes from all callers: four instances may then meet there. */
const connectionShare = 0.3;

/** The kept connections of each endpoint. */
export class ConnectionPools implements Disposable {
	static create(): ConnectionPools {
		return new ConnectionPools();
	}

	readonly #channels = new Map<string, ConnectionPool>();

	of({id}: EndpointRecord, largestConnections = defaultConnections): ConnectionPool {
		const held = this.#channels.get(id) ?? ConnectionPool.create(Math.max(8, Math.floor(largestConnections * connectionShare)));
		this.#channels.set(id, held);
		return held;
	}

	/** Drops the connections of endpoints that are gone. */
	retain(ids: ReadonlySet<string>): void {
		for (const id of this.#channels.keys()) {
			if (!ids.has(id)) {
				// Its free sockets close by themselves; one that still carries an answer ends with it.
				this.#channels.delete(id);
			}
		}
	}

	/** The endpoint has started again: what was sent to its incarnation before has ended with it. */
	closeStaleConnections(id: string): void {
		this.#channels.get(id)?.endOlder();
	}

	[Symbol.dispose](): void {
		for (const channels of this.#channels.values()) {
			channels.destroy();
		}
	}
}
