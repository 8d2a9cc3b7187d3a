import {groupKeyOf, type MemoryShortage, type ScanResults} from '../../policy/dispatch/index.js';
import {type PlacementRequest} from './decision.js';

/** The wait of a group of requests, and the room that they lack if it is for that. */
export type GroupWait = {readonly milliseconds: number; readonly memory: MemoryShortage | undefined};

/** The wait that a search for another request of its group has found; a latency-critical stream always has a search of its own. */
export function groupWait(results: ScanResults, request: PlacementRequest): GroupWait | undefined {
	if (request.demand.isLatencyCritical) {
		return undefined;
	}

	const group = groupKeyOf(request);
	const milliseconds = results.waitMilliseconds(group);
	const memory = milliseconds === undefined ? results.shortage(group, request.demand.parts) : undefined;
	return milliseconds === undefined && memory === undefined ? undefined : {milliseconds: milliseconds ?? memory!.milliseconds, memory};
}
