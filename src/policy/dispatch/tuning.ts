/** Weights of placement that a measurement may change; costs are milliseconds of a caller's waiting. */
export type Tuning = {
	/** Whether engines take kept beginnings from each other. */
	readonly fetches: boolean;
	/** What fetching a token costs against reading it, beside the time it takes. */
	readonly fetchShare: number;
	/** Whether the busy weight of reading counts for fetched tokens too. */
	readonly fetchIsWeighted: boolean;
	/** Whether longer backlogs are allowed the more urgent a request is; else all may send at the longest. */
	readonly ordersBacklogs: boolean;
	/** What one more stream costs whose pause a reading breaks. */
	readonly brokenStreamMilliseconds: number;
	/** A reading breaks a pause if it takes more than this part of it. */
	readonly brokenPauseShare: number;
	/** What an engine that is left to tight streams costs others, where the reading is long. */
	readonly roomMilliseconds: number;
	/** Tight streams in an engine's slots before room for them takes another. */
	readonly tightFill: number;
	/** What an engine outside the room of tight streams costs one of them. */
	readonly outsideMilliseconds: number;
};

export const defaultTuning: Tuning = {
	fetches: true,
	fetchShare: 0.2,
	fetchIsWeighted: false,
	ordersBacklogs: true,
	brokenStreamMilliseconds: 0,
	brokenPauseShare: 0.8,
	roomMilliseconds: 1000,
	tightFill: 0.75,
	outsideMilliseconds: 60,
};
