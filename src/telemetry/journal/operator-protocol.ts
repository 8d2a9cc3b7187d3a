import {z} from 'zod';

/** One decision, as an instance's admin port sends it to the operator's command in JSON. */
const decisionSchema = z.object({
	time: z.number(), request: z.string(), code: z.string(), detail: z.record(z.string(), z.union([z.string(), z.number(), z.boolean()])),
});

/** `GET /explain/REQUEST-ID`. */
export const explainAnswerSchema = z.object({
	instance: z.string(), role: z.enum(['entry', 'side']), decisions: z.array(decisionSchema),
});
export type ExplainAnswer = z.infer<typeof explainAnswerSchema>;

/** `GET /status`. Fields that do not apply to a role are omitted. */
export const statusAnswerSchema = z.object({
	instance: z.string(),
	role: z.enum(['entry', 'side']),
	zone: z.string(),
	phase: z.enum(['starting', 'serving', 'leaving', 'down']),
	catalogueOffset: z.number(),
	/** Requests in progress at an entry; requests that the endpoint is running at a side. */
	running: z.number(),
	/** Queued requests by tier, highest tier first. */
	waiting: z.array(z.number()),
	quarantined: z.number(),
	/** Number of connections to processes of the other role. */
	peers: z.number(),
	endpoint: z.string().optional(),
	targets: z.array(z.string()).optional(),
	slots: z.number().optional(),
});
export type StatusAnswer = z.infer<typeof statusAnswerSchema>;

/** `GET /quarantine`, and the response to `POST /quarantine` with `{"release": FINGERPRINT, "author"}`. */
export const quarantineAnswerSchema = z.object({
	instance: z.string(),
	quarantined: z.array(z.object({fingerprint: z.string(), since: z.number(), endpoints: z.array(z.string())})),
});
export type QuarantineAnswer = z.infer<typeof quarantineAnswerSchema>;

export const releaseRequestSchema = z.strictObject({release: z.string().min(1).max(128), author: z.string().min(1).max(128)});
export type ReleaseRequest = z.infer<typeof releaseRequestSchema>;
