import {type TablePlace} from './places.js';

/** `error`: the table must not be sent; `warning`: it does something other than it says; `note`: a part of it has no effect. */
export const Severity = {error: 'error', warning: 'warning', note: 'note'} as const;
export type Severity = (typeof Severity)[keyof typeof Severity];

/** Why no request can match a route. */
export type NeverMatches
	/** An earlier route has the same host and path prefix. */
	= | {readonly type: 'same-prefix'; readonly by: string; readonly byRoute: number}
	/** The port of a Host header is dropped before hosts are compared. */
		| {readonly type: 'host-with-port'}
	/** The host has characters that no host name or address has. */
		| {readonly type: 'host-characters'}
	/** A path begins with a slash. */
		| {readonly type: 'prefix-without-slash'}
	/** The prefix has characters that the path of no request has; the query is not part of the path. */
		| {readonly type: 'prefix-characters'};

/** Routes that no request matches, or other requests than they seem to. */
export type MatchingFinding
	= | {readonly type: 'never-matches'; readonly route: string; readonly reason: NeverMatches}
	/** The prefix does not end with a slash, so it matches the beginning of longer names too. */
		| {readonly type: 'open-prefix'; readonly pathPrefix: string}
	/** An asterisk in a host or prefix stands for itself. */
		| {readonly type: 'literal-wildcard'; readonly text: string}
	/** Requests that match the route are answered with 404. */
		| {readonly type: 'no-service'; readonly route: string}
	/** A host without characters: only requests without a Host header match. */
		| {readonly type: 'empty-host'; readonly route: string}
	/** No workspace has a key that a caller can send, and these routes need one. */
		| {readonly type: 'no-key-opens'; readonly routes: readonly string[]};

/** References that lead nowhere, and names and keys that are not unique. Keys occur as fingerprints only. */
export type ReferenceFinding
	= | {readonly type: 'unknown-service'; readonly service: string}
		| {readonly type: 'unused-service'; readonly service: string}
	/** The last service of the name counts. */
		| {readonly type: 'repeated-service'; readonly service: string}
		| {readonly type: 'repeated-name'; readonly kind: 'route' | 'workspace'; readonly name: string}
	/** The key counts for the last workspace that has it. */
		| {readonly type: 'shared-key'; readonly fingerprint: string; readonly workspaces: readonly string[]}
		| {readonly type: 'repeated-key'; readonly fingerprint: string}
	/** No Authorization header can carry the key: it is empty or contains white space. */
		| {readonly type: 'unusable-key'; readonly fingerprint: string}
		| {readonly type: 'workspace-without-keys'; readonly workspace: string}
	/** The weights sum to zero; the last service gets all requests. */
		| {readonly type: 'no-weight'; readonly service: string}
		| {readonly type: 'zero-weight'; readonly service: string}
	/** Instances refuse this value from each other, so an instance without the store does not get the table. */
		| {readonly type: 'refused-by-instances'; readonly reason: string};

/** Limits that contradict each other, or have no effect, by how the gateway uses them. Times are in milliseconds. */
export type LimitFinding
	= | {readonly type: 'target-beyond-timeout'; readonly targetMilliseconds: number; readonly timeoutMilliseconds: number}
		| {readonly type: 'pause-beyond-timeout'; readonly pauseMilliseconds: number; readonly timeoutMilliseconds: number}
	/** After silent endpoints, not all attempts fit in the timeout. */
		| {readonly type: 'attempts-beyond-timeout'; readonly attempts: number; readonly fittingAttempts: number; readonly silenceMilliseconds: number; readonly timeoutMilliseconds: number}
	/** Requests of the route are not repeated once they may have run. */
		| {readonly type: 'attempts-without-effect'; readonly attempts: number}
	/** A pause limit of a route that is not a stream sets the pause limits of its services all the same. */
		| {readonly type: 'pause-without-stream'}
		| {readonly type: 'resumable-without-stream'}
	/** The upper bound of endpoints is below the lower one, and counts. */
		| {readonly type: 'scale-bounds'; readonly least: number; readonly most: number}
		| {readonly type: 'scale-to-none'; readonly service: string}
	/** An endpoint accepts fewer connections than it has slots, so the others stay empty. */
		| {readonly type: 'slots-beyond-connections'; readonly slots: number; readonly connections: number};

/** What is wrong, or has no effect, in a routing table by itself, and the field that says so. */
export type TableFinding = {readonly place: TablePlace} & (MatchingFinding | ReferenceFinding | LimitFinding);

/** What the decoding of a file drops or reads otherwise than it may be meant. */
export type FileFinding
	= | {readonly type: 'unknown-field'; readonly count: number}
	/** The field occurs twice in one object; the last one counts. */
		| {readonly type: 'repeated-field'}
	/** An unknown kind of route counts as unsafe. */
		| {readonly type: 'unknown-kind'; readonly kind: string}
	/** Another field of the same route counts in place of this one. */
		| {readonly type: 'overridden-field'; readonly by: string}
	/** The field has an effect only with other ones. */
		| {readonly type: 'incomplete-field'; readonly missing: readonly string[]};

/** What is wrong with a table as the successor of the version in force. */
export type SuccessionFinding = {readonly type: 'version-not-higher'; readonly version: number; readonly inForce: number; readonly place: TablePlace};

/** Everything that a check may find in a file that can be decoded. */
export type Finding = TableFinding | FileFinding | SuccessionFinding;

const severities = {
	'never-matches': Severity.error,
	'no-service': Severity.error,
	'no-key-opens': Severity.error,
	'unknown-service': Severity.error,
	'repeated-service': Severity.error,
	'shared-key': Severity.error,
	'unusable-key': Severity.error,
	'no-weight': Severity.error,
	'refused-by-instances': Severity.error,
	'target-beyond-timeout': Severity.error,
	'pause-beyond-timeout': Severity.error,
	'scale-bounds': Severity.error,
	'version-not-higher': Severity.error,
	'open-prefix': Severity.warning,
	'literal-wildcard': Severity.warning,
	'empty-host': Severity.warning,
	'repeated-name': Severity.warning,
	'repeated-field': Severity.warning,
	'workspace-without-keys': Severity.warning,
	'attempts-beyond-timeout': Severity.warning,
	'pause-without-stream': Severity.warning,
	'scale-to-none': Severity.warning,
	'slots-beyond-connections': Severity.warning,
	'unknown-kind': Severity.warning,
	'overridden-field': Severity.warning,
	'incomplete-field': Severity.warning,
	'unused-service': Severity.note,
	'repeated-key': Severity.note,
	'zero-weight': Severity.note,
	'attempts-without-effect': Severity.note,
	'resumable-without-stream': Severity.note,
	'unknown-field': Severity.note,
} as const satisfies Readonly<Record<Finding['type'], Severity>>;

/** How serious a finding is. */
export function severityOf({type}: Finding): Severity {
	return severities[type];
}
