import {type QueueReport, type QueueReporter} from '../../policy/dispatch/index.js';
import {type PlacementQueue} from './placement-queue.js';

/**
 * The reports of the queued requests that other instances are to receive now. Latency-critical streams are omitted, because they are placed first without it,
 * and so are deferred requests, because they delay no other request. Whether a request is deferred depends on its last search only:
 * if it was deferred once and has found no free engine since, it must be reported, or less urgent requests of other instances
 * would take the slots that become free.
 */
export function queueReports(reporter: QueueReporter, queue: PlacementQueue, now: number): readonly QueueReport[] {
	if (!reporter.isDue(queue.size > 0, now)) {
		return [];
	}

	const waiting = [...queue.requests].filter(({demand, isDeferred}) => !demand.isLatencyCritical && isDeferred !== true);
	return reporter.events(waiting, now);
}
