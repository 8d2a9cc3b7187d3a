/** A record of the platform's log. Offsets increase within a stream and are never reused. */
export type LogRecord = {
	readonly offset: number;
	/** When the log stored it, in milliseconds since 1970 by the log's clock. */
	readonly time: number;
	readonly value: unknown;
};

/** The result of a read. `first` is the oldest retained offset, `next` the one after the newest record of the stream. */
export type ReadResult
	= | {readonly type: 'records'; readonly records: readonly LogRecord[]; readonly next: number; readonly first: number}
	/** Retention has dropped the requested offset; `first` is the oldest retained one. */
		| {readonly type: 'gone'; readonly first: number; readonly next: number};

/**
 * The outcome of an append. `unknown` means that the response was lost: the record may be in the log,
 * and only a read shows whether it is.
 */
export type AppendResult
	= | {readonly type: 'appended'; readonly offset: number}
		| {readonly type: 'refused'; readonly reason: string}
		| {readonly type: 'unknown'; readonly reason: string};

/** The platform's append-only log. Reads throw `PlatformError` while it is unavailable. */
export type LogClient = {
	append(stream: string, value: unknown): Promise<AppendResult>;
	/** Waits up to `waitMilliseconds` for a record if there is none yet. */
	read(stream: string, from: number, options?: {limit?: number; waitMilliseconds?: number; signal?: AbortSignal}): Promise<ReadResult>;
};

/** A member of the platform's membership list, which may be out of date or wrong. */
export type Member = {
	readonly instance: string;
	readonly role: 'entry' | 'side';
	/** IP address and port for the protocol between entries and sides. */
	readonly address: string;
	/** IP address and port of the admin server, for operators. */
	readonly admin?: string;
	readonly zone: string;
	readonly state: 'live' | 'leaving';
	/** For a side (the sidecar process of one endpoint): that endpoint. */
	readonly endpoint?: string;
	/** For a side: the models or services that its endpoint serves. */
	readonly targets?: readonly string[];
};

export type MembershipClient = {
	/** The current list of the platform. Throws `PlatformError` while it is unavailable. */
	list(signal?: AbortSignal): Promise<readonly Member[]>;
};

export type WeightStoreClient = {
	/** Requests that a version be loaded at this endpoint. The store limits the rate of fetches. */
	fetch(model: string, version: string, signal?: AbortSignal): Promise<{readonly bytes: number}>;
};
