import {type LogPosition} from '../../model/index.js';
import {type DutyEntry, type DutySnapshot, type ReportOutcome, type UsageCounts} from '../../policy/duties/index.js';
import {type ScaleOrder} from '../../policy/scaling/index.js';

/** Result of an append that names where the log must end. */
export type AppendResult
	= | {readonly type: 'appended'}
	/** The log ends elsewhere, or the store was restored from a backup meanwhile. */
		| {readonly type: 'conflict'};

/** The topic of the platform's store in which the duties are agreed upon. Methods throw if there is no usable response. */
export type DutyStore = {
	read(): Promise<DutySnapshot>;
	/** Appends all entries or none. After an error it is unknown whether they were, or will be, appended. */
	append(at: LogPosition, entries: readonly DutyEntry[]): Promise<AppendResult>;
};

/** Who calls, with which fencing token. */
export type DutyCaller = {readonly instance: string; readonly token: number};

export type DutyCallResult = {readonly outcome: ReportOutcome; readonly status: number; readonly reason?: string};

/** The platform's receiver of usage reports and of orders of endpoints. */
export type DutyReceiver = AsyncDisposable & {
	/** Reports a window's counts. Does not throw; `status` is 0 without a response. */
	reportUsage(caller: DutyCaller, window: number, counts: UsageCounts): Promise<DutyCallResult>;
	/** Orders the number of endpoints of a service in a zone. Does not throw. */
	orderEndpoints(caller: DutyCaller, order: ScaleOrder): Promise<DutyCallResult>;
};
