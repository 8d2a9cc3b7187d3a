/** Forwards opaque requests to endpoints and their responses to callers. */
export type * from './types.js';
export {RoutingState, type RoutingStateChange, type UpdateSource} from './routing-state.js';
export {ConnectionPools} from './connection-pools.js';
export {DecisionLog} from './decision-log.js';
export {RefusalReason, type Decision, type WaitEstimate, type PlacementRequest} from './decision.js';
export {Dispatcher} from './dispatcher.js';
export {EventSplitter} from './event-splitter.js';
export {FeedFollower, type EraChange} from './feed-follower.js';
export {Gateway, drainListenMilliseconds} from './gateway.js';
export {demandOf, placementRequestOf, type RequestContext} from './placement-request.js';
export {type PeerRecord, PeerRoster} from './peer-roster.js';
export {initialMessages} from './peer-messages.js';
export {Peers} from './peers.js';
export {followFeeds, type PeerRegistry, type FeedFollowers, type InstanceAnnouncement, type StoreFeeds} from './store-feeds.js';
export * from './prompt-cache-reader.js';
export * from './event-loop-monitor.js';
export {sampleServices} from './service-samples.js';
export * from './duties/index.js';
