import {type TableDifference} from './comparison.js';
import {type Finding, type Severity} from './findings.js';
import {type FilePlace} from './places.js';
import {type FileFault} from './reader.js';

/** A finding, where it is, and its text. */
export type LocatedFinding = FilePlace & {readonly severity: Severity; readonly finding: Finding; readonly message: string};

/** What a version was compared with: the newest in the store, or another file. */
export type ComparisonSource = {readonly type: 'store' | 'file'; readonly name: string};

/** The comparison with the version in force. */
export type Comparison
	= | {readonly type: 'not-asked'}
	/** The store has no version. */
		| {readonly type: 'nothing-in-force'; readonly source: ComparisonSource}
		| {readonly type: 'unreachable'; readonly source: ComparisonSource; readonly reason: string}
	/** The version in force can't be decoded; gateways keep the one before it. */
		| {readonly type: 'undecodable'; readonly source: ComparisonSource; readonly faults: readonly FileFault[]}
		| {readonly type: 'compared'; readonly source: ComparisonSource; readonly version: number; readonly difference: TableDifference};

/** The result of a check. */
export type RoutingReport
	= | {readonly type: 'undecodable'; readonly file: string; readonly faults: readonly FileFault[]}
		| {readonly type: 'checked'; readonly file: string; readonly version: number; readonly findings: readonly LocatedFinding[]; readonly comparison: Comparison};
