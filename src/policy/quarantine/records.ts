import {z} from 'zod';

const id = z.string().min(1).max(256);
const time = z.number();

/** An endpoint died while these ran. `crash` is unique, so that repeats fold into one. Times are the writer's, in milliseconds since 1970. */
const crashed = z.object({type: z.literal('crashed'), crash: id, endpoint: id, fingerprints: z.array(id).max(1024), time});
/** A suspect ran to its end after the crashes that it was suspected of. */
const cleared = z.object({type: z.literal('cleared'), fingerprint: id, crashes: z.array(id).max(1024), time});
/** An operator lets a fingerprint go; only crashes known to the operator are named. */
const released = z.object({type: z.literal('released'), fingerprint: id, crashes: z.array(id).max(1024), operator: id, time});

/** What travels by frame and stands in the log. */
export const quarantineRecordSchema = z.discriminatedUnion('type', [crashed, cleared, released]);
export type QuarantineRecord = z.infer<typeof quarantineRecordSchema>;
export type CrashRecord = z.infer<typeof crashed>;
export type ClearedRecord = z.infer<typeof cleared>;
export type ReleasedRecord = z.infer<typeof released>;
