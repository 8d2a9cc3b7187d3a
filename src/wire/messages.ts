import {z} from 'zod';
import {FailureKind, Verdict} from '../model/index.js';
import {streamOriginSchema} from '../policy/streams/index.js';
import {pendingRecordSchema, quarantineRecordSchema, runRecordSchema} from '../policy/quarantine/index.js';
import {endpointChangeSchema, routingTableSchema} from '../routing/index.js';

/**
 * The messages between the processes of the system. Every message about a request carries the stream, a
 * number that the entry chooses per connection, and the request id; both ends check both, so that a response
 * can never reach another caller. Times are durations in milliseconds, never timestamps, because the clocks of
 * two instances may differ.
 */
const stream = z.number().int().nonnegative();
const request = z.string().min(1).max(64);
const bytes = z.instanceof(Uint8Array);
const milliseconds = z.number().nonnegative();
const text = z.string().max(512);
/** Fast, usual and slow are 0 to 2. */
const maxClassCode = 2;
/** More engines than a service has. */
const maxTellableEngines = 10_000;
const headers = z.record(z.string(), z.string());

/** The longest path of a request, in characters. A receiver closes a connection over a message with a longer one, so the entry refuses such a request. */
export const maximumPathLength = 8192;

/** The properties of a request that its queue and placement use, as they are sent. */
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
	/** How often the request has been preempted; 0 if absent. */
	preemptions: z.number().int().nonnegative().optional(),
	/** False at a side that is asked in addition to another one and preempts only at the last possible time. */
	asksFirst: z.boolean().optional(),
});

const hello = z.object({
	type: z.literal('hello'),
	protocol: z.number().int(),
	role: z.enum(['entry', 'side']),
	instance: text,
	zone: text,
	catalogueOffset: z.number().int(),
	/** For a side: its endpoint and the targets that the endpoint serves. */
	endpoint: text.optional(),
	targets: z.array(text).optional(),
});

const heartbeat = z.object({type: z.literal('heartbeat'), catalogueOffset: z.number().int()});

/** Entry to side: adds a request to the side's queue; the body is not sent yet. */
const reserve = z.object({type: z.literal('reserve'), stream, request, summary: summarySchema});
/** Side to entry: a slot is held for this reservation for `holdMilliseconds`. */
const offer = z.object({type: z.literal('offer'), stream, request, holdMilliseconds: milliseconds});
/** Side to entry: the request was not run here and is no longer queued here. */
const refuse = z.object({
	type: z.literal('refuse'), stream, request, kind: z.enum(Object.values(FailureKind)), message: text, retryAfterMilliseconds: milliseconds.optional(),
});
/** Entry to side: cancels a reservation or declines an offer. There is no reply; a later offer is stale. */
const withdraw = z.object({type: z.literal('withdraw'), stream, request});
/** Entry to side: the request with its body, in reply to an offer. From here on the request may have run. */
const start = z.object({
	type: z.literal('start'), stream, request, method: text, path: z.string().max(maximumPathLength), headers, body: bytes,
	/** True if more of the body follows in `body` messages. */
	more: z.boolean(),
	/** Number and text of the tokens that the caller already has, when a stream resumes here. */
	resumeTokens: z.number().int().nonnegative(), resumeText: z.string(),
	/** Number of events that the side may send before it waits for credit. */
	credit: z.number().int().positive(),
});
const body = z.object({type: z.literal('body'), stream, request, bytes, last: z.boolean()});
/**
 * Flow control. Entry to side: the caller consumed this many more events or data messages. Side to entry: the
 * service consumed this many more chunks of the body.
 */
const credit = z.object({type: z.literal('credit'), stream, request, events: z.number().int().positive()});
const cancel = z.object({type: z.literal('cancel'), stream, request});
/** Side to entry: events of a model's response as the engine sent them; `index` is the token number of the first one. */
const chunk = z.object({type: z.literal('chunk'), stream, request, index: z.number().int().nonnegative(), events: z.array(z.string())});
/** Side to entry: status and headers of a plain service's response. */
const head = z.object({type: z.literal('head'), stream, request, status: z.number().int(), headers});
/** Side to entry: bytes of a plain service's response; messages are numbered from 0. */
const data = z.object({type: z.literal('data'), stream, request, index: z.number().int().nonnegative(), bytes});
/** Side to entry: the response is complete; `count` is its number of events or data messages. */
const end = z.object({
	type: z.literal('end'), stream, request, count: z.number().int().nonnegative(), usage: z.string().optional(),
});
/** Side to entry: the request failed; `verdict` tells whether it may have run. */
const fail = z.object({
	type: z.literal('fail'), stream, request, kind: z.enum(Object.values(FailureKind)), verdict: z.enum(Object.values(Verdict)), message: text, retryAfterMilliseconds: milliseconds.optional(),
});
/**
 * Side to entry: the side's state for placement; sent on change, rate-limited. `firm` and `waiting` have one number for each tier,
 * highest first: slots whose requests a new one of that tier could not preempt, and queued requests.
 */
