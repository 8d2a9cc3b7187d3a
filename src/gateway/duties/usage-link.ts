import {type Body, receive, spawn, wait} from '../../concurrency/index.js';
import {type Holder} from '../../policy/duties/index.js';
import {type PartLogger} from '../../telemetry/index.js';
import {type Connection, dial, type MessageOf, type Security} from '../../wire/index.js';

export type UsageLinkOptions = {
	readonly security: Security;
	readonly logger: PartLogger;
	readonly onAnnouncement: (announcement: MessageOf<'duty-holder'>) => void;
};

/** Times of the link's connection: a holder that lost power is noticed within the silence. */
const heartbeatTimes = {heartbeatMilliseconds: 900, silenceMilliseconds: 2800};

/** This instance's connection to the holder of the duties, to which it tells its usage. */
export class UsageLink implements AsyncDisposable {
	static create(options: UsageLinkOptions): UsageLink {
		return new UsageLink(options);
	}

	/** The counter's revision up to which this connection has been sent. */
	sentRevision = 0;
	readonly #options: UsageLinkOptions;
	#connection: Connection | undefined;
	#token = 0;
	#isDialling = false;

	private constructor(options: UsageLinkOptions) {
		this.#options = options;
	}

	/** Connects to a holder, unless it is connected already. */
	connect({token, address, instance}: Holder): void {
		if (this.#isDialling || (this.#token === token && this.#connection?.isOpen === true)) {
			return;
		}

		this.#isDialling = true;
		this.#token = token;
		this.#connection?.close('another instance holds the duties');
		void spawn('usage link', () => this.#run(address, instance));
	}

	/** Sends a message; returns false if there is no connection. */
	send(message: MessageOf<'usage'>): boolean {
		if (this.#connection?.isOpen !== true) {
			return false;
		}

		this.#connection.send(message);
		return true;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await this.#connection?.[Symbol.asyncDispose]();
	}

	* #run(address: string, instance: string): Body<void> {
		const {security, logger, onAnnouncement} = this.#options;
		let connection: Connection;
		try {
			connection = yield * wait(dial(address, security));
		} catch (error) {
			logger.debug('Could not connect to the holder of the duties.', {holder: instance, address, reason: String(error)});
			return;
		} finally {
			this.#isDialling = false;
		}

		connection.setBusy(true, heartbeatTimes);
		this.#connection = connection;
		this.sentRevision = 0;
		for (let messages = yield * receive(connection.incoming); messages !== undefined; messages = yield * receive(connection.incoming)) {
			for (const message of messages) {
				if (message.type === 'duty-holder') {
					onAnnouncement(message);
				}
			}
		}

		logger.info('Connection to the holder of the duties ended.', {holder: instance, reason: connection.closeReason});
	}
}
