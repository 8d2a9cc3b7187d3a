import {type ClassStatement, decodeLoad, EngineClass, type LoadEvent, unflattenParts} from '../../policy/dispatch/index.js';
import {type EndpointChange, positionOf} from '../../routing/index.js';
import {type Connection, type GatewayMessage, type MessageOf, MessagePriority} from '../../wire/index.js';
import {type CrashNews, isEmptyNews} from '../crashes/index.js';
import {type RoutingStateChange, type RoutingState} from '../table/index.js';
import {type CachedPromptParts, type EndpointIncarnation, type LentShare, type RateLimitReport} from '../endpoints/index.js';
import {isAddress, isHeaderText} from '../../model/index.js';
import {type PartLogger} from '../../telemetry/index.js';
import {leaseMilliseconds} from '../../policy/statements/index.js';

/**
 * Endpoints that ended within this time are announced even to a peer that has read the endpoints lately. Such a read is never older
 * than this time.
 */
const recentRemovalMilliseconds = 20_000;
const hundredths = 100;
/** The classes of engines in the order of their codes. */
const engineClasses = [EngineClass.fast, EngineClass.usual, EngineClass.slow] as const;

/** Message that announces a change of the routing state to peers, if any. */
export function messageForChange(change: RoutingStateChange): GatewayMessage | undefined {
	switch (change.type) {
		case 'table': {
			return {type: 'routing-version', version: change.input.version};
		}

		case 'endpoints': {
			return {type: 'endpoints', changes: [...change.changes]};
		}

		case 'reborn':
		case 'era': {
			// Not announced: each instance derives these changes from the endpoints' records.
			return undefined;
		}
	}
}

/**
 * Whether a message may wait for its link. News of crashes and of cached prompt parts is most of what instances tell each other while many endpoints
 * fail; what is certain of crashes is in the store, too.
 */
export function priorityOf({type}: GatewayMessage): MessagePriority {
	return type === 'request-crashes' || type === 'kept' ? MessagePriority.bulk : MessagePriority.control;
}

/** What is known at the time of a peer's hello. */
export type NewPeer = {
	/** Whether the peer has read the endpoints from the store lately. */
	readonly knowsEndpoints: boolean;
	readonly holderAnnouncement: MessageOf<'duty-holder'> | undefined;
	readonly crashes: CrashNews;
	/** Milliseconds of the monotonic clock. */
	readonly now: number;
};

/**
 * Messages for a new peer, the last of them the one that names the holder of the duties, if any. A peer that has read the
 * endpoints from the store lately gets only those that have ended since then: if all instances start together and each sends
 * every endpoint to each neighbour, small instances are busy with lists that they have just read themselves, while callers
 * reconnect. Unconfirmed endpoints are not announced, because each receiver would start a new grace period for them.
 */
export function initialMessages({tableInput, directory}: RoutingState, {knowsEndpoints, holderAnnouncement, crashes, now}: NewPeer): GatewayMessage[] {
	const listed = [...directory.entries.values()].filter(({unconfirmedUntil, endedAt}) => unconfirmedUntil === undefined && (
		!knowsEndpoints || (endedAt !== undefined && now - endedAt < recentRemovalMilliseconds)
	));
	const changes = listed.map(({record, registrations, endedAt}): EndpointChange => endedAt === undefined || record.isLeaving
		? {type: 'registered', ...positionOf(registrations), record}
		: {type: 'removed', ...positionOf(registrations), id: record.id});
	return [
		...(tableInput === undefined ? [] : [{type: 'routing-version', version: tableInput.version} as const]),
		...(changes.length === 0 ? [] : [{type: 'endpoints', changes} as const]),
		...(isEmptyNews(crashes) ? [] : [encodeCrashNews(crashes, now)]),
		...(holderAnnouncement === undefined ? [] : [holderAnnouncement]),
	];
}

/** The message that tells peers the classes of engines. */
export function encodeClasses({service, engines}: ClassStatement): MessageOf<'engine-classes'> {
	return {type: 'engine-classes', service, engines: engines.map(({endpoint, engineClass, relativeSpeed}) => [endpoint, engineClasses.indexOf(engineClass), Math.max(1, Math.round(relativeSpeed * hundredths))])};
}

function decodeClasses({service, engines}: MessageOf<'engine-classes'>, teller: string): ClassStatement {
	return {teller, service, engines: engines.map(([endpoint, code, speed]) => ({endpoint, engineClass: engineClasses[code]!, relativeSpeed: speed / hundredths}))};
}

/** The message that reports to a peer what a response to this instance has shown. */
export function encodeRateLimitReport({endpoint, bornAt, rateLimit, observedAt}: RateLimitReport, now: number): MessageOf<'endpoint-rate-limit'> {
	return {
		type: 'endpoint-rate-limit', endpoint, ageMilliseconds: now - observedAt,
		...(bornAt !== undefined && {bornAt}), ...(rateLimit !== undefined && {requestsPerSecond: rateLimit.requestsPerSecond}),
	};
}

function decodeRateLimitReport({endpoint, bornAt, requestsPerSecond, ageMilliseconds}: MessageOf<'endpoint-rate-limit'>, now: number): RateLimitReport {
	return {endpoint, bornAt, rateLimit: requestsPerSecond === undefined ? undefined : {type: 'rate-limit', requestsPerSecond}, observedAt: now - ageMilliseconds};
}

/** The message that asks peers for their shares of the rate limits of endpoints; the time of asking names the question. */
export function encodeSharesWanted(endpoints: readonly EndpointIncarnation[], now: number): MessageOf<'rate-shares-wanted'> {
	return {type: 'rate-shares-wanted', ask: now, endpoints: endpoints.map(incarnation => encodeIncarnation(incarnation))};
}

