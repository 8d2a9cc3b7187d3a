import {sleep, spawn, wait, type Body} from '../../concurrency/index.js';
import {type EngineControl, type EngineOrder, type OrderResult} from '../../endpoint/index.js';
import {type LogClient} from '../../platform/index.js';
import {createOwnership, decideOrder, foldOwnership, type Ownership, type OwnershipRecord} from '../../policy/ownership/index.js';

/** An order without its fencing number, which the desk adds. */
export type OrderContent = Omit<EngineOrder, 'fence'>;

export type OrderOutcome
	= | {readonly type: 'taken'; readonly fence: number}
	/** A later side owns the endpoint. */
		| {readonly type: 'superseded'}
	/** Not known to be in effect: the log or the endpoint did not answer. Asking again is harmless. */
		| {readonly type: 'failed'; readonly reason: string};

export type OrderSenderSettings = {
	readonly log: LogClient;
	readonly instance: string;
	readonly endpoint: string;
	readonly control: Pick<EngineControl, 'order' | 'models'>;
	/** Whether the endpoint refuses an order with an old fencing number. */
	readonly endpointChecksFences: boolean;
	/** Milliseconds of a clock that goes on while the process is paused. */
	readonly now?: () => number;
};

const retryMilliseconds = 100;
const largestTries = 5;

export function orderStream(endpoint: string): string {
	return `orders-${endpoint}`;
}

/** The only giver of orders to one endpoint, for as long as its side is the endpoint's owner. */
export class OrderSender {
	/** Becomes the owner, which supersedes every earlier side. Throws if the log can't be reached. */
	static async create(settings: OrderSenderSettings): Promise<OrderSender> {
		const desk = new OrderSender(settings);
		await spawn('own-endpoint', () => desk.#own(), ignoreFailure);
		return desk;
	}

	readonly #settings: OrderSenderSettings;
	readonly #stream: string;
	#ownership: Ownership = createOwnership();
	#ownedAt = 0;

	private constructor(settings: OrderSenderSettings) {
		this.#settings = settings;
		this.#stream = orderStream(settings.endpoint);
	}

	/** Gives an order, once it is certain that this side still owns the endpoint. */
	async order(content: OrderContent): Promise<OrderOutcome> {
		return spawn('engine-order', () => this.#order(content));
	}

	#now(): number {
		return (this.#settings.now ?? Date.now)();
	}

	/** The record is appended until the log has it for certain; one that it has twice only raises the fence. */
	* #own(): Body<void> {
		const record: OwnershipRecord = {type: 'owner', endpoint: this.#settings.endpoint, instance: this.#settings.instance};
		for (let tries = 1; ; tries++) {
			const result = yield * wait(this.#settings.log.append(this.#stream, record));
			if (result.type === 'appended') {
				this.#ownedAt = this.#now();
				return;
			}

			if (tries === largestTries) {
				throw new Error(`The ownership of ${this.#settings.endpoint} could not be written: ${result.reason}`);
			}

			yield * sleep(retryMilliseconds);
		}
	}

	* #order(content: OrderContent): Body<OrderOutcome> {
		let reason = '';
		for (let tries = 0; tries < largestTries; tries++) {
			const permission = yield * this.#permission();
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
	 * Failure: this process was paused between its last reading and the order, and a replacement took
	 * over meanwhile. Symptom: an old version is loaded over the new one. The stream is read again for
	 * every order, and the reading counts for half a lease; a new owner waits a whole one.
	 */
	* #permission(): Body<{type: 'send'; fence: number} | {type: 'superseded'} | {type: 'failed'; reason: string}> {
		let readAt: number | undefined;
		let failures = 0;
		while (failures < largestTries) {
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

		return {type: 'failed', reason: 'the log can not be read'};
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

	/** An endpoint that ignores fences may have taken a late order of an older owner after ours. */
	* #isInEffect(content: OrderContent): Body<boolean> {
		if (this.#settings.endpointChecksFences || content.order !== 'load-model') {
			return true;
		}

		const models = yield * wait(this.#settings.control.models());
		return models?.some(model => model.id === content.name && (model.version === undefined || model.version === content.version)) ?? false;
	}
}

function reasonOf(result: OrderResult): string {
	return result.type === 'failed' ? result.reason : 'the endpoint does not show the order in effect';
}

/** The rejection of `create` tells it. */
function ignoreFailure(): void {
	// Nothing else to do.
}

/** How long a new owner of an endpoint that ignores fences waits before its first order. */

export {ownershipLeaseMilliseconds as takeoverMilliseconds} from '../../policy/ownership/index.js';
