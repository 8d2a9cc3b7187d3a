import {type ZoneName} from '../../model/index.js';
import {type LoadEvent} from '../../policy/dispatch/index.js';
import {type FleetView} from '../../policy/sharing/index.js';
import {type PartLogger} from '../../telemetry/index.js';
import {type MessageOf, type Security} from '../../wire/index.js';
import {type CrashNews} from '../crashes/index.js';
import {type RoutingState} from '../table/index.js';
import {type CachedPromptParts, type EndpointIncarnation, type LentShare, type RateLimitReport} from '../endpoints/index.js';

/** Identity of this instance among its peers, and receivers of what the peers send. */
export type PeersOptions = {
	readonly instance: string;
	readonly zone: ZoneName;
	/** New at each start of the process. */
	readonly incarnation: string;
	readonly host: string;
	readonly port: number;
	readonly security: Security;
	/** Addresses to dial before any instance is known from the store; they may be outdated. */
	readonly seeds: readonly string[];
	readonly routingState: RoutingState;
	readonly logger: PartLogger;
	readonly onLoad: (event: LoadEvent) => void;
	/** Called when a peer has read which prompt parts an endpoint has cached. */
	readonly onPromptCache: (cached: CachedPromptParts) => void;
	/** Called when a peer reports whether an endpoint has a rate limit. */
	readonly onRateLimitReport: (report: RateLimitReport) => void;
	/** Called when a peer asks for shares of rate limits; returns those that are lent to it. */
	readonly onSharesWanted: (instance: string, endpoints: readonly EndpointIncarnation[]) => readonly LentShare[];
	/** Called with shares that a peer has lent, for as long as the monotonic clock is below `until`. */
	readonly onSharesLent: (instance: string, shares: readonly LentShare[], until: number) => void;
	/** Called when the link to a peer is lost, or the peer has started again. */
	readonly onLenderLost: (instance: string) => void;
	/** Called when a peer tells of crashes; the records' times are on the clock of this instance. */
	readonly onCrashNews: (news: CrashNews, source: string) => void;
	/** What counts of crashes: all of it, or what is not known to be in the store. */
	readonly crashNews: (part: 'all' | 'unstored') => CrashNews;
	/** Whether this instance follows what is stored of crashes. */
	readonly knowsCrashes: () => boolean;
	/** The message that names the holder of the duties to a new peer, if this instance knows one. */
	readonly holderAnnouncement: () => MessageOf<'duty-holder'> | undefined;
	/** Called when a peer names the holder of the duties. */
	readonly onHolderAnnouncement: (announcement: MessageOf<'duty-holder'>) => void;
	/** Called when a peer tells or asks which builds began streams. */
	readonly onStreamOrigins: (message: MessageOf<'stream-origins'>, instance: string) => void;
	/** Whether this instance has read the endpoints from the store lately. */
	readonly knowsEndpoints: () => boolean;
	/** Called when a peer has had a newer routing table for longer than a read of the store takes: this instance's own read may hang. */
	readonly onStaleTable: () => void;
	/** Called when the number of live instances, or of those that report their load to this one, may have changed. */
	readonly onView: (view: FleetView) => void;
};
