import {writeFileSync} from 'node:fs';
import Table from 'cli-table3';
import {type Argv, type CommandModule} from 'yargs';
import {
	measureLatency, measureMemory, measureThroughput, type Row,
} from './measure.js';

type Options = {part: string[]; calls: number; streams: number; tokens: number; sequential: number; concurrent: number; output: string};

const columns: ReadonlyArray<keyof Row> = ['figure', 'direct', 'through', 'result', 'target'];

/** `bench path`: the overhead of entry and side compared with calling the same engine directly. */
export const pathCommand: CommandModule<unknown, Options> = {
	command: 'path',
	describe: 'Overhead of entry and side compared with calling the engine directly',
	builder: yargs => (yargs as Argv<Options>)
		.option('part', {type: 'array', string: true, choices: ['latency', 'throughput', 'memory'], default: ['latency', 'throughput', 'memory'], describe: 'What to measure'})
		.option('calls', {type: 'number', default: 300, describe: 'Calls each way, for latency'})
		.option('streams', {type: 'number', default: 64, describe: 'Streams at once, for throughput'})
		.option('tokens', {type: 'number', default: 3000, describe: 'Tokens of each, for throughput'})
		.option('sequential', {type: 'number', default: 10_000, describe: 'Streams one after another, for memory'})
		.option('concurrent', {type: 'number', default: 2000, describe: 'Streams at once, for memory'})
		.option('output', {type: 'string', default: '', describe: 'A file for the table as Markdown'}),
	async handler(options) {
		const rows = [
			...(options.part.includes('latency') ? await measureLatency(options.calls) : []),
			...(options.part.includes('throughput') ? await measureThroughput(options.streams, options.tokens) : []),
			...(options.part.includes('memory') ? await measureMemory(options.sequential, options.concurrent) : []),
		];
		print(rows);
		if (options.output !== '') {
			writeFileSync(options.output, toMarkdown(rows));
		}
	},
};

function print(rows: readonly Row[]): void {
	const table = new Table({head: [...columns], style: {head: [], border: []}});
	for (const row of rows) {
		table.push(columns.map(column => row[column]));
	}

	console.log(table.toString());
}

function toMarkdown(rows: readonly Row[]): string {
	const lines = rows.map(row => `| ${columns.map(column => row[column]).join(' | ')} |`);
	return `| ${columns.join(' | ')} |\n|${columns.map(() => '---|').join('')}\n${lines.join('\n')}\n`;
}
