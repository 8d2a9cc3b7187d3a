import {type ZoneName} from '../../model/index.js';
import {type LoadTracker} from '../../policy/dispatch/index.js';
import {type ServiceSample, type ZoneSample} from '../../policy/scaling/index.js';
import {type FleetView, visibleRequestShare} from '../../policy/sharing/index.js';
import {type EndpointRecord, EndpointStatus, endpointStatusOf, type Service} from '../../routing/index.js';
import {type RoutingState} from '../table/index.js';

export type SampleOptions = {
	readonly routingState: RoutingState;
	readonly loadTracker: LoadTracker;
	readonly view: FleetView;
	/** Whether an endpoint answers. */
	readonly isHealthy: (record: EndpointRecord) => boolean;
	readonly now: number;
};

/** The work of the services whose endpoints can be ordered, as far as reports of load reach this instance. */
export function sampleServices({routingState, loadTracker, view, isHealthy, now}: SampleOptions): ServiceSample[] {
	const entries = [...routingState.directory.entries.values()].filter(entry => endpointStatusOf(entry, now) === EndpointStatus.ready);
	return (routingState.tableInput?.services ?? []).flatMap(service => service.scale === undefined
		? []
		: [sampleService(service, entries.map(({record}) => record).filter(record => record.service === service.name))]);

	function sampleService({name, scale}: Service, records: readonly EndpointRecord[]): ServiceSample {
		const byZone = new Map<ZoneName, EndpointRecord[]>();
		for (const record of records) {
			byZone.set(record.zone, [...byZone.get(record.zone) ?? [], record]);
		}

		const reports = visibleRequestShare(view);
		const work = sumOf(records, record => workOf(record)) / reports;
		return {service: name, bounds: {least: scale!.leastEndpoints, most: scale!.mostEndpoints, bootMilliseconds: scale!.bootMilliseconds}, work, zones: Array.from(byZone, ([zone, members]) => sampleZone(zone, members, reports))};
	}

	function sampleZone(zone: ZoneName, members: readonly EndpointRecord[], reports: number): ZoneSample {
		return {zone, isReachable: members.some(record => isHealthy(record)), occupied: Math.ceil(sumOf(members, record => loadTracker.load(record.id, now).running / record.slots) / reports)};
	}

	/** How much of an endpoint its work fills: its slots or its time for prefill, whichever is more. */
	function workOf(record: EndpointRecord): number {
		const {running, prefillTimeShare} = loadTracker.load(record.id, now);
		return Math.max(running / record.slots, prefillTimeShare);
	}
}

function sumOf<Item>(items: readonly Item[], value: (item: Item) => number): number {
	return items.reduce((sum, item) => sum + value(item), 0);
}
