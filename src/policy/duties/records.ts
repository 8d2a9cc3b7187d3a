/**
 * The records in which the duties are agreed upon. They are the newest values of a few keys in one topic of the platform's store, and
 * every append names the position at which the log must end. So a writer has always seen all earlier records, an append that the store
 * carries out seconds late fails once another one was made, and the position of a claim is known before it is written.
 */
import {z} from 'zod';
import {type LogPosition} from '../../model/index.js';
import {type UsageCounts, type UsageRow} from './usage.js';

const counts = z.record(z.string(), z.number().int().nonnegative());
const usageRow = z.object({incarnation: z.string(), window: z.number().int(), counts});

const holderSchema = z.object({
	token: z.number().int().positive(),
	instance: z.string().min(1),
	incarnation: z.string().min(1),
	address: z.string().min(1),
	/** True once the holder has given up its duties, so that nobody has to wait for the end of its lease. */
	isReleased: z.boolean(),
});
/** Who holds the duties, and its fencing token. */
export type Holder = z.infer<typeof holderSchema>;

const progressSchema = z.object({
	token: z.number().int().positive(),
	/** The store's era in which the holder claimed. */
	era: z.number().int().nonnegative(),
	/** The windows up to this one were reported or can't be reported any more. */
	closedThrough: z.number().int(),
	rows: z.array(usageRow),
});
/** The holder's latest renewal, with what it knows of the usage of windows that are not closed. */
export type Progress = z.infer<typeof progressSchema>;

const decisionSchema = z.object({token: z.number().int().positive(), counts});
/** The counts of a window, which every holder reports word for word. */
export type UsageDecision = z.infer<typeof decisionSchema>;

/** A record to append; without a value the key is removed. */
export type DutyEntry = {readonly key: string; readonly value: string | undefined};

/** The newest records of the topic. */
export type DutyLog = {
	/** Where the next record goes. */
	readonly end: LogPosition;
	readonly holder: Holder | undefined;
	readonly progress: Progress | undefined;
	readonly decisions: ReadonlyMap<number, UsageDecision>;
};

/** The newest value of each key, with the position of its record. */
export type DutySnapshot = {readonly end: LogPosition; readonly items: ReadonlyArray<{readonly key: string; readonly value: string | undefined; readonly offset: number}>};

const holderKey = 'holder';
const progressKey = 'progress';
const windowPrefix = 'window/';
/** Offsets below this number fit beside the era into a token that is an exact number. */
const largestOffset = 2 ** 32;

/**
 * The fencing token of a claim at a position. No two claims have the same position, and positions only rise; the era goes first,
 * because a store that was restored from a backup assigns offsets again.
 */
export function fencingToken({era, offset}: LogPosition): number {
	return (era * largestOffset) + offset + 1;
}

/** The era in which a token was claimed. */
export function eraOfToken(token: number): number {
	return Math.floor((token - 1) / largestOffset);
}

/** Parses a snapshot; undefined if it lacks the log's last record, because it was read while the log grew. */
export function parseDutyLog({end, items}: DutySnapshot): DutyLog | undefined {
	if (end.offset > 0 && !items.some(({offset}) => offset === end.offset - 1)) {
		return undefined;
	}

	const values = new Map<string, unknown>();
	for (const {key, value} of items) {
		values.set(key, value === undefined ? undefined : parseJson(value));
	}

	const decisions = [...values].flatMap(([key, value]) => {
		const window = key.startsWith(windowPrefix) ? Number(key.slice(windowPrefix.length)) : Number.NaN;
		const decision = decisionSchema.safeParse(value).data;
		return Number.isInteger(window) && decision !== undefined ? [[window, decision] as const] : [];
	});
	return {end, holder: holderSchema.safeParse(values.get(holderKey)).data, progress: progressSchema.safeParse(values.get(progressKey)).data, decisions: new Map(decisions)};
}

/** The log after own records were appended to it. */
export function appendToLog(log: DutyLog, entries: readonly DutyEntry[]): DutyLog {
	const items = [...formatLog(log), ...entries].map(entry => ({...entry, offset: log.end.offset + entries.length - 1}));
	return parseDutyLog({end: {...log.end, offset: log.end.offset + entries.length}, items}) ?? log;
}

export function holderEntry(holder: Holder): DutyEntry {
	return {key: holderKey, value: JSON.stringify(holder)};
}

export function progressEntry(progress: Progress): DutyEntry {
	return {key: progressKey, value: JSON.stringify(progress)};
}

export function decisionEntry(window: number, token: number, counts: UsageCounts): DutyEntry {
	return {key: `${windowPrefix}${window}`, value: JSON.stringify({token, counts} satisfies UsageDecision)};
}

export function removalEntry(window: number): DutyEntry {
	return {key: `${windowPrefix}${window}`, value: undefined};
}

/** The part of the rows that fits into a record: rows of the given incarnations first, since nobody can tell them again. */
export function limitRows(rows: readonly UsageRow[], {endedIncarnations, largest}: {readonly endedIncarnations: ReadonlySet<string>; readonly largest: number}): UsageRow[] {
	const ordered = rows.toSorted((left, right) => Number(endedIncarnations.has(right.incarnation)) - Number(endedIncarnations.has(left.incarnation)));
	let characters = 0;
	return ordered.filter(row => {
		characters += JSON.stringify(row).length;
		return characters <= largest;
	});
}

function formatLog({holder, progress, decisions}: DutyLog): DutyEntry[] {
	return [
		...(holder === undefined ? [] : [holderEntry(holder)]),
		...(progress === undefined ? [] : [progressEntry(progress)]),
		...Array.from(decisions, ([window, {token, counts}]) => decisionEntry(window, token, counts)),
	];
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}
