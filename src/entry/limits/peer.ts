import {receive, spawn, wait, type Body} from '../../concurrency/index.js';
import {dial, type Connection, type MessageOf, type Security} from '../../wire/index.js';

export type LimitReport = MessageOf<'limit-report'>;
export type LimitLease = MessageOf<'limit-lease'>;

/** Waits so long before it calls a keeper that did not answer again. */
const redialMilliseconds = 500;

/**
 * The connection to one keeper, made when there is something to report. A quiet one is closed by
 * its silence and made again, so that entries keep no mesh of connections among themselves.
 */
export class KeeperPeer {
	static create(address: string, security: Security, onLease: (lease: LimitLease) => void): KeeperPeer {
		return new KeeperPeer(address, security, onLease);
	}

	readonly #address: string;
	readonly #security: Security;
	readonly #onLease: (lease: LimitLease) => void;
	#connection: Connection | undefined;
	#pending: LimitReport | undefined;
	#isDialing = false;
	#failedAt = Number.NEGATIVE_INFINITY;
	#isClosed = false;

	private constructor(address: string, security: Security, onLease: (lease: LimitLease) => void) {
		this.#address = address;
		this.#security = security;
		this.#onLease = onLease;
	}

	/** Sends a report; while the connection is being made only the newest one waits. */
	report(report: LimitReport): void {
		if (this.#connection?.isOpen) {
			this.#connection.send(report);
			return;
		}

		this.#pending = report;
		if (!this.#isDialing && !this.#isClosed && performance.now() - this.#failedAt > redialMilliseconds) {
			this.#isDialing = true;
			void spawn('limit-keeper', () => this.#connect());
		}
	}

	close(): void {
		this.#isClosed = true;
		this.#connection?.close('the entry stops');
	}

	* #connect(): Body<void> {
		try {
			this.#connection = yield * wait(dial(this.#address, this.#security));
		} catch {
			this.#failedAt = performance.now();
			return;
		} finally {
			this.#isDialing = false;
		}

		if (this.#isClosed) {
			this.#connection.close('the entry stops');
			return;
		}

		if (this.#pending) {
			this.#connection.send(this.#pending);
			this.#pending = undefined;
		}

		yield * this.#read(this.#connection);
	}

	* #read(connection: Connection): Body<void> {
		for (;;) {
			const messages = yield * receive(connection.incoming);
			if (messages === undefined) {
				return;
			}

			for (const message of messages) {
				if (message.type === 'limit-lease') {
					this.#onLease(message);
				}
			}
		}
	}
}
