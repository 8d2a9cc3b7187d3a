import {type Body, sleep, spawn, wait} from '../concurrency/index.js';
import {type EngineControl, type EngineLoad} from '../endpoint/index.js';

/** A load report is used for memory pressure alone, which moves over seconds. */
const watchMilliseconds = 500;
/** Failed checks in a row before an endpoint counts as down; one alone may be a slow moment. */
const failuresUntilDown = 2;

/** What the watch reports to its side. */
export type EndpointObserver = {
	setEndpointUp(up: boolean): void;
	loadReported(load: EngineLoad): void;
};

/** Asks the endpoint for its health and load, for as long as the side lives. */
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
			yield * sleep(watchMilliseconds);
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
