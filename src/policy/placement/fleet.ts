import {type EndpointId, type RequestId, type RequestSummary, type ZoneName} from '../../model/index.js';
import {type PlacementEvent, type SideView} from './types.js';

/** A reservation or a running request of this entry at one side. */
export type OwnRequest = {readonly phase: 'reserved' | 'offered' | 'started'; readonly since: number};

/** One side: its last report, and this entry's requests there. */
export type SideRecord = {
	readonly view: SideView;
	readonly reportedAt: number;
	/** Estimate of how many of this entry's requests are counted in the last report. */
	readonly ownRequestsReported: number;
	readonly ownRequests: ReadonlyMap<RequestId, OwnRequest>;
	readonly lastReservedAt: number;
};

/** The state that all placement policies share: the sides as this entry sees them. */
export type Fleet = {
	readonly instance: string;
	readonly zone: ZoneName;
	readonly sides: ReadonlyMap<EndpointId, SideRecord>;
	/** Number of reservations made so far, the counter of round robin. */
	readonly reservations: number;
};

export function createFleet(settings: {readonly instance: string; readonly zone: ZoneName}): Fleet {
	return {...settings, sides: new Map(), reservations: 0};
}

/** Applies an event. Repeated events don't count a request twice; events of an unknown side are ignored. */
export function stepFleet(fleet: Fleet, event: PlacementEvent, now: number): Fleet {
	switch (event.type) {
		case 'side-seen': {
			const before = fleet.sides.get(event.side.endpoint);
			const ownRequests = before?.ownRequests ?? new Map<RequestId, OwnRequest>();
			return withSide(fleet, {
				view: event.side, reportedAt: now, ownRequests, ownRequestsReported: countReported(ownRequests, now), lastReservedAt: before?.lastReservedAt ?? -Infinity,
			});
		}

		case 'side-lost': {
			const sides = new Map(fleet.sides);
			sides.delete(event.endpoint);
			return {...fleet, sides};
		}

		case 'reserved': {
			const reserved = setOwnRequest(fleet, event, 'reserved', now);
			return {...reserved, reservations: fleet.reservations + 1};
		}

		case 'offered':
		case 'started': {
			return setOwnRequest(fleet, event, event.type, now);
		}

		case 'refused':
		case 'withdrawn':
		case 'ended': {
			return removeOwnRequest(fleet, event);
		}

		case 'first-token':
		case 'progressed':
		case 'tick': {
			return fleet;
		}
	}
}

/** A report is at least one network transit old when it arrives: half a round trip between availability zones, plus a margin. */
const reportLagMilliseconds = 2;

function countReported(ownRequests: ReadonlyMap<RequestId, OwnRequest>, now: number): number {
	let count = 0;
	for (const {since} of ownRequests.values()) {
		count += since <= now - reportLagMilliseconds ? 1 : 0;
	}

	return count;
}

function withSide(fleet: Fleet, side: SideRecord): Fleet {
	return {...fleet, sides: new Map(fleet.sides).set(side.view.endpoint, side)};
}

type OwnRequestEvent = {readonly endpoint: EndpointId; readonly request: RequestId};

function setOwnRequest(fleet: Fleet, event: OwnRequestEvent, phase: OwnRequest['phase'], now: number): Fleet {
	const side = fleet.sides.get(event.endpoint);
	if (!side) {
		return fleet;
	}

	const since = side.ownRequests.get(event.request)?.since ?? now;
	const lastReservedAt = phase === 'reserved' ? now : side.lastReservedAt;
	return withSide(fleet, {...side, ownRequests: new Map(side.ownRequests).set(event.request, {phase, since}), lastReservedAt});
}

function removeOwnRequest(fleet: Fleet, event: OwnRequestEvent): Fleet {
	const side = fleet.sides.get(event.endpoint);
	if (!side?.ownRequests.has(event.request)) {
		return fleet;
	}

	const ownRequests = new Map(side.ownRequests);
	ownRequests.delete(event.request);
	return withSide(fleet, {...side, ownRequests});
}

/** The reason code if a side can't take this request at all, or undefined if it can. */
export function unusableReason(side: SideRecord, summary: RequestSummary, excluded: ReadonlySet<EndpointId>): string | undefined {
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

/** The sides that may take the request, sorted by endpoint, and the reason codes of the others. */
export function usableSides(fleet: Fleet, summary: RequestSummary, excluded: ReadonlySet<EndpointId>): {
	readonly usable: readonly SideRecord[];
	readonly reasons: ReadonlyArray<{readonly endpoint: EndpointId; readonly reason: string}>;
} {
	const usable: SideRecord[] = [];
	const reasons: Array<{endpoint: EndpointId; reason: string}> = [];
	for (const side of fleet.sides.values()) {
		const reason = unusableReason(side, summary, excluded);
		if (reason === undefined) {
			usable.push(side);
		} else if (reason !== 'other-target') {
			reasons.push({endpoint: side.view.endpoint, reason});
		}
	}

	usable.sort((left, right) => left.view.endpoint < right.view.endpoint ? -1 : 1);
	return {usable, reasons};
}
