import {readFile} from 'node:fs/promises';
import {setTimeout as delay} from 'node:timers/promises';
import {
	changeSchema, describeRejection, subjectOf, entryKey, type Catalogue, type Change, type Difference, type RecordVerdict,
} from '../catalogue/index.js';
import {type AppliedRecord} from '../platform/index.js';
import {statusAnswerSchema} from '../telemetry/index.js';
import {
	describeProblem, parseCatalogueFile, pathOfEntry, problemAt, type FileProblem, type ParsedFile,
} from './catalogue-file.js';
import {requireLog, type OperatorContext} from './context.js';
import {receivedValues, queryInstances, describeUnresponsive, findInstances} from './instances.js';
import {createChange, predictVerdict, publishChange, readStream, type Publication} from './publish.js';
import {formatTable, formatTime, OperatorExit, type CommandResult} from './result.js';

/** Validates a file by itself and, if a log is configured, against the catalogue in force. */
export async function checkFile(context: OperatorContext, path: string): Promise<CommandResult> {
	const parsed = parseCatalogueFile(path, await readFile(path, 'utf8'));
	if (parsed.type === 'wrong') {
		return rejectFile(parsed.problems);
	}

	if (!context.log) {
		return {exit: OperatorExit.ok, value: {problems: []}, text: `${path}: valid by itself; give --log-url to check it against the catalogue in force.`};
	}

	const {catalogue} = await readStream(context.log);
	const change = createChange(parsed.content, catalogue, context.author);
	const verdict = change.operations.length === 0 ? undefined : predictVerdict(catalogue, change);
	if (verdict?.type === 'rejected') {
		return rejectFile(locateRejections(path, parsed, verdict));
	}

	return {exit: OperatorExit.ok, value: {problems: []}, text: `${path}: valid against revision ${catalogue.changed} of the catalogue.`};
}

export type PublishOptions = {
	readonly dryRun: boolean;
	/** Waits until every instance has the change in force. */
	readonly wait: boolean;
	readonly patienceMilliseconds: number;
};

/** Publishes a file; with `dryRun` it only shows what would change. */
export async function publishFile(context: OperatorContext, path: string, options: PublishOptions): Promise<CommandResult> {
	const log = requireLog(context);
	const parsed = parseCatalogueFile(path, await readFile(path, 'utf8'));
	if (parsed.type === 'wrong') {
		return rejectFile(parsed.problems);
	}

	const {catalogue} = await readStream(log);
	const change = createChange(parsed.content, catalogue, context.author);
	if (change.operations.length === 0) {
		return {exit: OperatorExit.ok, value: {outcome: 'unchanged'}, text: 'The catalogue already matches the file; nothing was published.'};
	}

	const predicted = predictVerdict(catalogue, change);
	if (predicted.type === 'rejected') {
		return rejectFile(locateRejections(path, parsed, predicted));
	}

	const plan = describeChange(change, catalogue);
	if (options.dryRun) {
		return {exit: OperatorExit.ok, value: {outcome: 'dry-run', change}, text: `${plan}\nNothing was published.`};
	}

	const publication = await publishChange(log, change, options.patienceMilliseconds);
	const result = describePublication(publication, plan);
	return options.wait && publication.type === 'decided' && result.exit === OperatorExit.ok
		? waitUntilInForce(context, publication.offset, result, options.patienceMilliseconds)
		: result;
}

/** Shows the entries of the catalogue in force with their revisions, in the format of a catalogue file. */
export async function showCatalogue(context: OperatorContext, filter: string | undefined): Promise<CommandResult> {
	const {catalogue} = await readStream(requireLog(context));
	const items = [...catalogue.entries].filter(([key]) => filter === undefined || key.includes(filter)).toSorted(([first], [second]) => first < second ? -1 : 1);
	const entries = items.map(([, {entry, revision}]) => ({...entry, revision}));
	const rows = items.map(([, {entry, revision}]) => {
		const {kind, name, owner, ...fields} = entry;
		return [kind, name, owner, revision, JSON.stringify(fields)];
	});
	return {exit: OperatorExit.ok, value: {offset: catalogue.offset, entries}, text: formatTable(['kind', 'name', 'owner', 'revision', 'fields'], rows)};
}

/** Shows one line for each change: author, time, operations and verdict. */
export async function showHistory(context: OperatorContext, limit: number): Promise<CommandResult> {
	const records = await readChanges(context, limit);
	const rows = records.map(({record, change}) => [
		record.offset,
		formatTime(record.time),
		change?.author,
		record.verdict.type,
		change?.operations.map(operation => `${operation.type} ${entryKey(subjectOf(operation))}`).join('\n'),
		change?.note,
	]);
	return {
		exit: OperatorExit.ok,
		value: records.map(({record}) => record),
		text: formatTable(['offset', 'time', 'author', 'verdict', 'operations', 'note'], rows),
	};
}

/** Shows each change in full: author, time, verdict, and the values before and after. */
export async function showAudit(context: OperatorContext, limit: number): Promise<CommandResult> {
	const records = await readChanges(context, limit);
	const text = records.map(({record, change}) => [
		`${record.offset}  ${formatTime(record.time)}  ${change?.author ?? 'unreadable'}  ${record.verdict.type}${change?.note === undefined ? '' : `  ${change.note}`}`,
		...describeVerdict(record.verdict).map(line => `    ${line}`),
	].join('\n')).join('\n');
	return {exit: OperatorExit.ok, value: records.map(({record}) => record), text};
}

