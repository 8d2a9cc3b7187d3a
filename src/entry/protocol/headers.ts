/** The header names of the caller protocol, as they are documented. Node compares them in lower case. */
export const HeaderName = {
	className: 'Cassiaflow-Class',
	requestId: 'Cassiaflow-Request-Id',
	verdict: 'Cassiaflow-Verdict',
	idempotencyKey: 'Idempotency-Key',
	retryAfter: 'Retry-After',
} as const;
