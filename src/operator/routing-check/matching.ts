/** Which routes no request can match, or match other requests than they seem to. Follows how `RoutingTable.findRoute` and `access` choose. */
import {isPath, type Route, type RoutingTableInput} from '../../routing/index.js';
import {type MatchingFinding, type NeverMatches, type TableFinding} from './findings.js';
import {isUsableKey} from './keys.js';

type Located<Finding> = Finding & Pick<TableFinding, 'place'>;

/** Host names, IPv4 and bracketed IPv6 addresses in lower case, by the characters of RFC 3986. */
const hostPattern = /^(?:(?:[\da-z_\-.~!$'\(\)*+,;=]|%|&)+|\[[\da-f:.]+\])$/v;
const portPattern = /:\d+$/v;
/** The path of a request to a whole server, `OPTIONS *`. */
const serverPath = '*';

/** Checks which requests the routes of a table match. */
export function checkMatching(table: RoutingTableInput): ReadonlyArray<Located<MatchingFinding>> {
	return [...table.routes.flatMap((route, index) => checkRoute(route, index, table.routes)), ...checkAccess(table)];
}

/** Why no request matches a route of a list; undefined if some do. */
export function whyNeverMatches(route: Route, index: number, routes: readonly Route[]): NeverMatches | undefined {
	return whyHostNeverMatches(route) ?? whyPrefixNeverMatches(route) ?? whyHidden(route, index, routes);
}

function checkRoute(route: Route, index: number, routes: readonly Route[]): ReadonlyArray<Located<MatchingFinding>> {
	const {name, host, pathPrefix, shares} = route;
	const findings: Array<Located<MatchingFinding>> = [];
	const reason = whyNeverMatches(route, index, routes);
	if (reason !== undefined) {
		findings.push({type: 'never-matches', route: name, reason, place: {type: 'route', route: index, field: fieldOf(reason)}});
	}

	if (reason === undefined && host === '') {
		findings.push({type: 'empty-host', route: name, place: {type: 'route', route: index, field: 'host'}});
	}

	for (const field of ['host', 'pathPrefix'] as const) {
		if (route[field].includes('*')) {
			findings.push({type: 'literal-wildcard', text: route[field], place: {type: 'route', route: index, field}});
		}
	}

	if (reason === undefined && pathPrefix !== '' && !pathPrefix.endsWith('/')) {
		findings.push({type: 'open-prefix', pathPrefix, place: {type: 'route', route: index, field: 'pathPrefix'}});
	}

	if (shares.length === 0) {
		findings.push({type: 'no-service', route: name, place: {type: 'route', route: index, field: 'shares'}});
	}

	return findings;
}

function whyHostNeverMatches({host}: Route): NeverMatches | undefined {
	if (host === '' || hostPattern.test(host)) {
		return undefined;
	}

	return {type: portPattern.test(host) ? 'host-with-port' : 'host-characters'};
}

function whyPrefixNeverMatches({pathPrefix}: Route): NeverMatches | undefined {
	if (pathPrefix === '' || pathPrefix === serverPath || isPath(pathPrefix)) {
		return undefined;
	}

	return {type: pathPrefix.startsWith('/') ? 'prefix-characters' : 'prefix-without-slash'};
}

/**
 * A longer prefix of another route takes only what continues it, so the path that equals this prefix remains. Only a route with the
 * same prefix takes everything; of these the first one of the table does.
 */
function whyHidden({host, pathPrefix}: Route, index: number, routes: readonly Route[]): NeverMatches | undefined {
	const byRoute = routes.findIndex(other => other.host === host && other.pathPrefix === pathPrefix);
	return byRoute < index ? {type: 'same-prefix', by: routes[byRoute]!.name, byRoute} : undefined;
}

function fieldOf({type}: NeverMatches): 'host' | 'pathPrefix' {
	switch (type) {
		case 'host-with-port':
		case 'host-characters': {
			return 'host';
		}

		case 'same-prefix':
		case 'prefix-without-slash':
		case 'prefix-characters': {
			return 'pathPrefix';
		}
	}
}

/** Without workspaces callers need no key; with workspaces that have none, nobody gets past a route that is not public. */
function checkAccess({routes, workspaces}: RoutingTableInput): ReadonlyArray<Located<MatchingFinding>> {
	const closed = routes.filter(({isPublic}) => !isPublic).map(({name}) => name);
	const isOpen = workspaces === undefined || workspaces.some(({keys}) => keys.some(key => isUsableKey(key)));
	return isOpen || closed.length === 0 ? [] : [{type: 'no-key-opens', routes: closed, place: {type: 'table', field: 'workspaces'}}];
}
