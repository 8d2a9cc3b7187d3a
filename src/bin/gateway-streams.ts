import {BuildHistory, type RoutingState, type StreamPeers, StreamRegistry} from '../gateway/index.js';
import {forPart, type Logger, type Metrics} from '../telemetry/index.js';
import {type GatewayStore} from './gateway-adapter.js';

/** What the registry of streams needs of the process. */
export type StreamParts = {
	readonly instance: string;
	/** Whether the whole system starts for the first time. */
	readonly isFirstStart: boolean;
	/** Names of the instances that are there. */
	readonly instances: () => readonly string[];
	readonly store: GatewayStore;
	readonly routingState: RoutingState;
	readonly peers: () => StreamPeers;
	/** Reads the registrations again; false if the store has not answered within the time. */
	readonly readEndpoints: (milliseconds: number) => Promise<boolean>;
	readonly metrics: Metrics;
	readonly logger: Logger;
};

/** The builds that began streams, and those that serve services or did until lately. */
export type Streams = {readonly registry: StreamRegistry; readonly builds: BuildHistory};

/** Opens the registry of the builds that began streams, and its metrics. */
export function openStreams({instance, isFirstStart, instances, store, routingState, peers, metrics, logger, readEndpoints}: StreamParts): Streams {
	const takeUps = metrics.counter('gateway_stream_take_ups_total', 'Streams that callers took up, by what decided whether they go on.', ['reason']);
	const builds = BuildHistory.create({
		instance, isFirstStart, instances, routingState, readEndpoints, random: Math.random, logger: forPart(logger, 'Streams'),
		read: async () => store.readBuilds(),
		write: async stored => store.writeBuilds(stored),
	});
	const registry = StreamRegistry.create({
		builds, peers, logger: forPart(logger, 'Streams'),
		onTakeUp(reason) {
			takeUps.add(1, {reason});
		},
	});
	metrics.observe('gateway_stream_origins', 'Streams of which this instance knows the build that began them.', () => registry.size);
	return {registry, builds};
}
