import {noCrashNews} from '../crashes/index.js';
import {type PeerLink} from './peer-link.js';
import {encodeCrashNews, initialMessages} from './peer-messages.js';
import {type PeerSender} from './peer-sender.js';
import {type PeersOptions} from './peers-options.js';

/** A peer that has not read the crashes from the store by then counts as one that does not reach it. */
const crashReadMilliseconds = 2000;

/** Tells new peers what they lack. */
export class Greeter {
	static create(options: PeersOptions, sender: PeerSender): Greeter {
		return new Greeter(options, sender);
	}

	readonly #options: PeersOptions;
	readonly #sender: PeerSender;

	private constructor(options: PeersOptions, sender: PeerSender) {
		this.#options = options;
		this.#sender = sender;
	}

	/** Sends to a peer that has said hello what it cannot read from the store. */
	greet(link: PeerLink, knowsEndpoints: boolean): void {
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
