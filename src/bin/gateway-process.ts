import {setTimeout as delay} from 'node:timers/promises';
import {drainListenMilliseconds, type Gateway, type Peers, type RoutingState} from '../gateway/index.js';
import {type ZoneName} from '../model/index.js';
import {type StopRequestTime, stopTimesOf} from '../policy/stopping/index.js';
import {type GatewaySettings} from '../settings/gateway/index.js';
import {allowanceOf} from './gateway-dispatcher.js';
import {type GatewayProcessOptions, openParts, type Parts} from './gateway-parts.js';
import {withinMilliseconds} from './within-milliseconds.js';

const announceRetryMilliseconds = 1000;
/** After the store is restored from a backup, all instances announce themselves again, at random times within this period. */
const announceSpreadMilliseconds = 2000;
/** The process ends so long after its last requests were answered, so that their answers are sent before. */
const answerMilliseconds = 200;
/** A loop that is late over the end sees both moments in one turn: what is due then is answered within this time, and what lies unread is delivered. */
const lateAnswersMilliseconds = 100;

/** One gateway process with all its parts. */
export class GatewayProcess implements AsyncDisposable {
	static async create(options: GatewayProcessOptions): Promise<GatewayProcess> {
		return new GatewayProcess(await openParts(options));
	}

	readonly #parts: Parts;
	readonly #announcementAbort = new AbortController();
	/** Resolves once no announcement is on its way to the store. */
	#announced: Promise<unknown> = Promise.resolve();

	private constructor(parts: Parts) {
		this.#parts = parts;
		this.#startAnnouncing();
		parts.store.onEra(() => {
			setTimeout(() => {
				this.#startAnnouncing();
			}, Math.random() * announceSpreadMilliseconds).unref();
		});
	}

	get gateway(): Gateway {
		return this.#parts.gateway;
	}

	get routingState(): RoutingState {
		return this.#parts.routingState;
	}

	get peers(): Peers {
		return this.#parts.peers;
	}

	get adminPort(): number {
		return this.#parts.admin.port;
	}

	/** Applies the settings that can change at run time. */
	apply(settings: GatewaySettings): void {
		this.#parts.dispatcher.retries.setAllowance(allowanceOf(settings), performance.now());
	}

	/**
	 * Shuts down gracefully, in the time that the platform leaves since it asked for that, by default now; resolves to true if all requests ended, and the
	 * attempt to retract the announcement too, before the deadline.
	 */
	async drain(requested: StopRequestTime = requestedNow()): Promise<boolean> {
		const {gateway, store, settings, duties} = this.#parts;
		this.#announcementAbort.abort();
		// An announcement that reached the store after its withdrawal would stay there.
		const retracted = this.#attempt('withdrawal of the announcement', async () => {
			await this.#announced;
			await store.retract(settings.instance);
		});
		const times = stopTimesOf(requested, {graceMilliseconds: settings.stopSeconds * 1000, listenMilliseconds: drainListenMilliseconds});
		const released = this.#attempt('release of the duties', async () => duties?.release());
		const served = this.#attempt('graceful shutdown of the port', async () => gateway.drain(times));
		const drained = Promise.all([served, retracted, released]).then(async () => this.#attempt('last report of usage', () => duties?.sendEnd()));
		const isWhole = await withinMilliseconds(drained, times.endsAt + answerMilliseconds - performance.now());
		await withinMilliseconds(served, lateAnswersMilliseconds);
		return isWhole;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#announcementAbort.abort();
		for (const part of this.#parts.disposables) {
			if (Symbol.asyncDispose in part) {
				await part[Symbol.asyncDispose]();
			} else {
				part[Symbol.dispose]();
			}
		}
	}

	/** Runs one part of a stop. Its error must not end the others: requests in progress would be cut off. */
	async #attempt(part: string, work: () => unknown): Promise<void> {
		try {
			await work();
		} catch (error) {
			this.#parts.log.warn('A part of the stop has failed.', {part, reason: String(error)});
		}
	}

	#startAnnouncing(): void {
		this.#announced = Promise.all([this.#announced, this.#announce()]);
	}

	/** Announces this instance, retrying until it succeeds or the process shuts down. */
	async #announce(): Promise<void> {
		const {store, settings, log} = this.#parts;
		const {signal} = this.#announcementAbort;
		for (let tries = 1; !signal.aborted; tries++) {
			try {
				await store.announce({instance: settings.instance, address: settings.peerAddress, zone: settings.availabilityZone as ZoneName});
				log.info('Announced to the other instances.', {address: settings.peerAddress, tries});
				return;
			} catch (error) {
				if (tries === 1) {
					log.warn('Could not announce this instance, trying again.', {reason: String(error)});
				}

				await delay(announceRetryMilliseconds * Math.min(tries, 8), undefined, {signal, ref: false}).catch(() => undefined);
			}
		}
	}
}

function requestedNow(): StopRequestTime {
	const now = performance.now();
	return {earliestAt: now, readAt: now};
}
