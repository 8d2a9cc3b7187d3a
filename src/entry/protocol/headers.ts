/** The header names of the caller protocol, as documented. Node reports request headers in lower case. */
export const HeaderName = {
	className: 'Cassiaflow-Class',
	requestId: 'Cassiaflow-Request-Id',
	verdict: 'Cassiaflow-Verdict',
	idempotencyKey: 'Idempotency-Key',
	retryAfter: 'Retry-After',
} as const;
