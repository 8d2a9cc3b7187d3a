import Table from 'cli-table3';

/** The exit codes of the operator's command; docs/OPERATIONS.md lists them. */
export const OperatorExit = {
	/** Success. */
	ok: 0,
	/** Rejected: a file is invalid, or a change is outdated or invalid. */
	rejected: 1,
	/** Invalid command line. */
	usage: 2,
	/** It is unknown whether the change was stored or is in force everywhere; check `catalogue history` later. */
	unknown: 3,
	/** The log, the membership list, the store or all queried instances are unreachable. */
	unreachable: 4,
	/** No instance that responded knows the request or fingerprint. */
	notFound: 5,
} as const;
export type OperatorExit = (typeof OperatorExit)[keyof typeof OperatorExit];

/** The result of a command: a value for programs and a text for people. */
export type CommandResult = {
	readonly exit: OperatorExit;
	readonly value: unknown;
	readonly text: string;
};

type Cell = string | number | undefined;

/** Formats rows below a header as a table for a terminal. */
export function formatTable(header: readonly string[], rows: ReadonlyArray<readonly Cell[]>): string {
	const table = new Table({head: [...header], style: {head: [], border: []}});
	table.push(...rows.map(row => row.map(cell => String(cell ?? ''))));
	return table.toString();
}

/** Formats a timestamp in milliseconds since the Unix epoch as ISO 8601. */
export function formatTime(milliseconds: number): string {
	return new Date(milliseconds).toISOString();
}
