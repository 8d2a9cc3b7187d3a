/** Weights of placement; costs are milliseconds of a caller's waiting. Each mechanism can be left out by one of them. */
export type Tuning = {
	/** Whether engines take kept beginnings from each other. */
	readonly fetches: boolean;
	/** What fetching a token costs against reading it, beside the time it takes. */
	readonly fetchShare: number;
	/** Whether longer backlogs are allowed the more urgent a request is; else all may send at the longest. */
	readonly ordersBacklogs: boolean;
	/** Whether the less urgent hold back for what waits at other instances. */
	readonly heedsLines: boolean;
	/** What an engine that is left to tight streams costs others, where the reading is long. */
	readonly roomMilliseconds: number;
	/** The part of an engine's slots that tight streams fill before room for them takes another. */
	readonly tightFill: number;
	/** What an engine outside the room of tight streams costs one of them. */
	readonly outsideMilliseconds: number;
};

/** A second of cost outweighs all but a service at full load; sixty milliseconds outweigh a usual backlog. */
export const defaultTuning: Tuning = {
	fetches: true,
	fetchShare: 0.5,
	ordersBacklogs: true,
	heedsLines: true,
	roomMilliseconds: 1000,
	tightFill: 0.75,
	outsideMilliseconds: 60,
};
