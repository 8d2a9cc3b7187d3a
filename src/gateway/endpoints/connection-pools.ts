import {type Restart} from '../../policy/incarnations/index.js';
import {type EndpointRecord} from '../../routing/index.js';
import {ConnectionPool, type StaleConnections} from './connection-pool.js';

/** Connection limit for services that do not set one. */
const defaultMaxConnections = 64;
/**
 * This instance's share of the connections that an endpoint accepts from all callers; four instances can then use one endpoint
 * at a time.
 */
const connectionShare = 0.3;

const noneStale: StaleConnections = {free: 0, busy: 0};

/** A connection pool for each endpoint. */
export class ConnectionPools implements Disposable {
	static create(): ConnectionPools {
		return new ConnectionPools();
	}

	readonly #pools = new Map<string, ConnectionPool>();

	/** The pool of an endpoint; the limit may change with each routing table, and connections beyond a lower one close after their responses. */
	forEndpoint({id}: EndpointRecord, largestConnections = defaultMaxConnections): ConnectionPool {
		const ownConnections = Math.max(8, Math.floor(largestConnections * connectionShare));
		const pool = this.#pools.get(id) ?? ConnectionPool.create(ownConnections);
		pool.maxSockets = ownConnections;
		this.#pools.set(id, pool);
		return pool;
	}

	/** Drops the pools of endpoints that are gone, once they have no connections: an endpoint that comes back has one limit for those that it had and those that it gets. */
	retain(ids: ReadonlySet<string>): void {
		for (const [id, pool] of this.#pools) {
			if (!ids.has(id) && !pool.hasConnections) {
				this.#pools.delete(id);
			}
		}
	}

	/** Leaves the connections to earlier incarnations of an endpoint that has restarted to the requests on them. */
	handleRestart(restart: Restart): StaleConnections {
		return this.#pools.get(restart.id)?.handleRestart(restart) ?? noneStale;
	}

	[Symbol.dispose](): void {
		for (const pool of this.#pools.values()) {
			pool.destroy();
		}
	}
}
