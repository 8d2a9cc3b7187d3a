/** Which requests go elsewhere than before, and which keys count for others. Follows how `RoutingTable` chooses and `chooseService` weighs. */
import {type Route, RoutingTable, type RoutingTableInput, type ServiceShare, type Workspace} from '../../routing/index.js';
import {type Destination, type KeyMovement, type Movement, type Target} from './comparison.js';
import {fingerprintOf} from './keys.js';
import {whyNeverMatches} from './matching.js';

/** Parts of the requests that differ by less than this count as equal: they are sums of rounded numbers. */
const smallestShareDifference = 1e-9;

/**
 * The requests that go elsewhere, by host and path prefix. Within one of the prefixes of either version, all requests that no longer
 * prefix takes are handled alike in both; the path that equals the prefix stands for them.
 */
export function findMovements(before: RoutingTableInput, after: RoutingTableInput): readonly Movement[] {
	const tables = {before: RoutingTable.create(before), after: RoutingTable.create(after)};
	return findRegions([before, after]).flatMap(({host, pathPrefix}): Movement[] => {
		const movement = {host, pathPrefix, before: targetOf(tables.before, host, pathPrefix), after: targetOf(tables.after, host, pathPrefix)};
		return isSameTarget(movement.before, movement.after) ? [] : [movement];
	});
}

/** The keys that count for another workspace than before, or for none. */
export function findKeyMovements(before: RoutingTableInput, after: RoutingTableInput): readonly KeyMovement[] {
	const earlier = holdersOf(before.workspaces);
	const later = holdersOf(after.workspaces);
	return [...new Set([...earlier.keys(), ...later.keys()])].flatMap((key): KeyMovement[] =>
		earlier.get(key) === later.get(key) ? [] : [{fingerprint: fingerprintOf(key), before: earlier.get(key), after: later.get(key)}]);
}

type Region = Pick<Route, 'host' | 'pathPrefix'>;

function findRegions(versions: readonly RoutingTableInput[]): readonly Region[] {
	const regions = versions.flatMap(({routes}) => routes
		.filter((route, index) => whyNeverMatches(route, index, routes) === undefined)
		.map(({host, pathPrefix}): [string, Region] => [JSON.stringify([host, pathPrefix]), {host, pathPrefix}]));
	return [...new Map(regions).values()].toSorted((left, right) => compareTexts(left.host, right.host) || compareTexts(left.pathPrefix, right.pathPrefix));
}

function compareTexts(left: string, right: string): number {
	return left < right ? -1 : (left > right ? 1 : 0);
}

function targetOf(table: RoutingTable, host: string, path: string): Target {
	const route = table.findRoute(host, path);
	const destinations = destinationsOf(route?.shares ?? []);
	return route === undefined || destinations.length === 0
		? {type: 'nowhere'}
		: {type: 'services', route: route.name, destinations, opensTo: table.access(route, undefined).type === 'allowed' ? 'everyone' : 'keys'};
}

/** The part of the requests that goes to each service; without any weight all go to the last one. */
function destinationsOf(shares: readonly ServiceShare[]): readonly Destination[] {
	const total = shares.reduce((sum, {weight}) => sum + weight, 0);
	if (total === 0) {
		return shares.slice(-1).map(({service}) => ({service, share: 1}));
	}

	const parts = new Map<string, number>();
	for (const {service, weight} of shares) {
		parts.set(service, (parts.get(service) ?? 0) + (weight / total));
	}

	return Array.from(parts, ([service, share]) => ({service, share})).filter(({share}) => share > 0);
}

function isSameTarget(before: Target, after: Target): boolean {
	if (before.type === 'nowhere' || after.type === 'nowhere') {
		return before.type === after.type;
	}

	return before.opensTo === after.opensTo && before.destinations.length === after.destinations.length
		&& before.destinations.every(({service, share}) => Math.abs(shareOf(after.destinations, service) - share) < smallestShareDifference);
}

function shareOf(destinations: readonly Destination[], service: string): number {
	return destinations.find(destination => destination.service === service)?.share ?? 0;
}

/** For each key the workspace that it counts for: the last one that has it. */
function holdersOf(workspaces: readonly Workspace[] = []): ReadonlyMap<string, string> {
	return new Map(workspaces.flatMap(({name, keys}) => keys.map((key): [string, string] => [key, name])));
}
