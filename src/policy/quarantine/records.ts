import {z} from 'zod';

const id = z.string().min(1).max(256);
const time = z.number();
/** Limit of the fingerprints, or crashes, that one record names. */
export const maxNamed = 1024;

/** An endpoint crashed while these were there: requests, and parts of their prompts. `crash` is a unique id, so that repeated records count once. Times are Unix milliseconds of the writer's clock. */
const crashed = z.object({type: z.literal('crashed'), crash: id, endpoint: id, fingerprints: z.array(id).max(maxNamed), time});
/** A suspect request ran to completion after the crashes that it was suspected of. */
const cleared = z.object({type: z.literal('cleared'), fingerprint: id, crashes: z.array(id).max(maxNamed), time});
/** An operator releases a fingerprint; the record names only the crashes known to the operator. */
const released = z.object({type: z.literal('released'), fingerprint: id, crashes: z.array(id).max(maxNamed), operator: id, time});

/** A record as it is sent in frames and stored in the log. */
export const quarantineRecordSchema = z.discriminatedUnion('type', [crashed, cleared, released]);
export type QuarantineRecord = z.infer<typeof quarantineRecordSchema>;
export type CrashRecord = z.infer<typeof crashed>;
export type ClearedRecord = z.infer<typeof cleared>;
export type ReleasedRecord = z.infer<typeof released>;
