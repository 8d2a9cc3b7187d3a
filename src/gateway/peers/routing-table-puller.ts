import {type PartLogger} from '../../telemetry/index.js';

/** A peer that has a routing table in force. */
export type TableHolder = {readonly instance: string; readonly version: number; readonly requestTable: () => void};

export type RoutingTablePullerOptions = {
	/** The version in force here. */
	readonly ownVersion: () => number | undefined;
	/** The peers with the versions that they reported. */
	readonly holders: () => readonly TableHolder[];
	readonly logger: PartLogger;
	/** Called when a peer has a newer version that this instance has not read from the store within the delay. */
	readonly onStaleTable: () => void;
};

/**
 * Delays before a table is requested. Peers report only the version of a new routing table. An instance that still lacks the table
 * after the time of a read of the store requests it from one of the peers that have it; an instance without any table does so almost
 * at once. If each instance sent each new table to all others, ten changes in four seconds would each be 25 x 15 kB in both
 * directions, which fills the network link of a small instance: connections to endpoints would take over 350 ms, and all endpoints
 * would look unreachable.
 */
const pullDelayMilliseconds = {withoutTable: 100, behind: 400, spread: 200};

/** Requests a newer routing table than the one in force from a peer if the store has not delivered it in time. */
export class RoutingTablePuller implements Disposable {
	static create(options: RoutingTablePullerOptions): RoutingTablePuller {
		return new RoutingTablePuller(options);
	}

	readonly #options: RoutingTablePullerOptions;
	#timer: NodeJS.Timeout | undefined;

	private constructor(options: RoutingTablePullerOptions) {
		this.#options = options;
	}

	[Symbol.dispose](): void {
		clearTimeout(this.#timer);
	}

	/**
	 * Called when a peer has reported its version. If a peer has a newer table, requests it after a delay, and again until that version
	 * is in force here.
	 */
	handlePeerVersion(): void {
		if (this.#timer !== undefined || this.#newer().length === 0) {
			return;
		}

		const delay = this.#options.ownVersion() === undefined ? pullDelayMilliseconds.withoutTable : pullDelayMilliseconds.behind;
		this.#timer = setTimeout(() => {
			this.#timer = undefined;
			this.#request();
		}, delay + (Math.random() * pullDelayMilliseconds.spread));
	}

	#request(): void {
		const newer = this.#newer();
		const peer = newer[Math.floor(Math.random() * newer.length)];
		if (peer === undefined) {
			return;
		}

		this.#options.logger.info('Requesting the routing table from a peer.', {peer: peer.instance, version: peer.version, before: this.#options.ownVersion()});
		peer.requestTable();
		this.#options.onStaleTable();
		this.handlePeerVersion();
	}

	#newer(): TableHolder[] {
		const own = this.#options.ownVersion() ?? -Infinity;
		return this.#options.holders().filter(({version}) => version > own);
	}
}
