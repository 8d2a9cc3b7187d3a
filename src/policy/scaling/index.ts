/**
 * Load pattern: a service's work rises within seconds and falls within minutes, and an endpoint that is ordered now serves only after its
 * boot time. Without headroom for that time a burst waits for the boot; without a slow way down each lull ends with too few endpoints.
 *
 * Work is measured in endpoints: how many of them it would fill. The forecast is the work now and its rise until an endpoint that is
 * ordered now would serve, with headroom and one endpoint more, whose loss is then no loss of service. The largest forecast of a while
 * counts, so that the number falls only after the work has been low for that long.
 */
import {type ZoneName} from '../../model/index.js';

/** Bounds of a service's endpoints in each availability zone, and the time from an order until an endpoint serves. */
export type ScaleBounds = {readonly least: number; readonly most: number; readonly bootMilliseconds: number};

/** Endpoints of a service in one availability zone. */
export type ZoneSample = {
	readonly zone: ZoneName;
	/** False if the zone is cut off: what was ordered there stays as it is. */
	readonly isReachable: boolean;
	/** Endpoints whose running requests would be lost if they were taken away. */
	readonly occupied: number;
};

/** What is known of one service at one moment. */
export type ServiceSample = {
	readonly service: string;
	readonly bounds: ScaleBounds;
	readonly zones: readonly ZoneSample[];
	/** Work in progress and waiting, in endpoints that it would fill. */
	readonly work: number;
};

/** An order: a service should have this many endpoints in a zone. */
export type ScaleOrder = {readonly service: string; readonly zone: ZoneName; readonly desired: number};

/** The trend of one service's work, and the largest forecast of late. */
type ServiceTrend = {readonly work: number; readonly slope: number; readonly at: number; readonly peaks: ReadonlyArray<{readonly at: number; readonly needed: number}>};

export type ScalingState = {
	readonly trends: ReadonlyMap<string, ServiceTrend>;
	/** The newest number wanted of each service and zone. */
	readonly wanted: ReadonlyMap<string, ScaleOrder>;
	/** The newest number that was accepted. */
	readonly accepted: ReadonlyMap<string, number>;
};

/** Endpoints are ordered so that their work fills this share of them. */
const targetUtilization = 0.65;
/** Endpoints beyond the forecast: the loss of one changes nothing. */
const spareEndpoints = 1;
/** Time constants of the averages of the work and of its slope. */
const workWindowMilliseconds = 2000;
const slopeWindowMilliseconds = 6000;
/** The forecast is at most this many times the work: a slope that a burst shows for a moment would order a whole fleet. */
const largestRise = 2;
/** Forecasts of this long count: at least so long, and at least so many boot times. */
const peakMilliseconds = 60_000;
const peakBoots = 4;

export function createScaling(): ScalingState {
	return {trends: new Map(), wanted: new Map(), accepted: new Map()};
}

/** Takes new samples. A service that has no sample any more keeps what was ordered. */
export function stepScaling(state: ScalingState, samples: readonly ServiceSample[], now: number): ScalingState {
	const trends = new Map(state.trends);
	const wanted = new Map(state.wanted);
	for (const sample of samples) {
		const trend = advanceTrend(state.trends.get(sample.service), sample, now);
		trends.set(sample.service, trend);
		for (const order of wantedOrders(sample, trend)) {
			wanted.set(orderKey(order), order);
		}
	}

	return {...state, trends, wanted};
}

/** Orders that were not accepted as they are wanted now. */
export function dueOrders({wanted, accepted}: ScalingState): ScaleOrder[] {
	return [...wanted].filter(([key, {desired}]) => accepted.get(key) !== desired).map(([, order]) => order);
}

/** Notes that an order was accepted. One whose outcome is unknown stays due, and is sent again as it is wanted by then. */
export function recordAccepted(state: ScalingState, order: ScaleOrder): ScalingState {
	return {...state, accepted: new Map([...state.accepted, [orderKey(order), order.desired]])};
}

function advanceTrend(before: ServiceTrend | undefined, {work, bounds}: ServiceSample, now: number): ServiceTrend {
	const since = before === undefined ? 0 : now - before.at;
	const average = before === undefined ? work : blend(before.work, work, since / workWindowMilliseconds);
	const slope = before === undefined || since === 0 ? 0 : blend(before.slope, (average - before.work) / since, since / slopeWindowMilliseconds);
	const rise = Math.min(work * (largestRise - 1), Math.max(0, slope * bounds.bootMilliseconds));
	const needed = ((Math.max(work, average) + rise) / targetUtilization) + spareEndpoints;
	const keptFrom = now - Math.max(peakMilliseconds, peakBoots * bounds.bootMilliseconds);
	// Only peaks that are not exceeded by a later one can still count.
	const peaks = [...(before?.peaks ?? []).filter(peak => peak.at >= keptFrom && peak.needed > needed), {at: now, needed}];
	return {work: average, slope, at: now, peaks};
}

function wantedOrders({service, bounds, zones}: ServiceSample, {peaks}: ServiceTrend): ScaleOrder[] {
	const reachable = zones.filter(({isReachable}) => isReachable);
	const total = Math.max(...peaks.map(({needed}) => needed));
	return reachable.map(({zone, occupied}) => {
		const share = Math.ceil(total / reachable.length);
		return {service, zone, desired: Math.min(bounds.most, Math.max(bounds.least, share, occupied))};
	});
}

function orderKey({service, zone}: ScaleOrder): string {
	return JSON.stringify([service, zone]);
}

/** An exponential average after a time, given in time constants. */
function blend(before: number, value: number, timeConstants: number): number {
	return value + ((before - value) * Math.exp(-timeConstants));
}
