/**
 * Limits that contradict each other, or have no effect, by how the gateway uses them: a request is ended at the timeout of its route,
 * leaves a silent endpoint by `failoverAt`, and is repeated only as a `safe` request or a resumable stream; orders of endpoints are
 * clamped to the bounds of their service.
 */
import {failoverAt} from '../../policy/dispatch/index.js';
import {type Route, RouteKind, type RoutingTableInput, type Service} from '../../routing/index.js';
import {type LimitFinding, type TableFinding} from './findings.js';

type Located = LimitFinding & Pick<TableFinding, 'place'>;

/** Checks the limits of a table's routes and services. */
export function checkLimits({routes, services}: RoutingTableInput): readonly Located[] {
	return [
		...routes.flatMap((route, index) => [...checkTimes(route, index), ...checkAttempts(route, index), ...checkStreamFields(route, index)]),
		...services.flatMap((service, index) => [...checkScale(service, index), ...checkSlots(service, index)]),
	];
}

function checkTimes({kind, targetMilliseconds, timeoutMilliseconds, longestPauseMilliseconds}: Route, route: number): readonly Located[] {
	const findings: Located[] = [];
	if (targetMilliseconds > timeoutMilliseconds) {
		findings.push({type: 'target-beyond-timeout', targetMilliseconds, timeoutMilliseconds, place: {type: 'route', route, field: 'targetMilliseconds'}});
	}

	if (kind === RouteKind.stream && longestPauseMilliseconds !== undefined && longestPauseMilliseconds > timeoutMilliseconds) {
		findings.push({type: 'pause-beyond-timeout', pauseMilliseconds: longestPauseMilliseconds, timeoutMilliseconds, place: {type: 'route', route, field: 'longestPauseMilliseconds'}});
	}

	return findings;
}

/** Each attempt at an endpoint that sends nothing lasts until the failover; attempts that fail at once are shorter. */
function checkAttempts(route: Route, index: number): readonly Located[] {
	const {largestAttempts: attempts, targetMilliseconds, timeoutMilliseconds} = route;
	const place = {type: 'route', route: index, field: 'largestAttempts'} as const;
	if (attempts === 1) {
		return [];
	}

	if (!mayRunTwice(route)) {
		return [{type: 'attempts-without-effect', attempts, place}];
	}

	const silenceMilliseconds = failoverAt({sentAt: 0, lastEventAt: undefined, targetMilliseconds, longestPauseMilliseconds: undefined, expectedMilliseconds: 0});
	const fittingAttempts = Math.ceil(timeoutMilliseconds / silenceMilliseconds);
	return fittingAttempts >= attempts || targetMilliseconds > timeoutMilliseconds
		? []
		: [{type: 'attempts-beyond-timeout', attempts, fittingAttempts, silenceMilliseconds, timeoutMilliseconds, place}];
}

function mayRunTwice({kind, resumable}: Route): boolean {
	switch (kind) {
		case RouteKind.safe: {
			return true;
		}

		case RouteKind.unsafe: {
			return false;
		}

		case RouteKind.stream: {
			return resumable;
		}
	}
}

function checkStreamFields({kind, resumable, longestPauseMilliseconds}: Route, route: number): readonly Located[] {
	if (kind === RouteKind.stream) {
		return [];
	}

	const findings: Located[] = [];
	if (longestPauseMilliseconds !== undefined) {
		findings.push({type: 'pause-without-stream', place: {type: 'route', route, field: 'longestPauseMilliseconds'}});
	}

	if (resumable) {
		findings.push({type: 'resumable-without-stream', place: {type: 'route', route, field: 'resumable'}});
	}

	return findings;
}

function checkScale({name, scale}: Service, service: number): readonly Located[] {
	if (scale === undefined) {
		return [];
	}

	const place = {type: 'service', service, field: 'scale.mostEndpoints'} as const;
	if (scale.leastEndpoints > scale.mostEndpoints) {
		return [{type: 'scale-bounds', least: scale.leastEndpoints, most: scale.mostEndpoints, place}];
	}

	return scale.mostEndpoints === 0 ? [{type: 'scale-to-none', service: name, place}] : [];
}

function checkSlots({engine, largestConnections}: Service, service: number): readonly Located[] {
	return engine === undefined || engine.slots <= largestConnections
		? []
		: [{type: 'slots-beyond-connections', slots: engine.slots, connections: largestConnections, place: {type: 'service', service, field: 'largestConnections'}}];
}
