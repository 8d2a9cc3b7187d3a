/** It takes this many requests a second from all instances together, for as long as its responses say so. */
export type RateLimitStatement = {readonly type: 'rate-limit'; readonly requestsPerSecond: number};

/** It shuts down and takes no new requests; final for its incarnation. */
export type LeavingStatement = {readonly type: 'leaving'};

/** It refuses a request of this instance and wants no other one from it for this time. */
export type BackoffStatement = {readonly type: 'backoff'; readonly milliseconds: number};

/** What an endpoint states about itself in a response. */
export type EndpointStatement = RateLimitStatement | LeavingStatement | BackoffStatement;

/** What one response says about the endpoint that sent it. */
export type ResponseStatements = {
	readonly statements: readonly EndpointStatement[];
	/** Statements that could not be decoded, as received. */
	readonly malformed: readonly string[];
};

export const noStatements: ResponseStatements = {statements: [], malformed: []};