type ReadChange = {readonly record: AppliedRecord; readonly change: Change | undefined};

/** Returns the newest changes, and the rejected records that can't be parsed as changes; snapshots are omitted. */
async function readChanges(context: OperatorContext, limit: number): Promise<readonly ReadChange[]> {
	const {records} = await readStream(requireLog(context));
	return records
		.map(record => ({record, change: changeSchema.safeParse(record.value).data}))
		.filter(({record, change}) => change !== undefined || record.verdict.type === 'rejected')
		.slice(-limit);
}

function describeVerdict(verdict: RecordVerdict): readonly string[] {
	switch (verdict.type) {
		case 'accepted': {
			return verdict.differences.flatMap(difference => describeDifference(difference));
		}

		case 'rejected': {
			return verdict.reasons.map(reason => describeRejection(reason));
		}

		case 'repeated':
		case 'gap': {
			return [verdict.type];
		}
	}
}

/** Describes the fields of an entry that a change modifies, before and after. */
export function describeDifference({entry, before, after}: Difference): readonly string[] {
	if (!after) {
		return [`- ${entry}`];
	}

	const old: Record<string, unknown> = before ?? {};
	const lines = Object.entries(after)
		.filter(([field, value]) => field !== 'kind' && field !== 'name' && JSON.stringify(old[field]) !== JSON.stringify(value))
		.map(([field, value]) => `    ${field}: ${before ? `${JSON.stringify(old[field])} -> ` : ''}${JSON.stringify(value)}`);
	return [`${before ? '~' : '+'} ${entry}`, ...lines];
}

function describeChange(change: Change, catalogue: Catalogue): string {
	const verdict = predictVerdict(catalogue, change);
	const lines = verdict.type === 'accepted' ? verdict.differences.flatMap(difference => describeDifference(difference)) : [];
	return [`By ${change.author}, against revision ${catalogue.changed} of the catalogue:`, ...lines].join('\n');
}

function describePublication(publication: Publication, plan: string): CommandResult {
	switch (publication.type) {
		case 'decided': {
			const isAccepted = publication.verdict.type === 'accepted';
			const outcome = isAccepted ? 'Accepted' : 'Rejected';
			const reasons = isAccepted ? [] : describeVerdict(publication.verdict);
			return {
				exit: isAccepted ? OperatorExit.ok : OperatorExit.rejected,
				value: {outcome: publication.verdict.type, offset: publication.offset, reasons},
				text: [plan, `${outcome} at offset ${publication.offset}.`, ...reasons].join('\n'),
			};
		}

		case 'refused': {
			return {exit: OperatorExit.unreachable, value: {outcome: 'refused', reason: publication.reason}, text: `${plan}\nThe log did not store it: ${publication.reason}`};
		}

		case 'unknown': {
			return {
				exit: OperatorExit.unknown,
				value: {outcome: 'unknown', reason: publication.reason},
				text: `${plan}\nUnknown: ${publication.reason}\nIt may still come into force. Check "cassiaflow catalogue history" before you publish again.`,
			};
		}
	}
}

const statusPollMilliseconds = 200;

/** Polls the instances until all of them have applied the record at `offset`, or the timeout has passed; adds their number to the result. */
async function waitUntilInForce(context: OperatorContext, offset: number, published: CommandResult, timeoutMilliseconds: number): Promise<CommandResult> {
	const deadline = performance.now() + timeoutMilliseconds;
	const urls = await findInstances(context.instances, context.members);
	for (;;) {
		const responses = await queryInstances(urls, {method: 'GET', path: '/status', schema: statusAnswerSchema});
		const currentInstances = receivedValues(responses).filter(status => status.catalogueOffset >= offset).length;
		const isEverywhere = currentInstances === urls.length;
		if (isEverywhere || performance.now() >= deadline) {
			return {
				exit: isEverywhere ? OperatorExit.ok : OperatorExit.unknown,
				value: {...published.value as Record<string, unknown>, inForce: currentInstances, instances: urls.length},
				text: [published.text, `In force at ${currentInstances} of ${urls.length} instances.`, ...describeUnresponsive(responses)].join('\n'),
			};
		}

		await delay(statusPollMilliseconds);
	}
}

function locateRejections(path: string, parsed: Extract<ParsedFile, {type: 'parsed'}>, verdict: Extract<RecordVerdict, {type: 'rejected'}>): readonly FileProblem[] {
	return verdict.reasons.map(reason => {
		const entry = 'entry' in reason ? reason.entry : '';
		const field = reason.type === 'invalid' ? reason.field : 'name';
		const fieldPath = pathOfEntry(parsed.content, entry, field) ?? [];
		return problemAt(path, parsed.locate, fieldPath, describeRejection(reason));
	});
}

function rejectFile(problems: readonly FileProblem[]): CommandResult {
	return {exit: OperatorExit.rejected, value: {outcome: 'wrong', problems}, text: problems.map(problem => describeProblem(problem)).join('\n')};
}
