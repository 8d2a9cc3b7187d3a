import {type EndpointRecord, hasRestarted} from '../../routing/index.js';
import {type RoutingState} from '../table/index.js';
import {type CrashMonitor} from './crash-monitor.js';

/** Whether an incarnation's registration has ended without an announced shutdown, or another incarnation has taken its place. One that states its start for the first time is the same. */
export function isRegistrationLost({directory}: RoutingState, record: EndpointRecord): boolean {
	const entry = directory.entries.get(record.id);
	return entry !== undefined && (hasRestarted(record, entry.record) || (entry.endedAt !== undefined && !entry.record.isLeaving));
}

/** Tells the monitor of registrations that end or are back: an endpoint that has fallen silent and is not registered any more has crashed. */
export function watchRegistrations(routingState: RoutingState, monitor: CrashMonitor): void {
	routingState.onChange(change => {
		const now = performance.now();
		const recordOf = (id: string): EndpointRecord[] => {
			const entry = routingState.directory.entries.get(id);
			return entry === undefined ? [] : [entry.record];
		};

		switch (change.type) {
			case 'endpoints': {
				for (const record of change.changes.flatMap(one => recordOf(one.type === 'registered' ? one.record.id : one.id))) {
					monitor.recordRegistration(record, now);
				}

				break;
			}

			case 'reborn': {
				for (const record of change.restarts.flatMap(({id}) => recordOf(id))) {
					monitor.recordRestart(record, now);
				}

				break;
			}

			case 'table':
			case 'era': {
				// Neither ends a registration.
				break;
			}
		}
	});
}
