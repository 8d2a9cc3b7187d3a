import {z} from 'zod';
import {entrySchema} from './entry.js';

const revision = z.union([z.number().int().nonnegative(), z.literal('new')]).optional()
	.describe('The revision that this was made against, as `show` prints it; new: the entry must be new. Left out: the one in force when the file is published.');

/**
 * A file that an operator publishes. It lists only changes: an entry that is not listed stays unchanged,
 * because other operators have their own files.
 */
export const catalogueFileSchema = z.strictObject({
	note: z.string().max(1024).optional().describe('Why the change is made; kept in the audit trail.'),
	entries: z.array(z.discriminatedUnion('kind', [
		entrySchema.options[0].extend({revision}),
		entrySchema.options[1].extend({revision}),
		entrySchema.options[2].extend({revision}),
		entrySchema.options[3].extend({revision}),
	])).default([]).describe('Entries to set.'),
	remove: z.array(z.strictObject({kind: z.enum(['workspace', 'class', 'model', 'service']), name: z.string(), revision}))
		.default([]).describe('Entries to take away.'),
});
export type CatalogueFile = z.infer<typeof catalogueFileSchema>;

/** The JSON schema of catalogue files, for editors and for `schema/catalogue.schema.json`. */
export function catalogueJsonSchema(): unknown {
	return {title: 'cassiaflow catalogue file', ...z.toJSONSchema(catalogueFileSchema, {io: 'input'})};
}
