import {z} from 'zod';
import {FailureKind, Verdict} from '../model/index.js';
import {quarantineRecordSchema} from '../policy/quarantine/index.js';
import {endpointChangeSchema, routingTableSchema} from '../routing/index.js';

/**
 * The messages between our processes. Every frame about a request names the stream, a number that
 * the entry chooses per connection, and the request id; both ends check both, so that an answer
 * can never reach a caller it was not made for. Times are durations in milliseconds, never clock
 * readings: the clocks of two instances need not agree.
 */
const stream = z.number().int().nonnegative();
const request = z.string().min(1).max(64);
const bytes = z.instanceof(Uint8Array);
const milliseconds = z.number().nonnegative();
const text = z.string().max(512);
const headers = z.record(z.string(), z.string());

/** What the queue and placement know of a request, as it travels. */
export const summarySchema = z.object({
	id: request,
	workspace: text,
	weight: z.number().positive(),
	className: text,
	tier: z.union([z.literal(0), z.literal(1), z.literal(2)]),
	target: text,
	idempotent: z.boolean(),
	firstTokenMilliseconds: milliseconds,
	betweenTokensMilliseconds: milliseconds.optional(),
	queueMilliseconds: milliseconds,
	promptTokens: z.number().nonnegative(),
	fingerprint: text,
	prefix: text,
	preemptions: z.number().int().nonnegative().optional(),
	asksFirst: z.boolean().optional(),
});

const hello = z.object({
	type: z.literal('hello'),
	protocol: z.number().int(),
	role: z.enum(['entry', 'side']),
	instance: text,
	zone: text,
	catalogueOffset: z.number().int(),
	/** For a side: its endpoint and what that serves. */
	endpoint: text.optional(),
	targets: z.array(text).optional(),
});

const heartbeat = z.object({type: z.literal('heartbeat'), catalogueOffset: z.number().int()});

/** Entry to side: puts a request into the side's queue; no body travels yet. */
const reserve = z.object({type: z.literal('reserve'), stream, request, summary: summarySchema});
/** Side to entry: a slot is free for this reservation, for `holdMilliseconds`. */
const offer = z.object({type: z.literal('offer'), stream, request, holdMilliseconds: milliseconds});
/** Side to entry: the request was not run here and does not wait here any more. */
const refuse = z.object({
	type: z.literal('refuse'), stream, request, kind: z.enum(Object.values(FailureKind)), message: text, retryAfterMilliseconds: milliseconds.optional(),
});
/** Entry to side: gives a reservation or an offer back. Nothing is answered; a later offer is stale. */
const withdraw = z.object({type: z.literal('withdraw'), stream, request});
/** Entry to side: the body, in answer to an offer. From here on the request may have run. */
const start = z.object({
	type: z.literal('start'), stream, request, method: text, path: z.string().max(8192), headers, body: bytes,
	/** True if more of the body follows in `body` messages. */
	more: z.boolean(),
	/** Tokens that the caller already has, and their text, when a stream resumes here. */
	resumeTokens: z.number().int().nonnegative(), resumeText: z.string(),
	/** How many events the side may send before it waits for credit. */
	credit: z.number().int().positive(),
});
const body = z.object({type: z.literal('body'), stream, request, bytes, last: z.boolean()});
/**
 * Entry to side: the caller took this many more events or data messages. Side to entry: the service
 * took this many more parts of the body.
 */
const credit = z.object({type: z.literal('credit'), stream, request, events: z.number().int().positive()});
const cancel = z.object({type: z.literal('cancel'), stream, request});
/** Side to entry: events of a model's answer as the engine wrote them; `index` is the first one's token number. */
const chunk = z.object({type: z.literal('chunk'), stream, request, index: z.number().int().nonnegative(), events: z.array(z.string())});
/** Side to entry: status line of a plain service's answer. */
const head = z.object({type: z.literal('head'), stream, request, status: z.number().int(), headers});
/** Side to entry: bytes of a plain service's answer, numbered from 0. */
const data = z.object({type: z.literal('data'), stream, request, index: z.number().int().nonnegative(), bytes});
/** Side to entry: the whole answer has been sent; `count` events or data messages. */
const end = z.object({
	type: z.literal('end'), stream, request, count: z.number().int().nonnegative(), usage: z.string().optional(),
});
/** Side to entry: the request stops here, and whether it may have run. */
const fail = z.object({
	type: z.literal('fail'), stream, request, kind: z.enum(Object.values(FailureKind)), verdict: z.enum(Object.values(Verdict)), message: text, retryAfterMilliseconds: milliseconds.optional(),
});
/** Side to entry: what placement may go by; sent on change, and rate-limited. */
const state = z.object({
	type: z.literal('state'), phase: z.enum(['serving', 'leaving', 'down']), slots: z.number(), running: z.number(), firm: z.array(z.number()).optional(), waiting: z.array(z.number()), tokenMilliseconds: milliseconds,
});
/** Either way: asks the peer for catalogue records from this offset on. */
const pull = z.object({type: z.literal('pull'), from: z.number().int().nonnegative()});
/** The answer to `pull`: records of the catalogue stream in order, JSON texts. */
const records = z.object({
	type: z.literal('records'), snapshot: z.boolean(), records: z.array(z.object({offset: z.number().int(), time: z.number(), value: z.string()})),
});
/** Either way: records of crashes by requests that the peer may not know. */
const quarantine = z.object({type: z.literal('quarantine'), records: z.array(quarantineRecordSchema)});

