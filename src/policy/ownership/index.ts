/**
 * Load pattern: a side is paused, its instance is replaced, and both believe that they own the
 * endpoint. Without this fold the old one wakes and loads the version of yesterday.
 *
 * A side owns its endpoint from the record by which it says so, until a later side's record. The
 * record's offset is the fencing number of its orders: engines that check it refuse an older one.
 * For those that don't, a new owner waits until no order of an older one can still be sent, which is
 * one lease after its record, and an owner sends only within a lease of having read that it is one.
 */
import {z} from 'zod';

export const ownershipRecordSchema = z.object({type: z.literal('owner'), endpoint: z.string().min(1).max(256), instance: z.string().min(1).max(256)});
export type OwnershipRecord = z.infer<typeof ownershipRecordSchema>;

/** The last owner that the endpoint's stream names, and its fencing number. */
export type Ownership = {readonly nextOffset: number; readonly owner?: {readonly instance: string; readonly fence: number}};

/** How long a reading of the stream counts. An engine takes an order within a fraction of it. */
export const ownershipLeaseMilliseconds = 3000;

export function createOwnership(): Ownership {
	return {nextOffset: 0};
}

/** Applies records in log order; repeats of an owner's record raise its fence, which is harmless. */
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
export type OrderStep
	= | {readonly type: 'send'; readonly fence: number}
	/** What is known is older than the lease: read the stream first. */
		| {readonly type: 'read'}
	/** An older owner may still be sending. */
		| {readonly type: 'wait'; readonly milliseconds: number}
	/** A later side owns the endpoint, or this one's record has left the log: no order, ever again. */
		| {readonly type: 'superseded'};

/** Times are of a clock that goes on while the process is paused. */
export type OrderQuestion = {
	readonly instance: string;
	/** When this side's own record was certainly in the log. */
	readonly ownedAt: number;
	/** When the last reading of the stream began, if there was one since the order was asked for. */
	readonly readAt: number | undefined;
	readonly endpointChecksFences: boolean;
};

export function decideOrder(state: Ownership, question: OrderQuestion, now: number): OrderStep {
	if (question.readAt === undefined || now - question.readAt > ownershipLeaseMilliseconds / 2) {
		return {type: 'read'};
	}

	if (state.owner?.instance !== question.instance) {
		return {type: 'superseded'};
	}

	const quietAt = question.ownedAt + ownershipLeaseMilliseconds;
	if (!question.endpointChecksFences && now < quietAt) {
		return {type: 'wait', milliseconds: quietAt - now};
	}

	return {type: 'send', fence: state.owner.fence};
}