const state = z.object({
	type: z.literal('state'), phase: z.enum(['serving', 'leaving', 'down']), slots: z.number(), running: z.number(), firm: z.array(z.number()).optional(), waiting: z.array(z.number()), tokenMilliseconds: milliseconds,
});
/** Either direction: requests the catalogue records from this offset on. */
const pull = z.object({type: z.literal('pull'), from: z.number().int().nonnegative()});
/** The reply to `pull`: records of the catalogue stream in order, as JSON texts. */
const records = z.object({
	type: z.literal('records'), snapshot: z.boolean(), records: z.array(z.object({offset: z.number().int(), time: z.number(), value: z.string()})),
});
/** Either direction: crash records of requests that the peer may not have. */
const quarantine = z.object({type: z.literal('quarantine'), records: z.array(quarantineRecordSchema)});

const rate = z.number().nonnegative();
/** Entry to the allocator of some classes' fleet-wide limits: the entry's unconstrained demand for each class. */
const limitReport = z.object({
	type: z.literal('limit-report'),
	holder: text,
	classes: z.array(z.object({name: text, requestsPerSecond: rate, tokensPerSecond: rate, concurrency: rate, running: z.number().int().nonnegative()})),
});
/** The allocator's reply: a lease on the entry's share of each class limit, valid for `milliseconds` from receipt. */
const limitLease = z.object({
	type: z.literal('limit-lease'),
	classes: z.array(z.object({name: text, requestsPerSecond: rate, tokensPerSecond: rate, concurrency: rate, milliseconds})),
});

/** Gateway to gateway: the first message on each connection. */
const gatewayHello = z.object({
	type: z.literal('gateway-hello'), protocol: z.number().int(), instance: text, incarnation: text,
	/** True if the sender has read the endpoints recently, so that it lacks only the latest removals. */
	knowsEndpoints: z.boolean().default(false),
	/** True if the sender takes classes of engines; an instance of an older build closes the link over such a message. */
	takesClasses: z.boolean().optional(),
});
/** Gateway to gateway: the version of the sender's routing table in force. */
const routingVersion = z.object({type: z.literal('routing-version'), version: z.number()});
/** Gateway to gateway: requests that routing table. */
const routingWanted = z.object({type: z.literal('routing-wanted')});
/** Gateway to gateway: the complete routing table in force, in reply to `routing-wanted`. */
const routing = z.object({type: z.literal('routing'), table: routingTableSchema});
/** Gateway to gateway: endpoints that were registered or removed. */
const endpoints = z.object({type: z.literal('endpoints'), changes: z.array(endpointChangeSchema)});
/** Gateway to gateway: the sender's placements and its requests that ended, in order. */
const load = z.object({type: z.literal('load'), rows: z.array(z.custom<readonly unknown[]>(row => Array.isArray(row), 'not a row'))});

/** Gateway to gateway: the cached prompt parts that an endpoint reports, as alternating ids and token counts. */
const kept = z.object({type: z.literal('kept'), endpoint: text, parts: z.custom<readonly number[]>(parts => Array.isArray(parts) && parts.every(value => typeof value === 'number' && value >= 0), 'not numbers')});

/** Gateway to gateway: the class of each engine of a service by its code, and its speed in hundredths of the median engine's; none where engines are alike. */
const engineClasses = z.object({
	type: z.literal('engine-classes'), service: text,
	engines: z.array(z.tuple([text, z.number().int().nonnegative().max(maxClassCode), z.number().int().positive()])).max(maxTellableEngines),
});
/** Gateway to gateway: a response to the sender showed this rate limit, or none, of this incarnation of an endpoint. */
const endpointRateLimit = z.object({
	type: z.literal('endpoint-rate-limit'), endpoint: text, bornAt: z.number().optional(), requestsPerSecond: rate.optional(),
	/** Time since that response. */
	ageMilliseconds: milliseconds,
});

