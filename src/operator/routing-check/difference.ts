import {type RoutingTableInput, type Workspace} from '../../routing/index.js';
import {type EntryChange, type EntryKind, type FieldChange, type TableDifference} from './comparison.js';
import {fingerprintOf} from './keys.js';
import {findKeyMovements, findMovements} from './movements.js';

/** The fields of an entry by name; those of nested objects by their path. */
type Fields = Readonly<Record<string, unknown>>;

/** What differs between two versions: entries, where requests go, and for whom keys count. */
export function compareTables(before: RoutingTableInput, after: RoutingTableInput): TableDifference {
	return {entries: compareEntries(before, after), movements: findMovements(before, after), keys: findKeyMovements(before, after)};
}

function compareEntries(before: RoutingTableInput, after: RoutingTableInput): readonly EntryChange[] {
	return [
		...compareLists('route', before.routes, after.routes),
		...compareLists('service', before.services, after.services),
		...compareLists('workspace', describeWorkspaces(before.workspaces), describeWorkspaces(after.workspaces)),
		...compareLists('limits', [{name: 'limits', ...before.limits}], [{name: 'limits', ...after.limits}]),
	];
}

function describeWorkspaces(workspaces: readonly Workspace[] = []): ReadonlyArray<{readonly name: string}> {
	return workspaces.map(workspace => ({...workspace, keys: workspace.keys.map(key => fingerprintOf(key)).toSorted()}));
}

function compareLists(kind: EntryKind, before: ReadonlyArray<{readonly name: string}>, after: ReadonlyArray<{readonly name: string}>): readonly EntryChange[] {
	const earlier = labelEntries(before);
	const later = labelEntries(after);
	const removed = [...earlier.keys()].filter(name => !later.has(name));
	return [
		...removed.map((name): EntryChange => ({type: 'removed', kind, name})),
		...[...later].flatMap(([name, fields]) => compareEntry({kind, name}, earlier.get(name), fields)),
	];
}

function compareEntry({kind, name}: Pick<EntryChange, 'kind' | 'name'>, before: Fields | undefined, after: Fields): readonly EntryChange[] {
	if (before === undefined) {
		return [{type: 'added', kind, name}];
	}

	const names = new Set([...Object.keys(before), ...Object.keys(after)]);
	const fields = [...names].flatMap((field): FieldChange[] => isSame(before[field], after[field]) ? [] : [{field, before: before[field], after: after[field]}]);
	return fields.length === 0 ? [] : [{type: 'changed', kind, name, fields}];
}

/** The fields of entries by name. An entry whose name an earlier one has is labelled with its position among these. */
function labelEntries(entries: ReadonlyArray<{readonly name: string}>): ReadonlyMap<string, Fields> {
	const counts = new Map<string, number>();
	const labelled = new Map<string, Fields>();
	for (const entry of entries) {
		const count = (counts.get(entry.name) ?? 0) + 1;
		counts.set(entry.name, count);
		labelled.set(count === 1 ? entry.name : `${entry.name} (${count})`, Object.fromEntries(flatten(entry)));
	}

	return labelled;
}

function flatten(entry: Fields, parent = ''): Array<[string, unknown]> {
	return Object.entries(entry).flatMap(([name, value]) => isFields(value) ? flatten(value, `${parent}${name}.`) : [[`${parent}${name}`, value] as [string, unknown]]);
}

function isFields(value: unknown): value is Fields {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function isSame(left: unknown, right: unknown): boolean {
	return JSON.stringify(left) === JSON.stringify(right);
}
