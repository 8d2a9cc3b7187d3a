import {type ClaimItem, type ClaimKey, type Holder} from '../../policy/claims/index.js';

/** The result of a claim or confirm command. */
export type CommandResult
	/** The holder of the key according to the stream; `undefined` if there is none, since the claim was appended outside the key's window. */
	= | {readonly type: 'read'; readonly holder: Holder | undefined}
	/** The claim is certainly not in the log. */
		| {readonly type: 'not-kept'; readonly reason: string}
	/** It could not be determined in time whether the claim is in the log, or which request holds the key. */
		| {readonly type: 'in-doubt'; readonly reason: string};

/** Commands from the claim manager to a partition. Deadlines are times of the manager's monotonic clock. */
export type Command
	= | {readonly type: 'claim'; readonly item: ClaimItem & {type: 'claim'}; readonly key: ClaimKey; readonly deadline: number; settle(result: CommandResult): void}
		| {readonly type: 'release'; readonly item: ClaimItem & {type: 'release'}; readonly deadline: number; settle(isAppended: boolean): void}
		| {readonly type: 'finish'; readonly item: ClaimItem & {type: 'finish'}; readonly deadline: number}
	/** Reads to the end of the stream and reports the holder of the key. */
		| {readonly type: 'confirm'; readonly key: ClaimKey; readonly deadline: number; settle(result: CommandResult): void};
