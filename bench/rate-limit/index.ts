import Table from 'cli-table3';
import {type CommandModule} from 'yargs';
import {type Scenario, sharings, simulate} from './simulation.js';

const seeds = [1, 2, 3];
/** Every report goes to every instance, so that larger fleets take minutes to simulate. */
const largestReportedFleet = 20;
const cases: ReadonlyArray<Omit<Scenario, 'sharing' | 'seed'> & {readonly name: string}> = [
	{name: '4 instances, limit 2.3', instances: 4, requestsPerSecond: 2.3, favoured: 4, cutOff: 0},
	{name: '4 instances, limit 2.3, one cut off', instances: 4, requestsPerSecond: 2.3, favoured: 4, cutOff: 1},
	{name: '20 instances, limit 1.7', instances: 20, requestsPerSecond: 1.7, favoured: 20, cutOff: 0},
	{name: '20 instances, limit 1.7, two get all callers', instances: 20, requestsPerSecond: 1.7, favoured: 2, cutOff: 0},
	{name: '20 instances, limit 30, two get all callers', instances: 20, requestsPerSecond: 30, favoured: 2, cutOff: 0},
	{name: '350 instances, limit 1.7', instances: 350, requestsPerSecond: 1.7, favoured: 350, cutOff: 0},
	{name: '350 instances, limit 30', instances: 350, requestsPerSecond: 30, favoured: 350, cutOff: 0},
];

/** Ways to share the rate limit that an endpoint states, simulated in virtual time with the product's decisions. */
export const rateLimitCommand: CommandModule = {
	command: 'rate-limit',
	describe: 'how instances share the rate limit that an endpoint states',
	handler() {
		const table = new Table({head: ['case', ...sharings.flatMap(sharing => [`${sharing}: most in 4 s`, 'used'])], style: {head: [], border: []}});
		for (const {name, ...scenario} of cases) {
			table.push([name, ...sharings.flatMap(sharing => {
				if (sharing === 'reported' && scenario.instances > largestReportedFleet) {
					return ['-', '-'];
				}

				const outcomes = seeds.map(seed => simulate({...scenario, sharing, seed}));
				return [Math.max(...outcomes.map(({mostInSpan}) => mostInSpan)).toFixed(2), Math.min(...outcomes.map(({used}) => used)).toFixed(2)];
			})]);
		}

		console.log(table.toString());
	},
};
