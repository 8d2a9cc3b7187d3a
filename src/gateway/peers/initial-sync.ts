import {noCrashNews} from '../crashes/index.js';
import {type PeerLink} from './peer-link.js';
import {encodeCrashNews, initialMessages} from './peer-messages.js';
import {type PeerSender} from './peer-sender.js';
import {type PeersOptions} from './peers-options.js';

/** A peer that has not read the crashes from the store by then counts as one that does not reach it. */
const crashReadMilliseconds = 2000;

/**
 * Sends a new peer what it lacks. What is stored of crashes is left out for a peer that reads the store itself: after a loss of power of all instances,
 * each told each other one all that both had just read, links of small instances were full, and callers were answered late. A peer that does not
 * reach the store is sent all of it, so that it does not send on what crashes endpoints.
 */
export class InitialSync {
	static create(options: PeersOptions, sender: PeerSender): InitialSync {
		return new InitialSync(options, sender);
	}

	readonly #options: PeersOptions;
	readonly #sender: PeerSender;

	private constructor(options: PeersOptions, sender: PeerSender) {
		this.#options = options;
		this.#sender = sender;
	}

	/** Sends to a peer that has said hello what it cannot read from the store. */
	start(link: PeerLink, knowsEndpoints: boolean): void {
		const {routingState, holderAnnouncement, crashNews} = this.#options;
		const now = performance.now();
		for (const message of initialMessages(routingState, {knowsEndpoints, holderAnnouncement: holderAnnouncement(), crashes: crashNews('unstored'), now})) {
			this.#sender.send(message, [link.connection]);
		}

		if (this.#options.knowsCrashes()) {
			this.#sender.send(encodeCrashNews(noCrashNews, now, true), [link.connection]);
		}
	}

	/** Sends all that counts of crashes to a peer that has not read it from the store in time. */
	complete(link: PeerLink, now: number): void {
		if (link.knowsCrashes || now - link.since < crashReadMilliseconds) {
			return;
		}

		link.knowsCrashes = true;
		this.#sender.send(encodeCrashNews(this.#options.crashNews('all'), now), [link.connection]);
	}
}
