import {z} from 'zod';
import {type LoadEvent} from './load.js';

const name = z.string().min(1).max(256);

const run = z.object({
	id: name,
	owner: name,
	endpoint: name,
	service: name,
	unreadTokens: z.number().nonnegative(),
	isTight: z.boolean(),
	parts: z.array(z.object({id: z.string().max(64), tokens: z.number().nonnegative()})).max(64),
});

/** Load as it travels between instances, checked on arrival. */
export const loadEventSchema: z.ZodType<LoadEvent> = z.discriminatedUnion('type', [
	z.object({type: z.literal('placed'), run}),
	z.object({type: z.literal('first-event'), id: name, isMeasured: z.boolean()}),
	z.object({type: z.literal('ended'), id: name}),
	z.object({type: z.literal('owner-lost'), owner: name}),
	z.object({type: z.literal('endpoint-restarted'), endpoint: name}),
]);
