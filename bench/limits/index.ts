import Table from 'cli-table3';
import {type CommandModule} from 'yargs';
import {
	simulate, type Balancing, type AllocatorFault, type Outcome, type Scenario, type Sharing,
} from './simulation.js';

const balancings: readonly Balancing[] = ['even', 'one-sided', 'shifting'];
const faults: readonly AllocatorFault[] = ['none', 'lost', 'doubled'];
const sharings: readonly Sharing[] = ['leased', 'static'];
const seeds = [1, 2, 3, 4, 5];

/** Over- and undershoot of fleet-wide limits, simulated in virtual time with the product's decisions. */
export const limitsCommand: CommandModule<unknown, {entries: number; limit: number}> = {
	command: 'limits',
	describe: 'over- and undershoot of fleet-wide limits under uneven balancing and keeper faults',
	builder: {
		entries: {type: 'number', default: 8, describe: 'entries of the fleet'},
		limit: {type: 'number', default: 100, describe: 'the limit: requests a second, or at once'},
	},
	handler({entries, limit}) {
		for (const kind of ['requestsPerSecond', 'concurrency'] as const) {
			const factor = kind === 'concurrency' ? 2.5 : 1;
			for (const load of [0.8, 2]) {
				console.log(`${kind} limit ${limit}, ${entries} entries, callers send ${load} of it; worst of ${seeds.length} seeds`);
				console.log(compare({entries, limit, offered: limit * load * factor, kind}));
			}
		}
	},
};

function compare(common: Pick<Scenario, 'entries' | 'limit' | 'offered' | 'kind'>): string {
	const table = new Table({head: ['balancing', 'keeper', 'sharing', 'admitted of due', 'overshoot', 'undershoot', 'reports/entry/s'], style: {head: [], border: []}});
	for (const balancing of balancings) {
		for (const fault of faults) {
			for (const sharing of sharings) {
				if (sharing === 'leased' || fault === 'none') {
					const outcomes = seeds.map(seed => simulate({...common, balancing, fault, sharing, seed}));
					table.push([balancing, fault, sharing, ...format(outcomes)]);
				}
			}
		}
	}

	return table.toString();
}

function format(outcomes: readonly Outcome[]): string[] {
	const percent = (value: number): string => `${(value * 100).toFixed(0)}%`;
	return [
		percent(Math.min(...outcomes.map(outcome => outcome.admittedShare))),
		percent(Math.max(...outcomes.map(outcome => outcome.overshoot))),
		percent(Math.max(...outcomes.map(outcome => outcome.undershoot))),
		Math.max(...outcomes.map(outcome => outcome.reportsPerEntrySecond)).toFixed(1),
	];
}
