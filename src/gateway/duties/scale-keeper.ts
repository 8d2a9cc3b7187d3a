import {type Body, channel, receiveWithin, spawn, tryDeliver, wait} from '../../concurrency/index.js';
import {ReportOutcome} from '../../policy/duties/index.js';
import {createScaling, dueOrders, recordAccepted, type ScaleOrder, type ServiceSample, stepScaling} from '../../policy/scaling/index.js';
import {type PartLogger} from '../../telemetry/index.js';
import {type DutyCaller, type DutyReceiver} from './duty-types.js';

export type ScaleKeeperOptions = {
	/** The holder's name and token while this instance may act, otherwise undefined. */
	readonly caller: () => DutyCaller | undefined;
	/** The services whose endpoints can be ordered; undefined while what is known of the fleet is old. */
	readonly sample: () => readonly ServiceSample[] | undefined;
	readonly receiver: DutyReceiver;
	readonly logger: PartLogger;
	/** Called when an order was refused by its fencing token. */
	readonly onFenced: (token: number) => void;
};

const sampleMilliseconds = 1000;

/** Orders endpoints while this instance holds the duties. A new holder starts from its own samples. */
export class ScaleKeeper implements AsyncDisposable {
	static create(options: ScaleKeeperOptions): ScaleKeeper {
		const keeper = new ScaleKeeper(options);
		void spawn('scale orders', () => keeper.#run());
		return keeper;
	}

	readonly #options: ScaleKeeperOptions;
	readonly #stop = channel<'stop'>(1);
	#state = createScaling();
	#token: number | undefined;
	#isStopped = false;

	private constructor(options: ScaleKeeperOptions) {
		this.#options = options;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#isStopped = true;
		tryDeliver(this.#stop, 'stop');
	}

	* #run(): Body<void> {
		while (!this.#isStopped) {
			const samples = this.#options.sample();
			if (samples !== undefined) {
				this.#state = stepScaling(this.#state, samples, performance.now());
				yield * this.#sendOrders(samples);
			}

			yield * receiveWithin(this.#stop, sampleMilliseconds);
		}
	}

	* #sendOrders(samples: readonly ServiceSample[]): Body<void> {
		for (const order of dueOrders(this.#state)) {
			const caller = this.#options.caller();
			if (caller === undefined) {
				return;
			}

			if (caller.token !== this.#token) {
				// Another instance may have ordered meanwhile: everything is ordered again.
				this.#token = caller.token;
				this.#state = {...this.#state, accepted: new Map()};
			}

			yield * this.#send(caller, order, samples.find(({service}) => service === order.service)?.work);
		}
	}

	* #send(caller: DutyCaller, order: ScaleOrder, work: number | undefined): Body<void> {
		const {receiver, logger, onFenced} = this.#options;
		const {outcome, status, reason} = yield * wait(receiver.orderEndpoints(caller, order));
		const details = {...order, token: caller.token, outcome, status, reason, work: work === undefined ? undefined : Math.round(work * 100) / 100};
		switch (outcome) {
			case ReportOutcome.accepted: {
				logger.info('Endpoints ordered.', details);
				this.#state = recordAccepted(this.#state, order);
				return;
			}

			case ReportOutcome.fenced: {
				logger.warn('Endpoints not ordered.', details);
				onFenced(caller.token);
				return;
			}

			case ReportOutcome.failed: {
				logger.warn('Endpoints not ordered.', details);
			}
		}
	}
}
