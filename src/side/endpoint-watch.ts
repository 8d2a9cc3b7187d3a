import {type Body, sleep, spawn, wait} from '../concurrency/index.js';
import {type EngineControl, type EngineLoad} from '../endpoint/index.js';

/** How often health and load are polled. The load report is used only for memory pressure, which changes over seconds. */
const checkIntervalMilliseconds = 500;
/** Consecutive failed checks after which an endpoint counts as down; a single one may be a short delay. */
const failuresUntilDown = 2;

/** Receives the results of the watch; implemented by `Side`. */
export type EndpointObserver = {
	setEndpointUp(up: boolean): void;
	loadReported(load: EngineLoad): void;
};

/** Polls the endpoint's health and load until it is disposed. */
export class EndpointWatch implements AsyncDisposable {
	static create(control: EngineControl, observer: EndpointObserver): EndpointWatch {
		const watch = new EndpointWatch(control, observer);
		watch.#done = spawn('endpoint-watch', () => watch.#run());
		return watch;
	}

	#done: Promise<void> = Promise.resolve();
	#closed = false;
	#failures = 0;
	readonly #control: EngineControl;
	readonly #observer: EndpointObserver;

	private constructor(control: EngineControl, observer: EndpointObserver) {
		this.#control = control;
		this.#observer = observer;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#closed = true;
		await this.#control[Symbol.asyncDispose]();
		await this.#done;
	}

	* #run(): Body<void> {
		while (!this.#closed) {
			yield * this.#check();
			yield * sleep(checkIntervalMilliseconds);
		}
	}

	* #check(): Body<void> {
		const healthy = yield * wait(this.#control.isHealthy());
		this.#failures = healthy ? 0 : this.#failures + 1;
		if (healthy) {
			this.#observer.setEndpointUp(true);
		} else if (this.#failures >= failuresUntilDown) {
			this.#observer.setEndpointUp(false);
		}

		const load = healthy ? yield * wait(this.#control.load()) : undefined;
		if (load !== undefined && !this.#closed) {
			this.#observer.loadReported(load);
		}
	}
}
