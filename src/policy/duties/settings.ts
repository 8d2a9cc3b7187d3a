/** What the operator's settings say about the duties of one instance. */
export type DutySettings = {
	/** How long a holder may act after it has last written to the log, and how long others wait for it. */
	readonly leaseMilliseconds: number;
	/** True if the receiver refuses a call with an outdated fencing token. A holder keeps to its lease in either case, so no decision depends on it. */
	readonly checksFences: boolean;
	/** Length of a usage window; window `n` begins `n` lengths after the start of 1970. */
	readonly windowMilliseconds: number;
	/** A window's usage is due this long after the window's end. */
	readonly lateMilliseconds: number;
};

/** The instance that takes part in the choice of a holder. */
export type Candidate = {
	readonly instance: string;
	/** Changes with every start of the process. */
	readonly incarnation: string;
	/** Where the other instances connect to tell their usage. */
	readonly address: string;
	/** Added to the wait before a claim, so that few candidates claim at the same time and capable ones first. */
	readonly claimDelayMilliseconds: number;
};

/** Current readings of the clocks that the duties depend on, in milliseconds. */
export type DutyClock = {
	/** Never runs faster than real time, and stands still while the machine is suspended. A wait for another instance uses it. */
	readonly steady: number;
	/** Never runs slower than real time. A holder's own lease uses it. */
	readonly lease: number;
	/** Estimate of Unix time. */
	readonly time: number;
};
