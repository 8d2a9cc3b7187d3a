import Table from 'cli-table3';
import {type CommandModule} from 'yargs';
import {type Scenario, sharings, simulate} from './simulation.js';

const seeds = [1, 2, 3];
const sizes = [4, 20, 350];
const courses: ReadonlyArray<{readonly name: string; readonly of: (instances: number) => Omit<Scenario, 'sharing' | 'seed' | 'instances'>}> = [
	{name: 'left alone', of: instances => ({favoured: instances, cutOff: 0, restarted: 0, restartEveryMilliseconds: 0})},
	{name: 'two get all callers', of: () => ({favoured: 2, cutOff: 0, restarted: 0, restartEveryMilliseconds: 0})},
	{name: 'one cut off', of: instances => ({favoured: instances, cutOff: 1, restarted: 0, restartEveryMilliseconds: 0})},
	{name: 'all cut off', of: instances => ({favoured: instances, cutOff: instances, restarted: 0, restartEveryMilliseconds: 0})},
	{name: 'all start again every 4 s', of: instances => ({favoured: instances, cutOff: 0, restarted: instances, restartEveryMilliseconds: 4000})},
	{name: 'one starts again every 2 s', of: instances => ({favoured: instances, cutOff: 0, restarted: 1, restartEveryMilliseconds: 2000})},
];

/** Ways to share the allowance of retries, simulated in virtual time with the product's decisions. */
export const retrySharesCommand: CommandModule = {
	command: 'retry-shares',
	describe: 'how instances share the allowance of retries',
	handler() {
		const table = new Table({head: ['case', ...sharings.flatMap(sharing => [`${sharing}: fullest window`, 'retried'])], style: {head: [], border: []}});
		for (const instances of sizes) {
			for (const {name, of} of courses) {
				table.push([`${instances} instances, ${name}`, ...sharings.flatMap(sharing => {
					const outcomes = seeds.map(seed => simulate({...of(instances), instances, sharing, seed}));
					return [Math.max(...outcomes.map(({fullest}) => fullest)).toFixed(2), Math.min(...outcomes.map(({retried}) => retried)).toFixed(2)];
				})]);
			}
		}

		console.log(table.toString());
	},
};
