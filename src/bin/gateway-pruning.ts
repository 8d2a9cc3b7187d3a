import {type ConnectionPools, type CrashArchive, type CrashLedger, type Dispatcher, observePaces, type RoutingState} from '../gateway/index.js';
import {type Metrics} from '../telemetry/index.js';

/** The parts whose records expire. */
export type PrunedParts = {
	readonly routingState: RoutingState;
	readonly dispatcher: Dispatcher;
	readonly crashes: CrashLedger;
	readonly crashArchive: CrashArchive;
	readonly connectionPools: ConnectionPools;
};

const pruneMilliseconds = 10_000;

/** Discards at intervals what has expired, or belongs to endpoints that are gone, and updates the metrics of paces; until it is disposed of. */
export function startPruning(metrics: Metrics, parts: PrunedParts): Disposable {
	const updatePaceMetrics = observePaces(metrics, parts.dispatcher.loadTracker.paces);
	const timer = setInterval(() => {
		prune(parts, updatePaceMetrics);
	}, pruneMilliseconds);
	return {
		[Symbol.dispose]() {
			clearInterval(timer);
		},
	};
}

function prune({routingState, dispatcher, crashes, crashArchive, connectionPools}: PrunedParts, updatePaceMetrics: () => void): void {
	const now = performance.now();
	routingState.prune(now);
	dispatcher.loadTracker.prune(now);
	updatePaceMetrics();
	dispatcher.statements.prune(now);
	crashes.prune(now);
	crashArchive.prune(now);
	dispatcher.statements.handleFleetChange(now);
	connectionPools.retain(new Set(routingState.directory.entries.keys()));
}
