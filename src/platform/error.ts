/** Why a call to the platform failed, and whether it may have taken effect there. */
export type PlatformFailure
	/** No connection was established: the call did not take effect. */
	= | {readonly type: 'unreachable'; readonly reason: string}
	/** The call was sent, but no complete response arrived: it may have taken effect. */
		| {readonly type: 'lost'; readonly reason: string}
	/** An error status: with 4xx the call did not take effect, with any other it may have. */
		| {readonly type: 'status'; readonly status: number; readonly reason: string; readonly retryAfterMilliseconds?: number}
	/** The response violates the published protocol. */
		| {readonly type: 'malformed'; readonly reason: string};

/** Thrown when a call to the platform fails. */
export class PlatformError extends Error {
	static create(failure: PlatformFailure): PlatformError {
		return new PlatformError(failure);
	}

	readonly failure: PlatformFailure;

	private constructor(failure: PlatformFailure) {
		super(`Platform: ${failure.type === 'status' ? `status ${failure.status}, ` : ''}${failure.reason}`);
		this.name = 'PlatformError';
		this.failure = failure;
	}
}
