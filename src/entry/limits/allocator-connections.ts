import {type Security} from '../../wire/index.js';
import {AllocatorConnection, type LimitLease, type LimitReport} from './allocator-connection.js';

/** The connections to the allocators of this entry's classes, by address. */
export class AllocatorConnections {
	static create(security: Security, onLease: (lease: LimitLease) => void): AllocatorConnections {
		return new AllocatorConnections(security, onLease);
	}

	readonly #security: Security;
	readonly #onLease: (lease: LimitLease) => void;
	readonly #connections = new Map<string, AllocatorConnection>();

	private constructor(security: Security, onLease: (lease: LimitLease) => void) {
		this.#security = security;
		this.#onLease = onLease;
	}

	/** Sends a report to the allocator at an address, whose leases arrive later. */
	report(address: string, report: LimitReport): void {
		let connection = this.#connections.get(address);
		if (!connection) {
			connection = AllocatorConnection.create(address, this.#security, this.#onLease);
			this.#connections.set(address, connection);
		}

		connection.report(report);
	}

	/** Closes the connections to entries that have left. */
	keepOnly(addresses: ReadonlySet<string>): void {
		for (const [address, connection] of this.#connections) {
			if (!addresses.has(address)) {
				connection.close();
				this.#connections.delete(address);
			}
		}
	}

	closeAll(): void {
		for (const connection of this.#connections.values()) {
			connection.close();
		}
	}
}
