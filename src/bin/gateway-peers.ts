import {type CrashLedger, type Dispatcher, type Duties, type FeedFollowers, Peers, type PromptCacheReader, type RoutingState, type StreamRegistry} from '../gateway/index.js';
import {splitAddress, type ZoneName} from '../model/index.js';
import {recentPollMilliseconds} from '../policy/sharing/index.js';
import {forPart, type Logger} from '../telemetry/index.js';
import {type GatewaySettings} from '../settings/gateway/index.js';

/** What the links to other instances need of the process. */
export type PeerParts = {
	readonly incarnation: string;
	readonly routingState: RoutingState;
	readonly dispatcher: Dispatcher;
	readonly crashes: CrashLedger;
	readonly streams: StreamRegistry;
	readonly promptCacheReader: PromptCacheReader;
	readonly logger: Logger;
	readonly feeds: () => FeedFollowers | undefined;
	readonly duties: () => Duties | undefined;
};

/** Opens the links to other instances, and hands what these tell to the parts that need it. */
export async function openPeers(settings: GatewaySettings, {incarnation, routingState, dispatcher, crashes, streams, promptCacheReader, logger, feeds, duties}: PeerParts): Promise<Peers> {
	const {host, port} = splitAddress(settings.peerAddress);
	return Peers.create({
		instance: settings.instance,
		zone: settings.availabilityZone as ZoneName,
		incarnation,
		host,
		port,
		security: {type: 'plaintext'},
		seeds: settings.seedHosts.map(seed => `${seed.split(':', 1)[0]}:${port}`),
		routingState,
		logger: forPart(logger, 'Peers'),
		onLoad(event) {
			dispatcher.applyLoad(event);
		},
		onPromptCache(list) {
			promptCacheReader.markRead(list.endpoint);
			dispatcher.applyLoad({type: 'kept', ...list});
		},
		knowsEndpoints: () => (feeds()?.endpoints.millisecondsSinceRead(performance.now()) ?? Infinity) < recentPollMilliseconds,
		holderAnnouncement: () => duties()?.announcement,
		onHolderAnnouncement(announcement) {
			duties()?.handleAnnouncement(announcement);
		},
		onStaleTable() {
			feeds()?.routing.abortLongPoll();
		},
		onRateLimitReport(report) {
			dispatcher.statements.recordReport(report, performance.now());
		},
		onSharesWanted: (instance, endpoints) => dispatcher.statements.lendShares(instance, endpoints, performance.now()),
		onSharesLent(lender, shares, until) {
			dispatcher.statements.recordLentShares(lender, shares, {until, now: performance.now()});
		},
		onLenderLost(lender) {
			dispatcher.statements.forgetLender(lender, performance.now());
		},
		onCrashNews(news, source) {
			crashes.applyNews(news, source);
		},
		onStreamOrigins(message, instance) {
			streams.handleMessage(message, instance);
		},
		crashNews: part => part === 'all' ? crashes.openNews(performance.now()) : crashes.unstoredNews(performance.now()),
		knowsCrashes: () => feeds()?.crashes.isConnected ?? false,
		onView(view) {
			dispatcher.view = view;
			dispatcher.statements.handleFleetChange(performance.now());
		},
	});
}
