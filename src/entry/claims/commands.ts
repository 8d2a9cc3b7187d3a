import {type ClaimItem, type ClaimKey, type Holder} from '../../policy/claims/index.js';

/** What became of a claim in its partition's stream. */
export type Settlement
	/** The stream says who holds the key; `undefined` is nobody, since the claim came outside the key's window. */
	= | {readonly type: 'read'; readonly holder: Holder | undefined}
	/** Certainly not in the log. */
		| {readonly type: 'not-kept'; readonly reason: string}
	/** Nobody knows in time whether it is in the log, or whose the key is. */
		| {readonly type: 'in-doubt'; readonly reason: string};

/** What the keeper asks of a partition. Deadlines are times of the keeper's clock. */
export type Command
	= | {readonly type: 'claim'; readonly item: ClaimItem & {type: 'claim'}; readonly key: ClaimKey; readonly deadline: number; settle(settlement: Settlement): void}
		| {readonly type: 'release'; readonly item: ClaimItem & {type: 'release'}; readonly deadline: number; settle(kept: boolean): void}
		| {readonly type: 'finish'; readonly item: ClaimItem & {type: 'finish'}; readonly deadline: number}
	/** Reads to the end of the stream and says who holds the key. */
		| {readonly type: 'confirm'; readonly key: ClaimKey; readonly deadline: number; settle(settlement: Settlement): void};
