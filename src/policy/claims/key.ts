import {validate, version} from 'uuid';
import {createFailure, FailureKind, type Failure, type WorkspaceName} from '../../model/index.js';
import {partitionOf} from '../hashing/index.js';

/**
 * How long a key may be used after it was made. Claims are judged from records of the log, so the
 * window must be well inside the log's retention: a quarter hour covers any caller's retries.
 */
export const keyWindowMilliseconds = 15 * 60_000;
/** How far a caller's clock may be ahead of the log's. */
export const keySkewMilliseconds = 60_000;
/** Streams that the claims are spread over. Fixed: another count would send a key to another stream. */
export const claimPartitions = 16;

/** A key within its workspace, and when the caller made it. */
export type ClaimKey = {
	readonly id: string;
	readonly time: number;
	readonly partition: number;
};

export type ParsedKey = {readonly type: 'key'; readonly key: ClaimKey} | {readonly type: 'refused'; readonly failure: Failure};

/** Reads an `Idempotency-Key`: a UUIDv7, whose leading bits are its time. */
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

/** True if a key of this time may be claimed at this moment. */
export function isInWindow(keyTime: number, now: number): boolean {
	return keyTime <= now + keySkewMilliseconds && keyTime > now - keyWindowMilliseconds;
}

export function streamOfPartition(partition: number): string {
	return `claims-${partition}`;
}

/** The refusal of a key outside its window: nothing ran, and nothing will. */
export function createKeyExpiredFailure(): Failure {
	return createFailure(FailureKind.keyExpired, `The Idempotency-Key was made more than ${keyWindowMilliseconds / 60_000} minutes ago or lies in the future.`);
}
