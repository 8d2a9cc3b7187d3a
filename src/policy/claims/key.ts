import {validate, version} from 'uuid';
import {createFailure, FailureKind, type Failure, type WorkspaceName} from '../../model/index.js';
import {partitionOf} from '../hashing/index.js';

/**
 * How long a key may be used after its creation. Claims are decided from records of the log, so the
 * window must be well within the log's retention; a quarter of an hour covers any caller's retries.
 */
export const keyWindowMilliseconds = 15 * 60_000;
/** How far a caller's clock may be ahead of the log's clock. */
export const keySkewMilliseconds = 60_000;
/** Number of streams over which claims are partitioned. Fixed: a different number would map a key to a different stream. */
export const claimPartitions = 16;

/** A key within its workspace, and the time at which the caller created it, in Unix milliseconds. */
export type ClaimKey = {
	readonly id: string;
	readonly time: number;
	readonly partition: number;
};

/** A valid key, or the failure for an invalid one. */
export type ParsedKey = {readonly type: 'key'; readonly key: ClaimKey} | {readonly type: 'refused'; readonly failure: Failure};

/** Parses an `Idempotency-Key`: a UUIDv7, whose leading bits are its creation time. */
export function parseClaimKey(workspace: WorkspaceName, text: string): ParsedKey {
	const lower = text.toLowerCase();
	if (!validate(lower) || version(lower) !== 7) {
		return {type: 'refused', failure: createFailure(FailureKind.badRequest, 'The Idempotency-Key must be a UUIDv7.')};
	}

	const id = `${workspace}/${lower}`;
	return {type: 'key', key: {id, time: uuidTime(lower), partition: partitionOf(id, claimPartitions)}};
}

function uuidTime(uuid: string): number {
	return Number.parseInt(uuid.slice(0, 8) + uuid.slice(9, 13), 16);
}

/** True if a key of this time may be claimed now. */
export function isInWindow(keyTime: number, now: number): boolean {
	return keyTime <= now + keySkewMilliseconds && keyTime > now - keyWindowMilliseconds;
}

/** The name of the log stream of a partition. */
export function streamOfPartition(partition: number): string {
	return `claims-${partition}`;
}

/** The failure for a key outside its window: no request ran under it, and none will. */
export function createKeyExpiredFailure(): Failure {
	return createFailure(FailureKind.keyExpired, `The Idempotency-Key was made more than ${keyWindowMilliseconds / 60_000} minutes ago or lies in the future.`);
}
