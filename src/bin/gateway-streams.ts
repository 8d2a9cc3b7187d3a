import {type RoutingState, type StreamPeers, StreamRegistry} from '../gateway/index.js';
import {forPart, type Logger, type Metrics} from '../telemetry/index.js';

/** What the registry of streams needs of the process. */
export type StreamParts = {readonly routingState: RoutingState; readonly peers: () => StreamPeers; readonly metrics: Metrics; readonly logger: Logger};

/** Opens the registry of the builds that began streams, and its metrics. */
export function openStreams({routingState, peers, metrics, logger}: StreamParts): StreamRegistry {
	const takeUps = metrics.counter('gateway_stream_take_ups_total', 'Streams that callers took up, by what decided whether they go on.', ['reason']);
	const streams = StreamRegistry.create({
		routingState, peers, logger: forPart(logger, 'Streams'),
		onTakeUp(reason) {
			takeUps.add(1, {reason});
		},
	});
	metrics.observe('gateway_stream_origins', 'Streams of which this instance knows the build that began them.', () => streams.size);
	return streams;
}
