import {type z} from 'zod';
import {catalogueFileSchema, entryKey, type CatalogueFile} from '../catalogue/index.js';
import {type FieldPath, LocatedDocument} from './document-lines.js';

/** An error in a file and its location. Line numbers start at 1. */
export type FileProblem = {readonly file: string; readonly line: number; readonly field: string; readonly message: string};

export type ParsedFile
	= | {readonly type: 'parsed'; readonly content: CatalogueFile; readonly locate: (path: FieldPath) => number}
		| {readonly type: 'wrong'; readonly problems: readonly FileProblem[]};

/** Parses a catalogue file in YAML or JSON, and reports each error with file, line and field. */
export function parseCatalogueFile(file: string, text: string): ParsedFile {
	const document = LocatedDocument.create(text);
	if (document.errors.length > 0) {
		return {type: 'wrong', problems: document.errors.map(({line, message}) => ({file, line, field: '', message}))};
	}

	const locate = (path: FieldPath): number => document.lineOf(path);
	const parsed = catalogueFileSchema.safeParse(document.toValue());
	if (!parsed.success) {
		return {type: 'wrong', problems: parsed.error.issues.flatMap(issue => problemsOf(issue).map(({path, message}) => problemAt(file, locate, path, message)))};
	}

	const problems = findDuplicates(parsed.data).map(({path, message}) => problemAt(file, locate, path, message));
	return problems.length > 0 ? {type: 'wrong', problems} : {type: 'parsed', content: parsed.data, locate};
}

/** Returns the path of an entry's field in a file; undefined if the file does not contain the entry. */
export function pathOfEntry(content: CatalogueFile, key: string, field: string): FieldPath | undefined {
	const index = content.entries.findIndex(entry => entryKey(entry) === key);
	if (index !== -1) {
		return ['entries', index, ...field.split('.').map(part => /^\d+$/v.test(part) ? Number(part) : part)];
	}

	const removed = content.remove.findIndex(entry => entryKey(entry) === key);
	return removed === -1 ? undefined : ['remove', removed];
}

export function problemAt(file: string, locate: (path: FieldPath) => number, path: FieldPath, message: string): FileProblem {
	return {file, line: locate(path), field: path.join('.'), message};
}

/** Formats a problem as one line, in the style of a compiler. */
export function describeProblem(problem: FileProblem): string {
	return `${problem.file}:${problem.line}: ${problem.field === '' ? '' : `${problem.field}: `}${problem.message}`;
}

/** A problem before its line in the file is known. */
type UnlocatedProblem = {readonly path: FieldPath; readonly message: string};

function problemsOf(issue: z.core.$ZodIssue): readonly UnlocatedProblem[] {
	const path = issue.path as Array<string | number>;
	if (issue.code === 'unrecognized_keys') {
		return issue.keys.map(key => ({path: [...path, key], message: 'unknown field'}));
	}

	return [{path, message: issue.message}];
}

function findDuplicates(content: CatalogueFile): readonly UnlocatedProblem[] {
	const seen = new Set<string>();
	const occurrences = [
		...content.entries.map((entry, index) => ({key: entryKey(entry), path: ['entries', index, 'name']})),
		...content.remove.map((entry, index) => ({key: entryKey(entry), path: ['remove', index, 'name']})),
	];
	return occurrences.flatMap(({key, path}) => {
		const isRepeated = seen.has(key);
		seen.add(key);
		return isRepeated ? [{path, message: `${key} occurs twice in this file`}] : [];
	});
}
