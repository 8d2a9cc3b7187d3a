/**
 * Requests and retries of one service at one instance within a sliding window. Load pattern: an outage of seconds, in which retries are
 * decided one by one and wait until an endpoint is free, and are then sent together. What the endpoints receive within a window is bounded,
 * so a retry counts as reserved from the decision on, and from the time of sending for a whole window.
 *
 * The window slides by one bucket. A retry counts for up to a bucket longer than the window and a request for up to a bucket
 * less, so that any window of this length, wherever it begins, has no more retries and no fewer requests than were counted.
 */

/** Number of buckets in a window. */
const bucketCount = 10;

type Bucket = {readonly index: number; readonly requests: number; readonly retries: number};

export type RetryWindow = {
	readonly buckets: readonly Bucket[];
	/** Retries that have been decided and not been sent yet. */
	readonly reserved: number;
};

export type RetryWindowEvent
	= | {readonly type: 'request'}
		| {readonly type: 'reserve'}
	/** A reserved retry is sent. */
		| {readonly type: 'send'}
	/** A reserved retry is not sent after all. */
		| {readonly type: 'release'};

/** What counts at a time; `retries` includes the reserved ones. */
export type RetryCounts = {readonly requests: number; readonly retries: number};

export const emptyRetryWindow: RetryWindow = {buckets: [], reserved: 0};

export function stepRetryWindow(state: RetryWindow, {type}: RetryWindowEvent, {now, windowMilliseconds}: {now: number; windowMilliseconds: number}): RetryWindow {
	const index = indexOf(now, windowMilliseconds);
	switch (type) {
		case 'request': {
			return {...state, buckets: addTo(state.buckets, {index, requests: 1, retries: 0})};
		}

		case 'reserve': {
			return {...state, reserved: state.reserved + 1};
		}

		case 'send': {
			return {buckets: addTo(state.buckets, {index, requests: 0, retries: 1}), reserved: Math.max(0, state.reserved - 1)};
		}

		case 'release': {
			return {...state, reserved: Math.max(0, state.reserved - 1)};
		}
	}
}

export function countRetryWindow({buckets, reserved}: RetryWindow, now: number, windowMilliseconds: number): RetryCounts {
	const index = indexOf(now, windowMilliseconds);
	let requests = 0;
	let retries = reserved;
	for (const bucket of buckets) {
		requests += bucket.index > index - bucketCount ? bucket.requests : 0;
		retries += bucket.index >= index - bucketCount ? bucket.retries : 0;
	}

	return {requests, retries};
}

function indexOf(now: number, windowMilliseconds: number): number {
	return Math.floor(now / (windowMilliseconds / bucketCount));
}

/** The buckets that may still count, with one more request or retry. */
function addTo(buckets: readonly Bucket[], added: Bucket): readonly Bucket[] {
	const recent = buckets.filter(({index}) => index >= added.index - bucketCount);
	const last = recent.at(-1);
	return last?.index === added.index
		? [...recent.slice(0, -1), {index: added.index, requests: last.requests + added.requests, retries: last.retries + added.retries}]
		: [...recent, added];
}
