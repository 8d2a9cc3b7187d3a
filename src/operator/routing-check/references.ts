/** References that lead nowhere, names and keys that are not unique, and what other instances refuse. Follows how `RoutingTable` resolves them. */
import {type Route, routingTableSchema, type RoutingTableInput, type Workspace} from '../../routing/index.js';
import {type ReferenceFinding, type TableFinding} from './findings.js';
import {fingerprintOf, isUsableKey} from './keys.js';
import {type ServiceField, type TablePlace, type WorkspaceField} from './places.js';

type Located = ReferenceFinding & Pick<TableFinding, 'place'>;

/** Checks what the entries of a table refer to, and by what they are referred to. */
export function checkReferences(table: RoutingTableInput): readonly Located[] {
	const {routes, services, workspaces = []} = table;
	const names = new Set(services.map(({name}) => name));
	return [
		...routes.flatMap((route, index) => [...checkShares(route, index, names), ...checkWeights(route, index)]),
		...findUnusedServices(table),
		...findRepeated(routes).map(([index, name]): Located => ({type: 'repeated-name', kind: 'route', name, place: {type: 'route', route: index, field: 'name'}})),
		...findRepeated(services).map(([index, service]): Located => ({type: 'repeated-service', service, place: {type: 'service', service: index, field: 'name'}})),
		...findRepeated(workspaces).map(([index, name]): Located => ({type: 'repeated-name', kind: 'workspace', name, place: {type: 'workspace', workspace: index, field: 'name'}})),
		...checkKeys(workspaces),
		...findRefused(table),
	];
}

function checkShares({shares}: Route, route: number, names: ReadonlySet<string>): readonly Located[] {
	return shares.flatMap(({service}, share): Located[] => names.has(service) ? [] : [{type: 'unknown-service', service, place: {type: 'share', route, share, field: 'service'}}]);
}

function checkWeights({shares}: Route, route: number): readonly Located[] {
	const last = shares.at(-1);
	if (last !== undefined && shares.every(({weight}) => weight === 0)) {
		return [{type: 'no-weight', service: last.service, place: {type: 'route', route, field: 'shares'}}];
	}

	return shares.flatMap(({service, weight}, share): Located[] => weight === 0 ? [{type: 'zero-weight', service, place: {type: 'share', route, share, field: 'weight'}}] : []);
}

function findUnusedServices({routes, services}: RoutingTableInput): readonly Located[] {
	const used = new Set(routes.flatMap(({shares}) => shares.map(({service}) => service)));
	return services.flatMap(({name}, index): Located[] => used.has(name) ? [] : [{type: 'unused-service', service: name, place: {type: 'service', service: index, field: 'name'}}]);
}

/** The entries whose name an earlier one has. */
function findRepeated(entries: ReadonlyArray<{readonly name: string}>): ReadonlyArray<readonly [index: number, name: string]> {
	const seen = new Set<string>();
	return entries.flatMap(({name}, index) => {
		const isRepeated = seen.has(name);
		seen.add(name);
		return isRepeated ? [[index, name] as const] : [];
	});
}

function checkKeys(workspaces: readonly Workspace[]): readonly Located[] {
	return workspaces.flatMap(({name, keys}, workspace) => [
		...(keys.length === 0 ? [{type: 'workspace-without-keys', workspace: name, place: {type: 'workspace', workspace, field: 'keys'}} as const] : []),
		...keys.flatMap((key, index) => checkKey(key, {workspaces, workspace, index})),
	]);
}

/** The position of a key in the list of all workspaces. */
type KeyPosition = {readonly workspaces: readonly Workspace[]; readonly workspace: number; readonly index: number};

function checkKey(key: string, {workspaces, workspace, index}: KeyPosition): readonly Located[] {
	const place: TablePlace = {type: 'key', workspace, key: index};
	const fingerprint = fingerprintOf(key);
	const findings: Located[] = [];
	if (!isUsableKey(key)) {
		findings.push({type: 'unusable-key', fingerprint, place});
	}

	if (workspaces[workspace]!.keys.indexOf(key) < index) {
		return [...findings, {type: 'repeated-key', fingerprint, place}];
	}

	const holders = workspaces.slice(0, workspace).filter(({keys}) => keys.includes(key));
	return holders.length === 0
		? findings
		: [...findings, {type: 'shared-key', fingerprint, workspaces: [...holders, workspaces[workspace]!].map(({name}) => name), place}];
}

/** Instances validate the tables that they get from each other more strictly than the store's record is decoded. */
function findRefused(table: RoutingTableInput): readonly Located[] {
	const {error} = routingTableSchema.safeParse(table);
	return (error?.issues ?? []).map(({path, message}): Located => ({type: 'refused-by-instances', reason: message, place: placeOf(path)}));
}

/** The place that a path of the instances' schema leads to. */
function placeOf([list, index, field, ...rest]: readonly PropertyKey[]): TablePlace {
	const position = Number(index);
	if (list === 'routes') {
		return field === 'shares' && rest.length === 2
			? {type: 'share', route: position, share: Number(rest[0]), field: rest[1] as 'service' | 'weight'}
			: {type: 'route', route: position, field: field as keyof Route};
	}

	if (list === 'services') {
		return {type: 'service', service: position, field: [field, ...rest].join('.') as ServiceField};
	}

	return list === 'workspaces'
		? {type: 'workspace', workspace: position, field: field as WorkspaceField}
		: {type: 'table', field: 'version'};
}