const shareOfEndpoint = z.object({endpoint: text, bornAt: z.number().optional()});
/** Gateway to gateway: the sender's requests wait for its shares of the rate limits of these endpoints. */
const rateSharesWanted = z.object({type: z.literal('rate-shares-wanted'), ask: z.number(), endpoints: z.array(shareOfEndpoint).max(1000)});
/** Gateway to gateway, in reply: the sender's shares, for this time from the question on; `ask` is the question's. */
const rateSharesLent = z.object({
	type: z.literal('rate-shares-lent'), ask: z.number(), milliseconds, shares: z.array(shareOfEndpoint.extend({requestsPerSecond: rate})).max(1000),
});

/**
 * Gateway to gateway: endpoints that crashed, or may have, with the requests that ran there, requests that were cleared of crashes, and
 * complete runs of such requests. Instances without support for pending crashes or runs send none and ignore them.
 */
const requestCrashes = z.object({
	type: z.literal('request-crashes'), records: z.array(quarantineRecordSchema), pending: z.array(pendingRecordSchema).default([]), runs: z.array(runRecordSchema).default([]),
	/** The time of sending, on the clock of the records' times. Clocks of instances differ, so a receiver uses only the differences. */
	now: z.number(),
	/** True if the sender has read what is stored of crashes, so that it need not be told that. */
	hasReadStore: z.boolean().optional(),
});

const usageCounts = z.record(text, z.number().int().nonnegative());
/** Gateway to gateway: builds of endpoints that began streams, streams of which the sender wants to know it, and those that it was asked for in vain. */
const streamOrigins = z.object({
	type: z.literal('stream-origins'), known: z.array(streamOriginSchema).max(1000), wanted: z.array(text).max(1000).default([]), unknown: z.array(text).max(1000).default([]),
});
/** Gateway to the holder of the duties: the sender's counts of the windows that changed since its last message on this connection. */
const usage = z.object({
	type: z.literal('usage'), instance: text, incarnation: text,
	/** The sender's estimate of Unix time, in milliseconds. */
	time: z.number(),
	/** All requests that began before this time are counted. */
	completeThrough: z.number(),
	rows: z.array(z.object({window: z.number().int(), counts: usageCounts})),
});
/** Gateway to gateway: who holds the duties, where the log of the duties ends, and what has been decided since the last such message. */
const holderAnnouncement = z.object({
	type: z.literal('duty-holder'),
	holder: z.object({token: z.number().int().positive(), instance: text, incarnation: text, address: text, isReleased: z.boolean()}),
	end: z.object({era: z.number().int(), offset: z.number().int()}),
	decisions: z.array(z.object({window: z.number().int(), counts: usageCounts})),
	/** The holder's estimate of Unix time, in milliseconds; absent if the sender passes the message on. */
	time: z.number().optional(),
});

/** All messages, discriminated by `type`. */
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
	engineClasses,
	endpointRateLimit,
	rateSharesWanted,
	rateSharesLent,
	requestCrashes,
	streamOrigins,
	usage,
	holderAnnouncement,
]);
export type Message = z.infer<typeof messageSchema>;
export type MessageOf<Type extends Message['type']> = Extract<Message, {type: Type}>;
/** The messages that only gateways send to each other. */
export type GatewayMessage = MessageOf<'gateway-hello' | 'routing-version' | 'routing-wanted' | 'routing' | 'endpoints' | 'load' | 'kept' | 'engine-classes' | 'endpoint-rate-limit' | 'rate-shares-wanted' | 'rate-shares-lent' | 'request-crashes' | 'stream-origins' | 'usage' | 'duty-holder'>;

const gatewayTypes: ReadonlySet<string> = new Set<GatewayMessage['type']>(['gateway-hello', 'routing-version', 'routing-wanted', 'routing', 'endpoints', 'load', 'kept', 'engine-classes', 'endpoint-rate-limit', 'rate-shares-wanted', 'rate-shares-lent', 'request-crashes', 'stream-origins', 'usage', 'duty-holder']);

export function isGatewayMessage(message: Message): message is GatewayMessage {
	return gatewayTypes.has(message.type);
}

/** The messages that belong to one request. */
export type StreamMessage = Extract<Message, {stream: number}>;

/** The protocol version that both ends must send in `hello`. */
export const protocolVersion = 4;
