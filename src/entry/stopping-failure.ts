import {createFailure, type Failure, FailureKind} from '../model/index.js';

/** The failure of a request that a stopping entry does not begin. */
export function createStoppingFailure(): Failure {
	return createFailure(FailureKind.stopping, 'This instance is shutting down.', {retryAfterMilliseconds: 0});
}
