/** Carries opaque requests to endpoints and their answers back. */
export type * from './types.js';
export {Beliefs, type BeliefChange, type BeliefSource} from './beliefs.js';
export {ChannelBook} from './channel-book.js';
export {DecisionLog} from './decision-log.js';
export {RefusalReason, type Decision, type Foreseen, type Ticket} from './decision.js';
export {Dispatcher} from './dispatcher.js';
export {EventSplitter} from './event-splitter.js';
export {FeedFollower, type EraChange} from './feed-follower.js';
export {Gateway, openMilliseconds} from './gateway.js';
export {demandOf, ticketOf, type Asked} from './ticket.js';
export {type PeerRecord, PeerRoster} from './peer-roster.js';
export {greetingOf} from './peer-messages.js';
export {Peers} from './peers.js';
export {followFeeds, type Announced, type FollowedFeeds, type InstanceAnnouncement, type StoreFeeds} from './store-feeds.js';
export * from './kept-reader.js';
export * from './processor-watch.js';
