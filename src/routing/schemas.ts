import {z} from 'zod';
import {isHeaderText, type WorkspaceName, type ZoneName} from '../model/index.js';
import {type EndpointChange} from './endpoint-directory.js';
import {RouteKind, type RoutingTableInput} from './routing-table.js';

// Schemas of the routing tables and endpoint records that instances send to each other; validated on receipt.
const name = z.string().min(1).max(512);
const count = z.number().int().nonnegative();
const milliseconds = z.number().nonnegative();

const routeSchema = z.object({
	name,
	host: z.string(),
	pathPrefix: z.string(),
	kind: z.enum(Object.values(RouteKind)),
	resumable: z.boolean(),
	shares: z.array(z.object({service: name, weight: z.number().nonnegative()})),
	timeoutMilliseconds: milliseconds,
	targetMilliseconds: milliseconds,
	urgency: z.number(),
	largestAttempts: count,
	isPublic: z.boolean(),
	longestPauseMilliseconds: milliseconds.optional(),
});

const serviceSchema = z.object({
	name,
	largestConnections: count,
	engine: z.object({
		slots: count,
		memoryTokens: count,
		tokensPerEvent: z.number().positive(),
		transfer: z.object({bytesPerToken: z.number().positive(), megabitsPerSecond: z.number().positive()}).optional(),
		listsKept: z.boolean().optional(),
	}).optional(),
	scale: z.object({leastEndpoints: count, mostEndpoints: count, bootMilliseconds: milliseconds}).optional(),
});

const workspaceSchema = z.object({name: name.refine(isHeaderText).transform(text => text as WorkspaceName), keys: z.array(z.string()), urgency: z.number().optional()});

export const routingTableSchema: z.ZodType<RoutingTableInput> = z.object({
	version: z.number(),
	routes: z.array(routeSchema),
	services: z.array(serviceSchema),
	workspaces: z.array(workspaceSchema).optional(),
	limits: z.object({headerBytes: count, bodyBytes: count, headerMilliseconds: milliseconds, idleMilliseconds: milliseconds}),
});

export const endpointRecordSchema = z.object({
	id: name,
	service: name,
	address: name,
	zone: name.transform(text => text as ZoneName),
	isLeaving: z.boolean(),
	slots: count,
	revision: z.number(),
	bornAt: z.number().optional(),
	build: z.string().max(512).optional(),
});

/**
 * Messages from an instance without support for eras, or from a store that names none, count as the first era. During a rolling upgrade
 * old instances know offsets only; as their messages belong to the first era, they can't remove what a later era has named.
 */
const era = z.number().int().nonnegative().default(0);

export const endpointChangeSchema: z.ZodType<EndpointChange> = z.discriminatedUnion('type', [
	z.object({type: z.literal('registered'), era, offset: z.number(), record: endpointRecordSchema}),
	z.object({type: z.literal('removed'), era, offset: z.number(), id: name}),
]);
