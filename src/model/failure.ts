import {Verdict} from './verdict.js';

/**
 * The failure of a request, discriminated by `kind`. `message` is meant for the caller and
 * contains no prompt and no key. `retryAfterMilliseconds` is present if a later retry may succeed.
 */
export type Failure = {
	readonly kind: FailureKind;
	readonly verdict: Verdict;
	readonly message: string;
	readonly retryAfterMilliseconds?: number;
};

/** The kinds of failure. The string is the `code` of the error that the caller receives. */
export const FailureKind = {
	badRequest: 'bad_request',
	unauthorized: 'invalid_api_key',
	unknownModel: 'model_not_found',
	unknownClass: 'class_not_found',
	unknownPath: 'unknown_path',
	wrongMethod: 'method_not_allowed',
	tooLarge: 'request_too_large',
	limited: 'limit_exceeded',
	queueFull: 'queue_full',
	queueTimeout: 'queue_timeout',
	noEndpoint: 'no_endpoint',
	notReady: 'not_ready',
	stopping: 'stopping',
	endpointFailed: 'endpoint_failed',
	endpointLost: 'endpoint_lost',
	badAnswer: 'bad_answer',
	quarantined: 'quarantined',
	claimUnavailable: 'claim_unavailable',
	keyExpired: 'idempotency_key_expired',
	keyInUse: 'idempotency_key_in_use',
	preempted: 'preempted',
	cancelled: 'cancelled',
	internal: 'internal_error',
} as const;
export type FailureKind = (typeof FailureKind)[keyof typeof FailureKind];

/** The HTTP status of each kind of failure. */
export const statusOfFailure: Readonly<Record<FailureKind, number>> = {
	[FailureKind.badRequest]: 400,
	[FailureKind.unauthorized]: 401,
	[FailureKind.unknownModel]: 404,
	[FailureKind.unknownClass]: 400,
	[FailureKind.unknownPath]: 404,
	[FailureKind.wrongMethod]: 405,
	[FailureKind.tooLarge]: 413,
	[FailureKind.limited]: 429,
	[FailureKind.queueFull]: 429,
	[FailureKind.queueTimeout]: 503,
	[FailureKind.noEndpoint]: 503,
	[FailureKind.notReady]: 503,
	[FailureKind.stopping]: 503,
	[FailureKind.endpointFailed]: 502,
	[FailureKind.endpointLost]: 502,
	[FailureKind.badAnswer]: 502,
	[FailureKind.quarantined]: 422,
	[FailureKind.claimUnavailable]: 503,
	[FailureKind.keyExpired]: 400,
	[FailureKind.keyInUse]: 409,
	[FailureKind.preempted]: 503,
	[FailureKind.cancelled]: 499,
	[FailureKind.internal]: 500,
};

/** Creates a failure; the default verdict is that the request did not run. */
export function createFailure(kind: FailureKind, message: string, more: {verdict?: Verdict; retryAfterMilliseconds?: number} = {}): Failure {
	return {kind, message, verdict: Verdict.notRun, ...more};
}

/** A `Failure` as an error, for code that reports failures by throwing. */
export class RequestError extends Error {
	static create(failure: Failure): RequestError {
		return new RequestError(failure);
	}

	readonly failure: Failure;

	private constructor(failure: Failure) {
		super(failure.message);
		this.name = 'RequestError';
		this.failure = failure;
	}
}
