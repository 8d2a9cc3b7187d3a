import {type Destination, type EntryChange, type KeyMovement, type Movement, type TableDifference, type Target} from './comparison.js';
import {Severity} from './findings.js';
import {type FileFault} from './reader.js';
import {type Comparison, type ComparisonSource, type LocatedFinding, type RoutingReport} from './report.js';

/** Formats a report for people: a line for each finding in the style of a compiler, what differs, and a summary as the last line. */
export function renderReport(report: RoutingReport): string {
	switch (report.type) {
		case 'undecodable': {
			return [...describeFaults(report.file, report.faults), `${report.file}: gateways can't read it.`].join('\n');
		}

		case 'checked': {
			const {file, version, findings, comparison} = report;
			return [...findings.map(finding => describeFinding(file, finding)), ...describeComparison(comparison), `${file}: version ${version}, ${countFindings(findings)}.`].join('\n');
		}
	}
}

function describeFaults(file: string, faults: readonly FileFault[]): readonly string[] {
	return faults.map(({line, path, message}) => `${file}:${line}: ${path === '' ? '' : `${path}: `}${Severity.error}: ${message}`);
}

function describeFinding(file: string, {line, path, severity, message}: LocatedFinding): string {
	return `${file}:${line}: ${path === '' ? '' : `${path}: `}${severity}: ${message}`;
}

function countFindings(findings: readonly LocatedFinding[]): string {
	return Object.values(Severity).map(severity => {
		const count = findings.filter(finding => finding.severity === severity).length;
		return `${count} ${severity}${count === 1 ? '' : 's'}`;
	}).join(', ');
}

function describeComparison(comparison: Comparison): readonly string[] {
	switch (comparison.type) {
		case 'not-asked': {
			return ['Not compared; give --store-address or --against to compare it with a version in force.'];
		}

		case 'nothing-in-force': {
			return [`${describeSource(comparison.source)} has no version in force.`];
		}

		case 'unreachable': {
			return [`Not compared; ${describeSource(comparison.source)} did not answer: ${comparison.reason}`];
		}

		case 'undecodable': {
			return [...describeFaults(describeSource(comparison.source), comparison.faults), 'Not compared.'];
		}

		case 'compared': {
			return describeDifference(comparison.difference, `version ${comparison.version} of ${describeSource(comparison.source)}`);
		}
	}
}

function describeSource({type, name}: ComparisonSource): string {
	switch (type) {
		case 'store': {
			return `store ${name}`;
		}

		case 'file': {
			return name;
		}
	}
}

function describeDifference({entries, movements, keys}: TableDifference, counterpart: string): readonly string[] {
	const sections = [
		...createSection(`Changes to ${counterpart}:`, entries.flatMap(change => describeEntry(change))),
		...createSection('Requests that go elsewhere:', movements.map(movement => describeMovement(movement))),
		...createSection('Keys that count for others:', keys.map(movement => describeKey(movement))),
	];
	return sections.length === 0 ? [`Nothing differs from ${counterpart}.`] : sections;
}

function createSection(title: string, lines: readonly string[]): readonly string[] {
	return lines.length === 0 ? [] : [title, ...lines.map(line => `    ${line}`)];
}

function describeEntry(change: EntryChange): readonly string[] {
	const subject = change.kind === 'limits' ? change.kind : `${change.kind} ${change.name}`;
	switch (change.type) {
		case 'added':
		case 'removed': {
			return [`${subject}: ${change.type}`];
		}

		case 'changed': {
			return change.fields.map(({field, before, after}) => `${subject}: ${field}: ${describeValue(before)} -> ${describeValue(after)}`);
		}
	}
}

function describeValue(value: unknown): string {
	return value === undefined ? 'none' : JSON.stringify(value);
}

function describeMovement({host, pathPrefix, before, after}: Movement): string {
	return `${host} ${pathPrefix}: ${describeTarget(before)} -> ${describeTarget(after)}`;
}

function describeTarget(target: Target): string {
	switch (target.type) {
		case 'nowhere': {
			return 'nowhere (404)';
		}

		case 'services': {
			return `${target.destinations.map(destination => describeDestination(destination)).join(', ')} (route ${target.route}, ${describeAccess(target.opensTo)})`;
		}
	}
}

function describeAccess(opensTo: Extract<Target, {type: 'services'}>['opensTo']): string {
	switch (opensTo) {
		case 'everyone': {
			return 'without a key';
		}

		case 'keys': {
			return 'with a key';
		}
	}
}

function describeDestination({service, share}: Destination): string {
	return `${service} ${Number((share * 100).toFixed(2))}%`;
}

function describeKey({fingerprint, before, after}: KeyMovement): string {
	return `${fingerprint}: ${before ?? 'unknown'} -> ${after ?? 'unknown'}`;
}
