import {type Failure} from '../../model/index.js';

/**
 * Where the request flow puts an answer. It ends in exactly one of `finish` and `fail`; what comes
 * after that is ignored, and so is everything once the caller has left.
 */
export type Answer = {
	/** True once a byte of a good answer may have gone out; a failure can no longer be a status. */
	readonly started: boolean;
	/** Takes events as the engine wrote them, in order. False: the caller is slow, wait for `drained`. */
	write(events: readonly string[]): boolean;
	/** Resolves when the caller has taken what was written, or has left. */
	drained(): Promise<void>;
	/** Ends a whole answer; `usage` is the engine's usage event. */
	finish(usage?: string): void;
	/** Ends a failed answer, so that nobody takes it for a whole one. */
	fail(failure: Failure): void;
};
