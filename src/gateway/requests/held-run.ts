import {type EndpointSign} from '../../policy/dispatch/index.js';
import {type RequestUsage} from '../duties/index.js';
import {type Dispatcher} from '../placement/index.js';
import {type AttemptState} from './attempt-state.js';

export type HeldRunOptions = {readonly dispatcher: Dispatcher; readonly usage: RequestUsage; readonly runId: string};

/** What a request holds from its placement to the end of its attempt: a place at the endpoint, a connection to it, memory for the answer, and its count. Disposing of it releases what is still held. */
export class HeldRun implements Disposable {
	static create(options: HeldRunOptions): HeldRun {
		return new HeldRun(options);
	}

	/** Set once the request was sent. */
	attempt: AttemptState | undefined;
	readonly #options: HeldRunOptions;
	#isHeld = true;

	private constructor(options: HeldRunOptions) {
		this.#options = options;
	}

	/** Releases all, and tells what the attempt has shown of its endpoint. `hasBegun` is false if the request has certainly not run there. */
	release({hasBegun, sign}: {readonly hasBegun: boolean; readonly sign?: EndpointSign | undefined}): void {
		const {dispatcher, usage, runId} = this.#options;
		this.#isHeld = false;
		dispatcher.recordEnd(runId, sign);
		this.attempt?.attempt.cancel();
		this.attempt?.held[Symbol.dispose]();
		usage.recordEnd(hasBegun);
	}

	[Symbol.dispose](): void {
		if (this.#isHeld) {
			this.release({hasBegun: this.attempt?.attempt.mayHaveReachedEndpoint ?? false});
		}
	}
}
