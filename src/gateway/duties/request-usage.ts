import {type OpenRun, type UsageCounter} from './usage-counter.js';

/**
 * Counts one request, however often it is sent: a stream with its first event, any other request when it was sent to the endpoint
 * that first ran it.
 */
export class RequestUsage {
	/** Without a counter or a workspace nothing is counted. */
	static create(counter: UsageCounter | undefined, workspace: string | undefined): RequestUsage {
		return new RequestUsage(counter, workspace);
	}

	readonly #counter: UsageCounter | undefined;
	readonly #workspace: string | undefined;
	#isCounted = false;
	#open: OpenRun | undefined;

	private constructor(counter: UsageCounter | undefined, workspace: string | undefined) {
		this.#counter = counter;
		this.#workspace = workspace;
	}

	/** The request is sent to an endpoint. The start of a stream is seen by its first event. */
	recordSent(isStream: boolean): void {
		if (!this.#isCounted && !isStream && this.#workspace !== undefined) {
			this.#open = this.#counter?.open(this.#workspace);
		}
	}

	recordFirstEvent(): void {
		if (!this.#isCounted && this.#workspace !== undefined) {
			this.#isCounted = true;
			this.#counter?.count(this.#workspace);
		}
	}

	/** The attempt has ended; `hasBegun` is false if the endpoint certainly didn't run the request. */
	recordEnd(hasBegun: boolean): void {
		this.#open?.end(hasBegun);
		this.#isCounted ||= this.#open !== undefined && hasBegun;
		this.#open = undefined;
	}
}
