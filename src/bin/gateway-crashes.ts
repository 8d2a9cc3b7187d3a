import {CrashArchive, CrashLedger, type CrashNews, isRegistrationLost, type RoutingState, watchRegistrations} from '../gateway/index.js';
import {forPart, type Logger, type Metrics} from '../telemetry/index.js';
import {type GatewayStore} from './gateway-adapter.js';

/** What the records of crashes need of the process. */
export type CrashParts = {
	readonly instance: string;
	readonly store: GatewayStore;
	readonly routingState: RoutingState;
	/** Names of the instances that are there. */
	readonly instances: () => readonly string[];
	/** Called with what the other instances need to know. */
	readonly onNews: (news: CrashNews) => void;
	readonly metrics: Metrics;
	readonly logger: Logger;
};

/** The records of requests that crash endpoints, in memory and in the store. */
export type Crashes = {readonly ledger: CrashLedger; readonly archive: CrashArchive};

/** Opens the ledger and its archive, and their metrics. */
export function openCrashes({instance, store, routingState, instances, onNews, metrics, logger}: CrashParts): Crashes {
	const evidence = metrics.counter('gateway_crash_evidence_total', 'Evidence that a request crashed an endpoint, by what became of it.', ['verdict']);
	const ledger = CrashLedger.create({
		instance,
		instances,
		logger: forPart(logger, 'Crashes'),
		isLost: record => isRegistrationLost(routingState, record),
		onNews,
		onOwnNews(kind) {
			archive.save(kind);
		},
		onEvidence(verdict) {
			evidence.add(1, {verdict});
		},
	});
	watchRegistrations(routingState, ledger.monitor);
	const archive = CrashArchive.create({instance, write: async stored => store.writeCrashes(stored), ledger, logger: forPart(logger, 'Crashes'), instances});
	store.onEra(() => {
		if (ledger.crashCount > 0) {
			archive.save('crash');
		}
	});
	metrics.observe('gateway_endpoint_crashes', 'Endpoints that crashed with requests of this instance or its peers, as far as they still count.', () => ledger.crashCount);
	metrics.observe('gateway_pending_crashes', 'Endpoints that may have crashed with requests of this instance or its peers.', () => ledger.pendingCount);
	return {ledger, archive};
}
