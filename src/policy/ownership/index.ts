/**
 * Ownership of an endpoint with fencing. If a side (the sidecar process of one endpoint) is paused
 * and its instance is replaced, both the old and the new side consider themselves the owner. Without this
 * module the old one resumes and loads an outdated version.
 *
 * A side owns its endpoint from the offset of its own record in the log until a later side's record. The
 * record's offset is the fencing number of its orders: engines that check it refuse a lower one. For
 * engines that don't, a new owner waits until an older owner can't send orders any more, which is one lease
 * after its own record, and an owner sends orders only within a lease of having read that it is the owner.
 */
import {z} from 'zod';

export const ownershipRecordSchema = z.object({type: z.literal('owner'), endpoint: z.string().min(1).max(256), instance: z.string().min(1).max(256)});
export type OwnershipRecord = z.infer<typeof ownershipRecordSchema>;

/** The last owner in the endpoint's stream and its fencing number; `nextOffset` is the offset to read from. */
export type Ownership = {readonly nextOffset: number; readonly owner?: {readonly instance: string; readonly fence: number}};

/** How long a read of the stream stays valid. An engine accepts an order within a fraction of this time. */
export const ownershipLeaseMilliseconds = 3000;

export function createOwnership(): Ownership {
	return {nextOffset: 0};
}

/** Applies records in log order. A repeated record of the owner raises its fencing number, which is harmless. */
export function foldOwnership(state: Ownership, records: ReadonlyArray<{readonly offset: number; readonly value: unknown}>): Ownership {
	let current = state;
	for (const {offset, value} of records) {
		if (offset < current.nextOffset) {
			continue;
		}

		const parsed = ownershipRecordSchema.safeParse(value);
		const owner = parsed.success ? {instance: parsed.data.instance, fence: offset} : current.owner;
		current = {nextOffset: offset + 1, ...(owner && {owner})};
	}

	return current;
}

/** What an owner must do before its next order. */
export type OrderDecision
	= | {readonly type: 'send'; readonly fence: number}
	/** The last read is too old: read the stream first. */
		| {readonly type: 'read'}
	/** An older owner may still be sending orders. */
		| {readonly type: 'wait'; readonly milliseconds: number}
	/** A later side owns the endpoint, or this side's record has left the log: it must not send orders any more. */
		| {readonly type: 'superseded'};

/** Input of `decideOrder`. Times are in milliseconds of a clock that continues while the process is paused. */
export type OrderQuery = {
	readonly instance: string;
	/** When this side's own record was known to be in the log. */
	readonly ownedAt: number;
	/** When the last read of the stream began, if there was one since the order was requested. */
	readonly readAt: number | undefined;
	readonly endpointChecksFences: boolean;
};

export function decideOrder(state: Ownership, query: OrderQuery, now: number): OrderDecision {
	if (query.readAt === undefined || now - query.readAt > ownershipLeaseMilliseconds / 2) {
		return {type: 'read'};
	}

	if (state.owner?.instance !== query.instance) {
		return {type: 'superseded'};
	}

	const exclusiveAt = query.ownedAt + ownershipLeaseMilliseconds;
	if (!query.endpointChecksFences && now < exclusiveAt) {
		return {type: 'wait', milliseconds: exclusiveAt - now};
	}

	return {type: 'send', fence: state.owner.fence};
}
