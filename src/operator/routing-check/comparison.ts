/** A field whose value differs; absent values are undefined. Keys occur as fingerprints. */
export type FieldChange = {readonly field: string; readonly before: unknown; readonly after: unknown};

/** What an entry is. */
export type EntryKind = 'route' | 'service' | 'workspace' | 'limits';

/** An entry that is in one version only, or differs. Entries are matched by name; of several with one name, by their order. */
export type EntryChange
	= | {readonly type: 'added' | 'removed'; readonly kind: EntryKind; readonly name: string}
		| {readonly type: 'changed'; readonly kind: EntryKind; readonly name: string; readonly fields: readonly FieldChange[]};

/** Part of the requests, from 0 to 1, that goes to a service. */
export type Destination = {readonly service: string; readonly share: number};

/** Where requests go: to services, by one route, or nowhere (404). */
export type Target
	= | {readonly type: 'nowhere'}
		| {readonly type: 'services'; readonly route: string; readonly destinations: readonly Destination[]; readonly opensTo: 'everyone' | 'keys'};

/** Requests of one host whose longest known prefix is this one, and which go elsewhere or are open to others than before. */
export type Movement = {readonly host: string; readonly pathPrefix: string; readonly before: Target; readonly after: Target};

/** A key that counts for another workspace than before; undefined where it is unknown. */
export type KeyMovement = {readonly fingerprint: string; readonly before: string | undefined; readonly after: string | undefined};

/** What differs between two versions of a routing table. */
export type TableDifference = {
	readonly entries: readonly EntryChange[];
	readonly movements: readonly Movement[];
	readonly keys: readonly KeyMovement[];
};
