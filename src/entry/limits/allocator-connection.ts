import {receive, spawn, wait, type Body} from '../../concurrency/index.js';
import {dial, type Connection, type MessageOf, type Security} from '../../wire/index.js';

export type LimitReport = MessageOf<'limit-report'>;
export type LimitLease = MessageOf<'limit-lease'>;

/** Pause after a failed attempt to connect to the allocator, before the next attempt. */
const redialMilliseconds = 500;

/**
 * The connection to one allocator, opened when there is something to report. An idle connection times out and is
 * opened again when needed, so that entries do not maintain a full mesh of connections.
 */
export class AllocatorConnection {
	static create(address: string, security: Security, onLease: (lease: LimitLease) => void): AllocatorConnection {
		return new AllocatorConnection(address, security, onLease);
	}

	readonly #address: string;
	readonly #security: Security;
	readonly #onLease: (lease: LimitLease) => void;
	#connection: Connection | undefined;
	#unsentReport: LimitReport | undefined;
	#isDialing = false;
	#failedAt = Number.NEGATIVE_INFINITY;
	#isClosed = false;

	private constructor(address: string, security: Security, onLease: (lease: LimitLease) => void) {
		this.#address = address;
		this.#security = security;
		this.#onLease = onLease;
	}

	/** Sends a report; while the connection is being opened, only the newest report is kept. */
	report(report: LimitReport): void {
		if (this.#connection?.isOpen) {
			this.#connection.send(report);
			return;
		}

		this.#unsentReport = report;
		if (!this.#isDialing && !this.#isClosed && performance.now() - this.#failedAt > redialMilliseconds) {
			this.#isDialing = true;
			void spawn('limit-keeper', () => this.#connect());
		}
	}

	close(): void {
		this.#isClosed = true;
		this.#connection?.close('the entry is shutting down');
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
			this.#connection.close('the entry is shutting down');
			return;
		}

		if (this.#unsentReport) {
			this.#connection.send(this.#unsentReport);
			this.#unsentReport = undefined;
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
