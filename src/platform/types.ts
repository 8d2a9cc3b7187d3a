/** A record of the platform's log. Offsets rise within a stream and are never used again. */
export type LogRecord = {
	readonly offset: number;
	/** When the log kept it, in milliseconds since 1970 by the log's clock. */
	readonly time: number;
	readonly value: unknown;
};

export type ReadResult
	= | {readonly type: 'records'; readonly records: readonly LogRecord[]; readonly next: number; readonly first: number}
	/** Retention has dropped the offset asked for; `first` is the oldest that is left. */
		| {readonly type: 'gone'; readonly first: number; readonly next: number};

/**
 * The outcome of an append. `unknown` means that the answer was lost: the record may be in the log,
 * and only reading tells.
 */
export type AppendResult
	= | {readonly type: 'appended'; readonly offset: number}
		| {readonly type: 'refused'; readonly reason: string}
		| {readonly type: 'unknown'; readonly reason: string};

/** The platform's append-only log. Reads throw `PlatformError` while it can't be reached. */
export type LogClient = {
	append(stream: string, value: unknown): Promise<AppendResult>;
	/** Waits up to `waitMilliseconds` for a record if there is none yet. */
	read(stream: string, from: number, options?: {limit?: number; waitMilliseconds?: number; signal?: AbortSignal}): Promise<ReadResult>;
};

/** One line of the platform's membership list, which lags and may be wrong. */
export type Member = {
	readonly instance: string;
	readonly role: 'entry' | 'side';
	/** IP number and port for our own protocol. */
	readonly address: string;
	/** IP number and port of its admin port, for operators. */
	readonly admin?: string;
	readonly zone: string;
	readonly state: 'live' | 'leaving';
	/** For a side: the endpoint it stands beside, and what that serves. */
	readonly endpoint?: string;
	readonly targets?: readonly string[];
};

export type MembershipClient = {
	/** The list as the platform sees it. Throws `PlatformError` while it can't be reached. */
	list(signal?: AbortSignal): Promise<readonly Member[]>;
};

export type WeightStoreClient = {
	/** Asks to have a version loaded beside this endpoint; the store paces. */
	fetch(model: string, version: string, signal?: AbortSignal): Promise<{readonly bytes: number}>;
};