const rate = z.number().nonnegative();
/** Entry to the keeper of some classes' fleet-wide limits: what it would use of each if nothing held it back. */
const limitReport = z.object({
	type: z.literal('limit-report'),
	holder: text,
	classes: z.array(z.object({name: text, requestsPerSecond: rate, tokensPerSecond: rate, concurrency: rate, running: z.number().int().nonnegative()})),
});
/** The keeper's answer: the entry's share of each, for a time from receipt. */
const limitLease = z.object({
	type: z.literal('limit-lease'),
	classes: z.array(z.object({name: text, requestsPerSecond: rate, tokensPerSecond: rate, concurrency: rate, milliseconds})),
});

/** Between gateways, first on each connection. */
const gatewayHello = z.object({
	type: z.literal('gateway-hello'), protocol: z.number().int(), instance: text, incarnation: text,
	/** True if the sender has read the endpoints lately, so that it lacks none but the newest endings. */
	knowsEndpoints: z.boolean().default(false),
});
/** Gateway to gateway: the version of the routing table that it has in force. */
const routingVersion = z.object({type: z.literal('routing-version'), version: z.number()});
/** Gateway to gateway: the sender wants that table. */
const routingWanted = z.object({type: z.literal('routing-wanted')});
/** Gateway to gateway: the whole routing table that it has in force, to one that wants it. */
const routing = z.object({type: z.literal('routing'), table: routingTableSchema});
/** Gateway to gateway: endpoints that registered or ended. */
const endpoints = z.object({type: z.literal('endpoints'), changes: z.array(endpointChangeSchema)});
/** Gateway to gateway: what it placed and what ended, in order. */
const load = z.object({type: z.literal('load'), rows: z.array(z.custom<readonly unknown[]>(row => Array.isArray(row), 'not a row'))});

/** Gateway to gateway: what an endpoint itself says it holds of prompts, as ids and tokens in turn. */
const kept = z.object({type: z.literal('kept'), endpoint: text, parts: z.custom<readonly number[]>(parts => Array.isArray(parts) && parts.every(value => typeof value === 'number' && value >= 0), 'not numbers')});

/** Every message, by `type`. */
export const messageSchema = z.discriminatedUnion('type', [
	hello,
	heartbeat,
	reserve,
	offer,
	refuse,
	withdraw,
	start,
	body,
	credit,
	cancel,
	chunk,
	head,
	data,
	end,
	fail,
	state,
	pull,
	records,
	quarantine,
	limitReport,
	limitLease,
	gatewayHello,
	routingVersion,
	routingWanted,
	routing,
	endpoints,
	load,
	kept,
]);
export type Message = z.infer<typeof messageSchema>;
export type MessageOf<Type extends Message['type']> = Extract<Message, {type: Type}>;
/** What only gateways send each other. */
export type GatewayMessage = MessageOf<'gateway-hello' | 'routing-version' | 'routing-wanted' | 'routing' | 'endpoints' | 'load' | 'kept'>;

const gatewayTypes: ReadonlySet<string> = new Set<GatewayMessage['type']>(['gateway-hello', 'routing-version', 'routing-wanted', 'routing', 'endpoints', 'load', 'kept']);

export function isGatewayMessage(message: Message): message is GatewayMessage {
	return gatewayTypes.has(message.type);
}

/** The messages that belong to one request. */
export type StreamMessage = Extract<Message, {stream: number}>;

/** The version that both ends must name in `hello`. */
export const protocolVersion = 4;
