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
import {answered, askInstances, describeSilent, findInstances} from './instances.js';
import {createChange, foresee, publishChange, readStream, type Publication} from './publish.js';
import {formatTable, formatTime, OperatorExit, type CommandResult} from './result.js';

/** Checks a file by itself and, where a log is given, against the catalogue in force. */
export async function checkFile(context: OperatorContext, path: string): Promise<CommandResult> {
	const parsed = parseCatalogueFile(path, await readFile(path, 'utf8'));
	if (parsed.type === 'wrong') {
		return wrongFile(parsed.problems);
	}

	if (!context.log) {
		return {exit: OperatorExit.ok, value: {problems: []}, text: `${path}: right by itself; give --log-url to check it against the catalogue in force.`};
	}

	const {catalogue} = await readStream(context.log);
	const change = createChange(parsed.content, catalogue, context.author);
	const verdict = change.operations.length === 0 ? undefined : foresee(catalogue, change);
	if (verdict?.type === 'rejected') {
		return wrongFile(locateRejections(path, parsed, verdict));
	}

	return {exit: OperatorExit.ok, value: {problems: []}, text: `${path}: right, against revision ${catalogue.changed} of the catalogue.`};
}

export type PublishOptions = {
	readonly dryRun: boolean;
	/** Waits until every instance that answers has the change in force. */
	readonly wait: boolean;
	readonly patienceMilliseconds: number;
};

/** Publishes a file, or with `dryRun` only tells what would change. */
export async function publishFile(context: OperatorContext, path: string, options: PublishOptions): Promise<CommandResult> {
	const log = requireLog(context);
	const parsed = parseCatalogueFile(path, await readFile(path, 'utf8'));
	if (parsed.type === 'wrong') {
		return wrongFile(parsed.problems);
	}

	const {catalogue} = await readStream(log);
	const change = createChange(parsed.content, catalogue, context.author);
	if (change.operations.length === 0) {
		return {exit: OperatorExit.ok, value: {outcome: 'unchanged'}, text: 'The catalogue is so already; nothing was published.'};
	}

	const foreseen = foresee(catalogue, change);
	if (foreseen.type === 'rejected') {
		return wrongFile(locateRejections(path, parsed, foreseen));
	}

	const plan = describeChange(change, catalogue);
	if (options.dryRun) {
		return {exit: OperatorExit.ok, value: {outcome: 'dry-run', change}, text: `${plan}\nNothing was published.`};
	}

	const publication = await publishChange(log, change, options.patienceMilliseconds);
	const result = describePublication(publication, plan);
	return options.wait && publication.type === 'decided' && result.exit === OperatorExit.ok
		? waitInForce(context, publication.offset, result, options.patienceMilliseconds)
		: result;
}

/** The catalogue in force, as entries with their revisions, ready to be put into a file. */
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

/** One line for each change: who, when, what and what became of it. */
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

/** Each change in full: who, when, before, after, verdict. */
export async function showAudit(context: OperatorContext, limit: number): Promise<CommandResult> {
	const records = await readChanges(context, limit);
	const text = records.map(({record, change}) => [
		`${record.offset}  ${formatTime(record.time)}  ${change?.author ?? 'unreadable'}  ${record.verdict.type}${change?.note === undefined ? '' : `  ${change.note}`}`,
		...describeVerdict(record.verdict).map(line => `    ${line}`),
	].join('\n')).join('\n');
	return {exit: OperatorExit.ok, value: records.map(({record}) => record), text};
}

type ReadChange = {readonly record: AppliedRecord; readonly change: Change | undefined};

/** The newest changes, and what no reader understood; snapshots are no changes. */
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

/** An entry's fields that a change touches, before and after. */
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
	const verdict = foresee(catalogue, change);
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
			return {exit: OperatorExit.unreachable, value: {outcome: 'refused', reason: publication.reason}, text: `${plan}\nThe log did not keep it: ${publication.reason}`};
		}

		case 'unknown': {
			return {
				exit: OperatorExit.unknown,
				value: {outcome: 'unknown', reason: publication.reason},
				text: `${plan}\nUnknown: ${publication.reason}\nIt may come into force. Look at "cassiaflow catalogue history" before you publish again.`,
			};
		}
	}
}

const waitPauseMilliseconds = 200;

async function waitInForce(context: OperatorContext, offset: number, published: CommandResult, patienceMilliseconds: number): Promise<CommandResult> {
	const deadline = performance.now() + patienceMilliseconds;
	const urls = await findInstances(context.instances, context.members);
	for (;;) {
		const answers = await askInstances(urls, {method: 'GET', path: '/status', schema: statusAnswerSchema});
		const current = answered(answers).filter(status => status.catalogueOffset >= offset).length;
		const isEverywhere = current === urls.length;
		if (isEverywhere || performance.now() >= deadline) {
			return {
				exit: isEverywhere ? OperatorExit.ok : OperatorExit.unknown,
				value: {...published.value as Record<string, unknown>, inForce: current, instances: urls.length},
				text: [published.text, `In force at ${current} of ${urls.length} instances.`, ...describeSilent(answers)].join('\n'),
			};
		}

		await delay(waitPauseMilliseconds);
	}
}

function locateRejections(path: string, parsed: Extract<ParsedFile, {type: 'parsed'}>, verdict: Extract<RecordVerdict, {type: 'rejected'}>): readonly FileProblem[] {
	return verdict.reasons.map(reason => {
		const entry = 'entry' in reason ? reason.entry : '';
		const field = reason.type === 'invalid' ? reason.field : 'name';
		const place = pathOfEntry(parsed.content, entry, field) ?? [];
		return problemAt(path, parsed.locate, place, describeRejection(reason));
	});
}

function wrongFile(problems: readonly FileProblem[]): CommandResult {
	return {exit: OperatorExit.rejected, value: {outcome: 'wrong', problems}, text: problems.map(problem => describeProblem(problem)).join('\n')};
}
