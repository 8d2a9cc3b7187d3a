import {sleep, spawn, wait, type Body} from '../../concurrency/index.js';
import {type EngineControl, type EngineOrder, type OrderResult} from '../../endpoint/index.js';
import {type LogClient} from '../../platform/index.js';
import {createOwnership, decideOrder, foldOwnership, type Ownership, type OwnershipRecord} from '../../policy/ownership/index.js';

/** An order without its fencing number, which the sender adds. */
export type OrderContent = Omit<EngineOrder, 'fence'>;

export type OrderOutcome
	= | {readonly type: 'taken'; readonly fence: number}
	/** A later side owns the endpoint. */
		| {readonly type: 'superseded'}
	/** The order may not be in effect: the log or the endpoint did not respond. Retrying is harmless. */
		| {readonly type: 'failed'; readonly reason: string};

export type OrderSenderSettings = {
	readonly log: LogClient;
	readonly instance: string;
	readonly endpoint: string;
	readonly control: Pick<EngineControl, 'order' | 'models'>;
	/** Whether the endpoint rejects an order with an outdated fencing number. */
	readonly endpointChecksFences: boolean;
	/** The time in milliseconds, of a clock that keeps running while the process is paused. */
	readonly now?: () => number;
};

const retryMilliseconds = 100;
const maxTries = 5;

export function orderStream(endpoint: string): string {
	return `orders-${endpoint}`;
}

/** Sends orders to one endpoint, as the only sender for as long as its side owns the endpoint. */
export class OrderSender {
	/** Takes ownership of the endpoint, which supersedes every earlier side. Throws if the log can't be reached. */
	static async create(settings: OrderSenderSettings): Promise<OrderSender> {
		const sender = new OrderSender(settings);
		await spawn('own-endpoint', () => sender.#takeOwnership(), ignoreFailure);
		return sender;
	}

	readonly #settings: OrderSenderSettings;
	readonly #stream: string;
	#ownership: Ownership = createOwnership();
	#ownedAt = 0;

	private constructor(settings: OrderSenderSettings) {
		this.#settings = settings;
		this.#stream = orderStream(settings.endpoint);
	}

	/** Sends an order once it is certain that this side still owns the endpoint. */
	async order(content: OrderContent): Promise<OrderOutcome> {
		return spawn('engine-order', () => this.#order(content));
	}

	#now(): number {
		return (this.#settings.now ?? Date.now)();
	}

	/** Appends the ownership record until the log has confirmed it; a duplicate only raises the fencing number. */
	* #takeOwnership(): Body<void> {
		const record: OwnershipRecord = {type: 'owner', endpoint: this.#settings.endpoint, instance: this.#settings.instance};
		for (let tries = 1; ; tries++) {
			const result = yield * wait(this.#settings.log.append(this.#stream, record));
			if (result.type === 'appended') {
				this.#ownedAt = this.#now();
				return;
			}

			if (tries === maxTries) {
				throw new Error(`The ownership of ${this.#settings.endpoint} could not be written: ${result.reason}`);
			}

			yield * sleep(retryMilliseconds);
		}
	}

	* #order(content: OrderContent): Body<OrderOutcome> {
		let reason = '';
		for (let tries = 0; tries < maxTries; tries++) {
			const permission = yield * this.#checkOwnership();
			if (permission.type !== 'send') {
				return permission;
			}

			const result = yield * wait(this.#settings.control.order({...content, fence: permission.fence}));
			if (result.type === 'fenced') {
				return {type: 'superseded'};
			}

			if (result.type === 'taken' && (yield * this.#isInEffect(content))) {
				return {type: 'taken', fence: permission.fence};
			}

			reason = reasonOf(result);
			yield * sleep(retryMilliseconds);
		}

		return {type: 'failed', reason};
	}

	/**
	 * Reads the ownership stream for every order; the result is valid for half a lease, and a new owner
	 * waits for a full lease. Without this, a side that was paused between its last read and the order
	 * could load an old model version over the one that its replacement has loaded meanwhile.
	 */
	* #checkOwnership(): Body<{type: 'send'; fence: number} | {type: 'superseded'} | {type: 'failed'; reason: string}> {
		let readAt: number | undefined;
		let failures = 0;
		while (failures < maxTries) {
			const step = decideOrder(this.#ownership, {...this.#settings, ownedAt: this.#ownedAt, readAt}, this.#now());
			switch (step.type) {
				case 'send':
				case 'superseded': {
					return step;
				}

				case 'wait': {
					yield * sleep(step.milliseconds);
					readAt = undefined;
					break;
				}

				case 'read': {
					const startedAt = this.#now();
					if (yield * this.#readToEnd()) {
						readAt = startedAt;
					} else {
						failures += 1;
						yield * sleep(retryMilliseconds);
					}
				}
			}
		}

		return {type: 'failed', reason: 'the log could not be read'};
	}

	* #readToEnd(): Body<boolean> {
		try {
			for (;;) {
				const page = yield * wait(this.#settings.log.read(this.#stream, this.#ownership.nextOffset));
				this.#ownership = page.type === 'gone' ? {nextOffset: page.first} : foldOwnership(this.#ownership, page.records);
				if (this.#ownership.nextOffset >= page.next) {
					return true;
				}
			}
		} catch {
			return false;
		}
	}

	/**
	 * True if the endpoint reports the order as applied. Checked only for an endpoint that ignores fencing numbers,
	 * which may have accepted a late order of an earlier owner after this one.
	 */
	* #isInEffect(content: OrderContent): Body<boolean> {
		if (this.#settings.endpointChecksFences || content.order !== 'load-model') {
			return true;
		}

		const models = yield * wait(this.#settings.control.models());
		return models?.some(model => model.id === content.name && (model.version === undefined || model.version === content.version)) ?? false;
	}
}

function reasonOf(result: OrderResult): string {
	return result.type === 'failed' ? result.reason : 'the endpoint does not report the order as applied';
}

/** The error is reported by the rejection of `create`. */
function ignoreFailure(): void {
	// Intentionally empty.
}

/** How long a new owner waits before its first order if the endpoint ignores fencing numbers. */

export {ownershipLeaseMilliseconds as takeoverMilliseconds} from '../../policy/ownership/index.js';
