import {type EndpointId, type RequestId, type RequestSummary, type ZoneName} from '../../model/index.js';
import {type PlacementEvent, type SideView} from './types.js';

/** A reservation or a running request of this entry at one side. */
export type OwnRequest = {readonly phase: 'reserved' | 'offered' | 'started'; readonly since: number};

/** One side: its last report, and what this entry has there. */
export type SideRecord = {
	readonly view: SideView;
	readonly seenAt: number;
	/** How many of our requests the last report has counted, as far as we can tell. */
	readonly ownReported: number;
	readonly own: ReadonlyMap<RequestId, OwnRequest>;
	readonly lastReservedAt: number;
};

/** What every placement keeps: the sides as this entry sees them. */
export type Fleet = {
	readonly instance: string;
	readonly zone: ZoneName;
	readonly sides: ReadonlyMap<EndpointId, SideRecord>;
	/** Reservations made so far, which round robin counts by. */
	readonly reservations: number;
};

export function createFleet(settings: {readonly instance: string; readonly zone: ZoneName}): Fleet {
	return {...settings, sides: new Map(), reservations: 0};
}

/** Applies an event. Repeated events change nothing; events of an unknown side are ignored. */
export function stepFleet(fleet: Fleet, event: PlacementEvent, now: number): Fleet {
	switch (event.type) {
		case 'side-seen': {
			const before = fleet.sides.get(event.side.endpoint);
			const own = before?.own ?? new Map<RequestId, OwnRequest>();
			return withSide(fleet, {
				view: event.side, seenAt: now, own, ownReported: countReported(own, now), lastReservedAt: before?.lastReservedAt ?? -Infinity,
			});
		}

		case 'side-lost': {
			const sides = new Map(fleet.sides);
			sides.delete(event.endpoint);
			return {...fleet, sides};
		}

		case 'reserved': {
			const reserved = withOwn(fleet, event, 'reserved', now);
			return {...reserved, reservations: fleet.reservations + 1};
		}

		case 'offered':
		case 'started': {
			return withOwn(fleet, event, event.type, now);
		}

		case 'refused':
		case 'withdrawn':
		case 'ended': {
			return withoutOwn(fleet, event);
		}

		case 'first-token':
		case 'progressed':
		case 'tick': {
			return fleet;
		}
	}
}

/** A report that comes now was made at least a one-way trip ago: half a round trip between availability zones, and a little. */
const reportLagMilliseconds = 2;

function countReported(own: ReadonlyMap<RequestId, OwnRequest>, now: number): number {
	let count = 0;
	for (const {since} of own.values()) {
		count += since <= now - reportLagMilliseconds ? 1 : 0;
	}

	return count;
}

function withSide(fleet: Fleet, side: SideRecord): Fleet {
	return {...fleet, sides: new Map(fleet.sides).set(side.view.endpoint, side)};
}

type OwnEvent = {readonly endpoint: EndpointId; readonly request: RequestId};

function withOwn(fleet: Fleet, event: OwnEvent, phase: OwnRequest['phase'], now: number): Fleet {
	const side = fleet.sides.get(event.endpoint);
	if (!side) {
		return fleet;
	}

	const since = side.own.get(event.request)?.since ?? now;
	const lastReservedAt = phase === 'reserved' ? now : side.lastReservedAt;
	return withSide(fleet, {...side, own: new Map(side.own).set(event.request, {phase, since}), lastReservedAt});
}

function withoutOwn(fleet: Fleet, event: OwnEvent): Fleet {
	const side = fleet.sides.get(event.endpoint);
	if (!side?.own.has(event.request)) {
		return fleet;
	}

	const own = new Map(side.own);
	own.delete(event.request);
	return withSide(fleet, {...side, own});
}

/** Why a side can't take this request at all, or undefined if it can. */
export function unusable(side: SideRecord, summary: RequestSummary, excluded: ReadonlySet<EndpointId>): string | undefined {
	if (!side.view.targets.includes(summary.target)) {
		return 'other-target';
	}

	if (side.view.leaving) {
		return 'leaving';
	}

	if (!side.view.connected) {
		return 'not-connected';
	}

	return excluded.has(side.view.endpoint) ? 'excluded' : undefined;
}

/** The sides that may take the request, in the order of their names, and why the others may not. */
export function usableSides(fleet: Fleet, summary: RequestSummary, excluded: ReadonlySet<EndpointId>): {
	readonly usable: readonly SideRecord[];
	readonly reasons: ReadonlyArray<{readonly endpoint: EndpointId; readonly reason: string}>;
} {
	const usable: SideRecord[] = [];
	const reasons: Array<{endpoint: EndpointId; reason: string}> = [];
	for (const side of fleet.sides.values()) {
		const reason = unusable(side, summary, excluded);
		if (reason === undefined) {
			usable.push(side);
		} else if (reason !== 'other-target') {
			reasons.push({endpoint: side.view.endpoint, reason});
		}
	}

	usable.sort((left, right) => left.view.endpoint < right.view.endpoint ? -1 : 1);
	return {usable, reasons};
}
