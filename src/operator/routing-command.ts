import {readFile} from 'node:fs/promises';
import {PlatformError} from '../platform/index.js';
import {MissingSettingError} from './context.js';
import {type CommandResult, OperatorExit} from './result.js';
import {
	checkSuccession, checkTable, compareTables, type Comparison, type ComparisonSource, type FilePlace, type Finding, type LocatedFinding, messageOf, renderReport, type RoutingFile, type RoutingReader, type RoutingReport, Severity, severityOf,
} from './routing-check/index.js';

/** What to check, and with what to compare it: the store at `HOST:PORT`, another file, or nothing. */
export type RoutingQuery = {readonly file: string; readonly against?: string | undefined; readonly storeAddress?: string | undefined};

/** A version to compare with; `text` is undefined if there is none. */
type Counterpart = {readonly source: ComparisonSource; readonly text: string | undefined};

type DecodedFile = Extract<RoutingFile, {type: 'decoded'}>;

/** `HOST:PORT`. */
const addressPattern = /^.+:\d{1,5}$/v;

/** Checks a file with a routing table by itself and against the version in force. Nothing is written. */
export async function checkRouting(reader: RoutingReader | undefined, query: RoutingQuery): Promise<CommandResult> {
	if (reader === undefined) {
		throw MissingSettingError.create('the adapter of a platform, as the installed cassiaflow has it');
	}

	if (query.storeAddress !== undefined && !addressPattern.test(query.storeAddress)) {
		throw MissingSettingError.create('HOST:PORT as --store-address (CASSIAFLOW_STORE_ADDRESS)');
	}

	const report = await createReport(reader, query);
	return {exit: exitOf(report), value: report, text: renderReport(report)};
}

async function createReport(reader: RoutingReader, query: RoutingQuery): Promise<RoutingReport> {
	const {file} = query;
	const decoded = reader.decode(await readFile(file, 'utf8'));
	if (decoded.type === 'wrong') {
		return {type: 'undecodable', file, faults: decoded.faults};
	}

	const {comparison, findings} = await compare(reader, decoded, query);
	const located = [
		...decoded.findings.map(({finding, ...place}) => locate(finding, place)),
		...checkTable(decoded.table).map(finding => locate(finding, decoded.locate(finding.place))),
		...findings,
	];
	return {type: 'checked', file, version: decoded.table.version, findings: located.toSorted((left, right) => left.line - right.line), comparison};
}

function locate(finding: Finding, {path, line}: FilePlace): LocatedFinding {
	return {path, line, severity: severityOf(finding), finding, message: messageOf(finding)};
}

type Compared = {readonly comparison: Comparison; readonly findings: readonly LocatedFinding[]};

async function compare(reader: RoutingReader, decoded: DecodedFile, query: RoutingQuery): Promise<Compared> {
	const source = sourceOf(query);
	if (source === undefined) {
		return {comparison: {type: 'not-asked'}, findings: []};
	}

	try {
		return compareWith(reader, decoded, {source, text: await readCounterpart(reader, source)});
	} catch (error) {
		if (error instanceof PlatformError) {
			return {comparison: {type: 'unreachable', source, reason: error.message}, findings: []};
		}

		throw error;
	}
}

function sourceOf({against, storeAddress}: RoutingQuery): ComparisonSource | undefined {
	if (against !== undefined) {
		return {type: 'file', name: against};
	}

	return storeAddress === undefined ? undefined : {type: 'store', name: storeAddress};
}

async function readCounterpart(reader: RoutingReader, {type, name}: ComparisonSource): Promise<string | undefined> {
	switch (type) {
		case 'file': {
			return readFile(name, 'utf8');
		}

		case 'store': {
			return reader.readInForce(name);
		}
	}
}

function compareWith(reader: RoutingReader, {table, locate: placeOf}: DecodedFile, {source, text}: Counterpart): Compared {
	if (text === undefined) {
		return {comparison: {type: 'nothing-in-force', source}, findings: []};
	}

	const inForce = reader.decode(text);
	if (inForce.type === 'wrong') {
		return {comparison: {type: 'undecodable', source, faults: inForce.faults}, findings: []};
	}

	const difference = compareTables(inForce.table, table);
	const entries = difference.entries.map(change => change.type === 'changed'
		? {...change, fields: change.fields.map(fieldChange => reader.toFileField(change.kind, fieldChange))}
		: change);
	return {
		comparison: {type: 'compared', source, version: inForce.table.version, difference: {...difference, entries}},
		findings: checkSuccession(table, inForce.table).map(finding => locate(finding, placeOf(finding.place))),
	};
}

/** Rejected for an error in the file, or a second file that can't be decoded; a record of the store that can't be is no fault of the file. */
function exitOf(report: RoutingReport): OperatorExit {
	if (report.type === 'undecodable' || report.findings.some(({severity}) => severity === Severity.error)) {
		return OperatorExit.rejected;
	}

	const {comparison} = report;
	switch (comparison.type) {
		case 'unreachable': {
			return OperatorExit.unreachable;
		}

		case 'undecodable': {
			return comparison.source.type === 'file' ? OperatorExit.rejected : OperatorExit.ok;
		}

		case 'not-asked':
		case 'nothing-in-force':
		case 'compared': {
			return OperatorExit.ok;
		}
	}
}
