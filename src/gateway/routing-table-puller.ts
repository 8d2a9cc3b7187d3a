import {type PartLogger} from '../telemetry/index.js';

/** A peer that has a routing table in force. */
export type TableHolder = {readonly instance: string; readonly version: number; readonly requestTable: () => void};

export type RoutingTablePullerOptions = {
	/** The version in force here. */
	readonly ownVersion: () => number | undefined;
	/** The peers with the versions that they reported. */
	readonly holders: () => readonly TableHolder[];
	readonly logger: PartLogger;
	/** A peer has had a newer version for long that this instance has not read from the store. */
	readonly onStaleTable: () => void;
};

/**
 * Peers report only the version of a new routing table. An instance that lacks it for longer than a read of the store takes
 * requests it from one of the peers that have it, and at once if it has no table at all. If each instance sent each new table
 * to all others, ten changes in four seconds would be 25 x 15 kB each, in both directions, which fills the link of a small
 * instance: connections to endpoints would take over 350 ms, and all endpoints would look unreachable.
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
	 * A peer reported its version: requests the table after a delay if that version is still newer, and again until it is in
	 * force here.
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
