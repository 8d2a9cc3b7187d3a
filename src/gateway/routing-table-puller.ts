import {type PartLogger} from '../telemetry/index.js';

/** A peer that has a routing table in force. */
export type TableHolder = {readonly instance: string; readonly version: number; readonly requestTable: () => void};

export type TablePullOptions = {
	/** The version in force here. */
	readonly ownVersion: () => number | undefined;
	/** The peers with the versions that they told. */
	readonly holders: () => readonly TableHolder[];
	readonly logger: PartLogger;
	/** A peer has read from the store for long what this instance has not. */
	readonly onStaleTable: () => void;
};

/**
 * Failure: each instance sends each new table to each other one. Symptom: ten changes in four seconds are
 * 25 x 15 kB each, both ways, which fills the link of a small instance; connections to endpoints then
 * take over 350 ms, and all of them look unreachable. Only the version is told. Who lacks it for longer
 * than the store needs asks one of those that have it: at once where it has no table at all.
 */
const pullMilliseconds = {withoutTable: 100, behind: 400, spread: 200};

/** Asks peers for a newer routing table than the one in force, where the store has not brought it in time. */
export class RoutingTablePuller implements Disposable {
	static create(options: TablePullOptions): RoutingTablePuller {
		return new RoutingTablePuller(options);
	}

	readonly #options: TablePullOptions;
	#timer: NodeJS.Timeout | undefined;

	private constructor(options: TablePullOptions) {
		this.#options = options;
	}

	[Symbol.dispose](): void {
		clearTimeout(this.#timer);
	}

	/** A peer told of a version; asks later if it is still newer then, and again as long as it is not here. */
	handlePeerVersion(): void {
		if (this.#timer !== undefined || this.#newer().length === 0) {
			return;
		}

		const least = this.#options.ownVersion() === undefined ? pullMilliseconds.withoutTable : pullMilliseconds.behind;
		this.#timer = setTimeout(() => {
			this.#timer = undefined;
			this.#ask();
		}, least + (Math.random() * pullMilliseconds.spread));
	}

	#ask(): void {
		const newer = this.#newer();
		const asked = newer[Math.floor(Math.random() * newer.length)];
		if (asked === undefined) {
			return;
		}

		this.#options.logger.info('Asking a peer for its routing table.', {peer: asked.instance, version: asked.version, before: this.#options.ownVersion()});
		asked.requestTable();
		this.#options.onStaleTable();
		this.handlePeerVersion();
	}

	#newer(): TableHolder[] {
		const own = this.#options.ownVersion() ?? -Infinity;
		return this.#options.holders().filter(({version}) => version > own);
	}
}
