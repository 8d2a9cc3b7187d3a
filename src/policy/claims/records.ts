import {z} from 'zod';

const id = z.string().min(1).max(256);
const keyed = {key: id, keyTime: z.number(), claim: id};

/** A request wants to run under this key. */
const claimItem = z.object({type: z.literal('claim'), ...keyed, request: id, fingerprint: id});
/** The claimant is certain that the request did not run under this claim and never will. */
const releaseItem = z.object({type: z.literal('release'), ...keyed});
/** The claim's request was completed; the side (sidecar process) of this endpoint caches the response for some time. */
const finishItem = z.object({type: z.literal('finish'), ...keyed, endpoint: id.optional()});

/** One statement of a claimant about a key. */
export const claimItemSchema = z.discriminatedUnion('type', [claimItem, releaseItem, finishItem]);
export type ClaimItem = z.infer<typeof claimItemSchema>;

/** The content of one append: many items of one instance, so that a few hundred appends a second serve many more requests. */
export const claimBatchSchema = z.object({batch: id, instance: id, items: z.array(claimItemSchema).max(1024)});
export type ClaimBatch = z.infer<typeof claimBatchSchema>;
