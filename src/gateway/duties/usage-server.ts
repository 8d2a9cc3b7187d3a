import {type Body, receive, spawn} from '../../concurrency/index.js';
import {type Connection, Listener, type MessageOf, type Security} from '../../wire/index.js';

export type UsageServerOptions = {
	readonly host: string;
	readonly port: number;
	readonly security: Security;
	/** Handles what an instance tells; returns the response. `sentWindow` is the newest window whose decision was sent on the connection. */
	readonly onUsage: (message: MessageOf<'usage'>, sentWindow: number) => MessageOf<'duty-holder'> | undefined;
	readonly onDisconnected: (incarnation: string) => void;
};

const heartbeatTimes = {heartbeatMilliseconds: 900, silenceMilliseconds: 2800};

/** Accepts the connections of instances that tell their usage to this one. */
export class UsageServer implements AsyncDisposable {
	static async create(options: UsageServerOptions): Promise<UsageServer> {
		const server = new UsageServer(options);
		server.#listener = await Listener.create({
			host: options.host, port: options.port, security: options.security,
			onConnection(connection) {
				void spawn('usage server', () => server.#serve(connection));
			},
		});
		return server;
	}

	readonly #options: UsageServerOptions;
	readonly #connections = new Set<Connection>();
	#listener: Listener | undefined;

	private constructor(options: UsageServerOptions) {
		this.#options = options;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await this.#listener?.[Symbol.asyncDispose]();
		await Promise.all([...this.#connections].map(async connection => connection[Symbol.asyncDispose]()));
	}

	* #serve(connection: Connection): Body<void> {
		const {onUsage, onDisconnected} = this.#options;
		this.#connections.add(connection);
		connection.setBusy(true, heartbeatTimes);
		let incarnation: string | undefined;
		let sentWindow = -Infinity;
		for (let messages = yield * receive(connection.incoming); messages !== undefined; messages = yield * receive(connection.incoming)) {
			for (const message of messages) {
				if (message.type !== 'usage') {
					connection.close(`the peer sent ${message.type}`);
					continue;
				}

				incarnation = message.incarnation;
				const announcement = onUsage(message, sentWindow);
				if (announcement !== undefined) {
					sentWindow = Math.max(sentWindow, ...announcement.decisions.map(({window}) => window));
					connection.send(announcement);
				}
			}
		}

		this.#connections.delete(connection);
		if (incarnation !== undefined) {
			onDisconnected(incarnation);
		}
	}
}
