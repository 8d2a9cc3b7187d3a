import Table from 'cli-table3';

/** The exit codes of the operator's command; docs/OPERATIONS.md lists them. */
export const OperatorExit = {
	/** Done as asked. */
	ok: 0,
	/** Rejected: a file is wrong, a change is outdated or invalid, or there is nothing to release. */
	rejected: 1,
	/** The command line is wrong. */
	usage: 2,
	/** It can't be told whether the change was kept; look at `catalogue history` later. */
	unknown: 3,
	/** The log, the membership list or every instance asked can't be reached. */
	unreachable: 4,
	/** No instance that answered knows of it. */
	notFound: 5,
} as const;
export type OperatorExit = (typeof OperatorExit)[keyof typeof OperatorExit];

/** What a command has to say: for programs as a value, for people as text. */
export type CommandResult = {
	readonly exit: OperatorExit;
	readonly value: unknown;
	readonly text: string;
};

type Cell = string | number | undefined;

/** Rows under a head, for a terminal. */
export function formatTable(head: readonly string[], rows: ReadonlyArray<readonly Cell[]>): string {
	const table = new Table({head: [...head], style: {head: [], border: []}});
	table.push(...rows.map(row => row.map(cell => String(cell ?? ''))));
	return table.toString();
}

/** A moment as an operator reads it. */
export function formatTime(milliseconds: number): string {
	return new Date(milliseconds).toISOString();
}
