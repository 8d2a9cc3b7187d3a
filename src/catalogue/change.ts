import {z} from 'zod';
import {entrySchema, type Entry} from './entry.js';

/**
 * The revision that an operation was made against: the offset of the change that last set the entry.
 * Undefined if the entry must not exist yet.
 */
const revision = z.number().int().nonnegative().optional();

/** Sets an entry if its current revision equals `revision`. */
const putSchema = z.strictObject({type: z.literal('put'), revision, entry: entrySchema});
/** Removes an entry if its current revision equals `revision`. */
const removeSchema = z.strictObject({type: z.literal('remove'), revision, kind: z.enum(['workspace', 'class', 'model', 'service']), name: z.string().min(1).max(129)});
export const operationSchema = z.discriminatedUnion('type', [putSchema, removeSchema]);
export type Operation = z.infer<typeof operationSchema>;

/** Largest number of operations of a change. It bounds the size of a record, which is read in one piece. */
export const maximumOperations = 1000;

/** A change that an operator publishes. Its operations are applied atomically. */
export const changeSchema = z.strictObject({
	type: z.literal('change'),
	/** Unique id of this publication, by which the publisher finds its own record among equal ones. */
	id: z.string().min(1).max(64),
	author: z.string().min(1).max(128),
	/** When the operator sent it, in milliseconds since 1970 by the operator's clock. Informational. */
	time: z.number().nonnegative(),
	note: z.string().max(1024).optional(),
	operations: z.array(operationSchema).min(1).max(maximumOperations),
});
export type Change = z.infer<typeof changeSchema>;

/** The catalogue after the record at offset `through`, for readers that start later. */
export const snapshotSchema = z.strictObject({
	type: z.literal('snapshot'),
	instance: z.string().min(1).max(128),
	through: z.number().int().nonnegative(),
	/** The offset of the last accepted change, -1 if there was none. */
	changed: z.number().int().min(-1),
	entries: z.array(z.strictObject({revision: z.number().int().nonnegative(), entry: entrySchema})),
});
export type Snapshot = z.infer<typeof snapshotSchema>;

/** The valid records of the catalogue stream; the fold rejects all others. */
export const catalogueRecordSchema = z.discriminatedUnion('type', [changeSchema, snapshotSchema]);

/** The name of the catalogue's stream in the platform's log. */
export const catalogueStream = 'catalogue';

/** The kind and name of the entry that an operation sets or removes. */
export function subjectOf(operation: Operation): {kind: Entry['kind']; name: string} {
	return operation.type === 'put' ? operation.entry : operation;
}
