import {z} from 'zod';

/**
 * What operators write. Units stand in the names. Every entry has an owner, the one who answers
 * for it, and is named uniquely by kind and name; a class is named WORKSPACE/CLASS.
 */
const name = z.string().regex(/^[a-z\d](?:[a-z\d.\-]{0,62}[a-z\d])?$/v, 'lower-case letters, digits, dots and hyphens, 64 at most');
const owner = z.string().min(1).max(128);
const positive = z.number().positive();

/** A customer: whose keys open the door, and how much it counts among rivals. */
export const workspaceEntrySchema = z.strictObject({
	kind: z.literal('workspace'),
	name,
	owner,
	/** Share among rivals in the same tier; 1 is usual. */
	weight: positive.max(1000).default(1),
	/** SHA-256 of each bearer key, hexadecimal. The key itself is never stored. */
	keySha256: z.array(z.string().regex(/^[a-f\d]{64}$/v, '64 hexadecimal digits')).max(16),
	/** The class of requests that name none. */
	defaultClass: name,
});

/** A class of requests of one workspace: its tier, its targets and its limits. */
export const classEntrySchema = z.strictObject({
	kind: z.literal('class'),
	name: z.string().regex(/^[a-z\d][a-z\d.\-]{0,63}\/[a-z\d][a-z\d.\-]{0,63}$/v, 'WORKSPACE/CLASS'),
	owner,
	/** 0 is served first, 2 last. */
	tier: z.union([z.literal(0), z.literal(1), z.literal(2)]),
	/** The first token is due so long after arrival. */
	firstTokenMilliseconds: positive.max(600_000),
	/** The time between two tokens that the class can bear. */
	betweenTokensMilliseconds: positive.max(60_000),
	/** How long a request may wait in queues before it is refused as not run. */
	queueMilliseconds: positive.max(600_000),
	/** False: a request of this class runs once at most and needs an `Idempotency-Key` to be sent again. */
	idempotent: z.boolean().default(true),
	/** Models and services that the class may use; empty means all. */
	targets: z.array(name).max(256).default([]),
	/** Fleet-wide limits; a missing one does not limit. */
	limits: z.strictObject({
		requestsPerSecond: positive.optional(),
		tokensPerSecond: positive.optional(),
		concurrency: z.number().int().positive().optional(),
	}).default({}),
});

/** A model that endpoints serve, and which version of it is wanted. */
export const modelEntrySchema = z.strictObject({
	kind: z.literal('model'),
	name,
	owner,
	version: z.string().min(1).max(64).default('1'),
	/** How many endpoints should have it loaded; 0 leaves that to the platform. */
	replicas: z.number().int().nonnegative().max(10_000).default(0),
	adapters: z.array(name).max(64).default([]),
});

/** A plain service, and which of its calls may be sent twice. */
export const serviceEntrySchema = z.strictObject({
	kind: z.literal('service'),
	name,
	owner,
	idempotentMethods: z.array(z.enum(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE', 'POST', 'PATCH'])).default(['GET', 'HEAD', 'OPTIONS']),
});

export const entrySchema = z.discriminatedUnion('kind', [workspaceEntrySchema, classEntrySchema, modelEntrySchema, serviceEntrySchema]);
export type Entry = z.infer<typeof entrySchema>;
export type WorkspaceEntry = z.infer<typeof workspaceEntrySchema>;
export type ClassEntry = z.infer<typeof classEntrySchema>;
export type ModelEntry = z.infer<typeof modelEntrySchema>;
export type ServiceEntry = z.infer<typeof serviceEntrySchema>;

/** What names an entry within the catalogue. */
export function entryKey(entry: {kind: Entry['kind']; name: string}): string {
	return `${entry.kind}:${entry.name}`;
}
