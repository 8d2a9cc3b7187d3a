import {z} from 'zod';
import {entrySchema, type Entry} from './entry.js';

/**
 * The revision that an operation was made against: the offset of the change that set the entry. It
 * is left out if the entry must not exist yet.
 */
const revision = z.number().int().nonnegative().optional();

/** Sets an entry, provided that its revision is still the one named. */
const putSchema = z.strictObject({type: z.literal('put'), revision, entry: entrySchema});
/** Takes an entry away, provided that its revision is still the one named. */
const removeSchema = z.strictObject({type: z.literal('remove'), revision, kind: z.enum(['workspace', 'class', 'model', 'service']), name: z.string().min(1).max(129)});
export const operationSchema = z.discriminatedUnion('type', [putSchema, removeSchema]);
export type Operation = z.infer<typeof operationSchema>;

/** How many operations one change may hold, so that a record stays readable in one piece. */
export const maximumOperations = 1000;

/** What an operator publishes. All of its operations come into force together, or none does. */
export const changeSchema = z.strictObject({
	type: z.literal('change'),
	/** Tells this publication from an equal one, so that the publisher finds its own record again. */
	id: z.string().min(1).max(64),
	author: z.string().min(1).max(128),
	/** When the operator sent it, in milliseconds since 1970 by the operator's clock. Information only. */
	time: z.number().nonnegative(),
	note: z.string().max(1024).optional(),
	operations: z.array(operationSchema).min(1).max(maximumOperations),
});
export type Change = z.infer<typeof changeSchema>;

/** The catalogue as it stood after the record at offset `through`, for readers that start later. */
export const snapshotSchema = z.strictObject({
	type: z.literal('snapshot'),
	instance: z.string().min(1).max(128),
	through: z.number().int().nonnegative(),
	/** The offset of the last accepted change, -1 if there was none. */
	changed: z.number().int().min(-1),
	entries: z.array(z.strictObject({revision: z.number().int().nonnegative(), entry: entrySchema})),
});
export type Snapshot = z.infer<typeof snapshotSchema>;

/** Everything that may stand in the catalogue stream; anything else is rejected by the fold. */
export const catalogueRecordSchema = z.discriminatedUnion('type', [changeSchema, snapshotSchema]);

/** The name of the catalogue's stream in the platform's log. */
export const catalogueStream = 'catalogue';

/** The kind and name of the entry that an operation is about. */
export function subjectOf(operation: Operation): {kind: Entry['kind']; name: string} {
	return operation.type === 'put' ? operation.entry : operation;
}