function encodeIncarnation({endpoint, bornAt}: EndpointIncarnation): MessageOf<'rate-shares-wanted'>['endpoints'][number] {
	return {endpoint, ...(bornAt !== undefined && {bornAt})};
}

/** The message that tells peers of crashes. */
export function encodeCrashNews({records, pending, runs}: CrashNews, now: number, hasReadStore = false): MessageOf<'request-crashes'> {
	return {type: 'request-crashes', records: [...records], pending: [...pending], runs: [...runs], now, ...(hasReadStore && {hasReadStore})};
}

/** The news with times on the clock of this instance. */
function decodeCrashNews({records, pending, runs, now: sentAt}: MessageOf<'request-crashes'>, now: number): CrashNews {
	const shift = now - sentAt;
	return {records: records.map(record => ({...record, time: record.time + shift})), pending: pending.map(record => ({...record, time: record.time + shift})), runs};
}

/** Leaves out endpoints with ids or addresses that Node throws at; an instance of an older build tells of them too. */
function usableChanges(changes: readonly EndpointChange[], instance: string, logger: PartLogger): readonly EndpointChange[] {
	const usable = changes.filter(change => change.type === 'removed' || (isAddress(change.record.address) && isHeaderText(change.record.id)));
	if (usable.length < changes.length) {
		logger.warn('Skipped endpoints without a usable id or address.', {peer: instance, endpoints: changes.length - usable.length});
	}

	return usable;
}

/** The sender of a message, and the state and callbacks that the message is applied to. */
export type MessageContext = {
	readonly logger: PartLogger;
	readonly routingState: RoutingState;
	readonly connection: Connection;
	readonly instance: string;
	readonly incarnation: string;
	readonly onVersion: (version: number) => void;
	readonly onLoad: (event: LoadEvent) => void;
	readonly onRateLimitReport: (report: RateLimitReport) => void;
	/** Returns the shares of rate limits that are lent to the peer. */
	readonly onSharesWanted: (instance: string, endpoints: readonly EndpointIncarnation[]) => readonly LentShare[];
	/** Called with shares that the peer has lent, for as long as the monotonic clock is below `until`. */
	readonly onSharesLent: (instance: string, shares: readonly LentShare[], until: number) => void;
	readonly onCrashNews: (news: CrashNews, source: string) => void;
	/** Called when the peer has read what is stored of crashes. */
	readonly onCrashesRead: () => void;
	readonly onPromptCache: (cached: CachedPromptParts) => void;
	readonly onHolderAnnouncement: (word: MessageOf<'duty-holder'>) => void;
	readonly onStreamOrigins: (message: MessageOf<'stream-origins'>, instance: string) => void;
};

/** Handles a message of a peer that has sent its hello. */
export function handleMessage(message: Exclude<GatewayMessage, {type: 'gateway-hello'}>, {logger, routingState, connection, instance, incarnation, onVersion, onLoad, onPromptCache, onRateLimitReport, onSharesWanted, onSharesLent, onCrashNews, onCrashesRead, onHolderAnnouncement, onStreamOrigins}: MessageContext): void {
	switch (message.type) {
		case 'routing-version': {
			onVersion(message.version);
			return;
		}

		case 'routing-wanted': {
			if (routingState.tableInput !== undefined) {
				connection.send({type: 'routing', table: routingState.tableInput});
			}

			return;
		}

		case 'routing': {
			routingState.applyTable(message.table, `instance ${instance}`);
			return;
		}

		case 'endpoints': {
			routingState.applyEndpointChanges(usableChanges(message.changes, instance, logger), `instance ${instance}`, performance.now());
			return;
		}

		case 'kept': {
			onPromptCache({endpoint: message.endpoint, parts: unflattenParts(message.parts)});
			return;
		}

		case 'engine-classes': {
			onLoad({type: 'classes', statement: decodeClasses(message, incarnation)});
			return;
		}

		case 'endpoint-rate-limit': {
			onRateLimitReport(decodeRateLimitReport(message, performance.now()));
			return;
		}

		case 'rate-shares-wanted': {
			const shares = onSharesWanted(instance, message.endpoints.map(({endpoint, bornAt}) => ({endpoint, bornAt})));
			if (shares.length > 0) {
				connection.send({type: 'rate-shares-lent', ask: message.ask, milliseconds: leaseMilliseconds, shares: shares.map(share => ({...encodeIncarnation(share), requestsPerSecond: share.requestsPerSecond}))});
			}

			return;
		}

		case 'rate-shares-lent': {
			// From the question on, not from the answer: the lender counts from a later moment.
			const until = Math.min(message.ask, performance.now()) + Math.min(message.milliseconds, leaseMilliseconds);
			onSharesLent(instance, message.shares.map(({endpoint, bornAt, requestsPerSecond}) => ({endpoint, bornAt, requestsPerSecond})), until);
			return;
		}

		case 'request-crashes': {
			onCrashNews(decodeCrashNews(message, performance.now()), `instance ${instance}`);
			if (message.hasReadStore === true) {
				onCrashesRead();
			}

			return;
		}

		case 'stream-origins': {
			onStreamOrigins(message, instance);
			return;
		}

		case 'usage': {
			connection.close('usage has a connection of its own');
			return;
		}

		case 'duty-holder': {
			onHolderAnnouncement(message);
			return;
		}

		case 'load': {
			const events = decodeLoad(message.rows, incarnation);
			if (events === undefined) {
				connection.close('the peer sent load that cannot be decoded');
			}

			for (const event of events ?? []) {
				onLoad(event);
			}
		}
	}
}
