import {type Dispatcher, type Gateway, type LoopLateness, type Peers, type RoutingState} from '../gateway/index.js';
import {type Metrics} from '../telemetry/index.js';

/** What the metrics read. */
export type MeasuredParts = {readonly dispatcher: Dispatcher; readonly lateness: LoopLateness; readonly gateway: Gateway; readonly peers: Peers; readonly routingState: RoutingState};

/** Adds the metrics whose values are read when they are rendered. */
export function observeGateway(metrics: Metrics, {dispatcher, lateness, gateway, peers, routingState}: MeasuredParts): void {
	metrics.observe('gateway_waiting', 'Requests in the placement queue.', () => dispatcher.queueLength);
	metrics.observeEach('gateway_memory_held_share', 'Memory that running requests hold or will hold, as a share of all of its engines, by service.', 'service', () => dispatcher.heldMemoryShares());
	metrics.observe('gateway_rate_limited_endpoints', 'Endpoints that state a rate limit.', () => dispatcher.statements.countOf('rate-limit', performance.now()));
	metrics.observe('gateway_leaving_endpoints', 'Endpoints that have stated in a response that they leave.', () => dispatcher.statements.countOf('leaving', performance.now()));
	metrics.observe('gateway_backing_off_endpoints', 'Endpoints that have asked this instance for a backoff.', () => dispatcher.statements.countOf('backoff', performance.now()));
	metrics.observe('gateway_loop_lag', 'How late the event loop is, in milliseconds; 0 below the lag of the settings.', () => lateness.milliseconds);
	metrics.observe('gateway_open', 'Requests whose response is not complete.', () => gateway.openRequests);
	metrics.observe('gateway_body_held_bytes', 'Bytes that requests hold of bodies.', () => gateway.heldBytes.bodies);
	metrics.observe('gateway_response_held_bytes', 'Bytes that requests hold of answers that cannot be passed on yet.', () => gateway.heldBytes.responses);
	metrics.observe('gateway_peers', 'Connected peer gateways.', () => peers.count);
	metrics.observeEach('gateway_peer_sent_bytes', 'Bytes for other instances since the start, by type of message.', 'type', () => peers.sentBytes);
	metrics.observe('gateway_table_version', 'Version of the routing table in force.', () => routingState.table?.version ?? 0);
}
