import {readFileSync} from 'node:fs';
import process from 'node:process';
import Table from 'cli-table3';
import {type CommandModule} from 'yargs';
import {lossesOf, parseReport} from './report.js';

const longestDetail = 110;

/** `npm run bench -- losses REPORT...`: losses of each simulated day, by cause. */
export const lossesCommand: CommandModule<unknown, {reports: string[]}> = {
	command: 'losses <reports..>',
	describe: 'Show the losses of simulated days by cause, from their reports',
	builder: yargs => yargs.positional('reports', {type: 'string', array: true, demandOption: true, describe: 'Report files of simulated days'}),
	handler({reports}) {
		for (const file of reports) {
			process.stdout.write(`${describe(file)}\n`);
		}
	},
};

function describe(file: string): string {
	try {
		const report = parseReport(readFileSync(file, 'utf8'));
		const table = new Table({head: ['cause', 'worth lost', 'detail'], style: {head: [], border: []}});
		for (const {cause, worth, detail} of lossesOf(report)) {
			table.push([cause, worth.toFixed(4), detail.length > longestDetail ? `${detail.slice(0, longestDetail)}…` : detail]);
		}

		return `${file}: worth ${report.G.toFixed(3)}, served ${report.served.toFixed(3)}\n${table.toString()}`;
	} catch (error) {
		process.exitCode = 2;
		return `${file}: not a report of a simulated day: ${String(error).slice(0, 300)}`;
	}
}
