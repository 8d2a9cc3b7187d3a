import {receive, spawn, type Body} from '../../concurrency/index.js';
import {Listener, type Connection, type Security} from '../../wire/index.js';
import {type LimitLease, type LimitReport} from './allocator-connection.js';

export type ReportListenerOptions = {
	readonly host: string;
	readonly port: number;
	readonly security: Security;
	/** The leases that respond to a report. */
	onReport(report: LimitReport): LimitLease;
};

/** Accepts the connections of other entries, which report to this one as their allocator, and responds with leases. */
export class ReportListener implements AsyncDisposable {
	static async create(options: ReportListenerOptions): Promise<ReportListener> {
		const {host, port, security} = options;
		const reports = new ReportListener(options);
		reports.#listener = await Listener.create({
			host, port, security, onConnection(connection) {
				reports.#connections.add(connection);
				void spawn('limit-peer', () => reports.#serve(connection));
			},
		});
		return reports;
	}

	readonly #options: ReportListenerOptions;
	readonly #connections = new Set<Connection>();
	#listener!: Listener;

	private constructor(options: ReportListenerOptions) {
		this.#options = options;
	}

	/** IP address and port. */
	get address(): string {
		return this.#listener.address;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		for (const connection of this.#connections) {
			connection.close('the entry is shutting down');
		}

		await this.#listener[Symbol.asyncDispose]();
	}

	* #serve(connection: Connection): Body<void> {
		for (;;) {
			const messages = yield * receive(connection.incoming);
			if (messages === undefined) {
				this.#connections.delete(connection);
				return;
			}

			for (const message of messages) {
				if (message.type === 'limit-report') {
					connection.send(this.#options.onReport(message));
				}
			}
		}
	}
}
