import {type Failure} from '../../model/index.js';

/**
 * Writes a model's response to the caller. It is ended by exactly one of `finish` and `fail`; later calls are
 * ignored, and so are all calls after the caller has left.
 */
export type ResponseWriter = {
	/** True once a byte of a successful response may have been sent; a failure can then no longer be reported by the status. */
	readonly hasStarted: boolean;
	/** Writes events as the engine sent them, in order. False if the caller reads slowly: wait for `drained`. */
	write(events: readonly string[]): boolean;
	/** Resolves when the caller has read what was written, or has left. */
	drained(): Promise<void>;
	/** Ends a complete response; `usage` is the engine's usage event. */
	finish(usage?: string): void;
	/** Ends a failed response in a way that a client cannot mistake for a complete one. */
	fail(failure: Failure): void;
};
