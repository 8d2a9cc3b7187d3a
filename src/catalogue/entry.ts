import {z} from 'zod';

/**
 * Schemas of the entries that operators write. Field names include units. Every entry has an owner, the
 * person or team responsible for it, and is identified by kind and name; a class is named WORKSPACE/CLASS.
 */
const name = z.string().regex(/^[a-z\d](?:[a-z\d.\-]{0,62}[a-z\d])?$/v, 'lower-case letters, digits, dots and hyphens, 64 at most');
const owner = z.string().min(1).max(128);
const positive = z.number().positive();

/** A customer: its bearer keys, and its weight among competing workspaces. */
export const workspaceEntrySchema = z.strictObject({
	kind: z.literal('workspace'),
	name,
	owner,
	/** Relative share among workspaces that compete in the same tier; usually 1. */
	weight: positive.max(1000).default(1),
	/** SHA-256 of each bearer key, hexadecimal. The key itself is never stored. */
	keySha256: z.array(z.string().regex(/^[a-f\d]{64}$/v, '64 hexadecimal digits')).max(16),
	/** The class of requests that do not name one. */
	defaultClass: name,
});

/** A class of requests of one workspace: its tier, its targets and its limits. */
export const classEntrySchema = z.strictObject({
	kind: z.literal('class'),
	name: z.string().regex(/^[a-z\d][a-z\d.\-]{0,63}\/[a-z\d][a-z\d.\-]{0,63}$/v, 'WORKSPACE/CLASS'),
	owner,
	/** 0 is served first, 2 last. */
	tier: z.union([z.literal(0), z.literal(1), z.literal(2)]),
	/** Target time from a request's arrival to its first token. */
	firstTokenMilliseconds: positive.max(600_000),
	/** Longest acceptable time between two tokens. */
	betweenTokensMilliseconds: positive.max(60_000),
	/** Longest time that a request waits in queues before it is refused as not run. */
	queueMilliseconds: positive.max(600_000),
	/** If false, a request of this class runs at most once and needs an `Idempotency-Key` to be retried. */
	idempotent: z.boolean().default(true),
	/** Models and services that the class may use; empty means all. */
	targets: z.array(name).max(256).default([]),
	/** Fleet-wide limits; a missing one means unlimited. */
	limits: z.strictObject({
		requestsPerSecond: positive.optional(),
		tokensPerSecond: positive.optional(),
		concurrency: z.number().int().positive().optional(),
	}).default({}),
});

/** A model that endpoints serve, and its desired version. */
export const modelEntrySchema = z.strictObject({
	kind: z.literal('model'),
	name,
	owner,
	version: z.string().min(1).max(64).default('1'),
	/** Desired number of endpoints that have the model loaded; 0 leaves the number to the platform. */
	replicas: z.number().int().nonnegative().max(10_000).default(0),
	adapters: z.array(name).max(64).default([]),
});

/** A service that is not a model, and the methods that may be retried. */
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

/** The key that identifies an entry within the catalogue. */
export function entryKey(entry: {kind: Entry['kind']; name: string}): string {
	return `${entry.kind}:${entry.name}`;
}
