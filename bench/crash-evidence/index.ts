import Table from 'cli-table3';
import {type CommandModule} from 'yargs';
import {type Scenario, simulateCrashes, ways} from './simulation.js';

const seeds = [1, 2, 3, 4, 5];
const milliseconds = 60_000;
const quiet = {milliseconds, endpoints: 60, crashingPauseMilliseconds: 0, callerRetries: 1, silences: []} as const;

const courses: ReadonlyArray<{readonly name: string; readonly scenario: Omit<Scenario, 'way' | 'seed'>}> = [
	...[250, 1000, 2000].map(pause => ({name: `a crashing request every ${pause} ms`, scenario: {...quiet, crashingPauseMilliseconds: pause}})),
	...[2, 3, 10].flatMap(every => [200, 500].map(pause => ({name: `a request every ${pause} ms that one of ${every} endpoints survives`, scenario: {...quiet, endpoints: 6 * every, survivorEvery: every, crashingPauseMilliseconds: pause}}))),
	...[2, 10].map(every => ({name: `a request every 500 ms that all but one of ${every} endpoints survive`, scenario: {...quiet, endpoints: 6 * every, survivorEvery: -every, crashingPauseMilliseconds: 500}})),
	{name: '18 of six endpoints fail one by one', scenario: {...quiet, endpoints: 6, silences: Array.from({length: 18}, (_, index) => ({at: 2000 + (index * 3000), count: 1}))}},
	{name: 'three racks of ten fail one after the other', scenario: {...quiet, silences: [10_000, 20_000, 30_000].map(at => ({at, count: 10}))}},
	{name: '18 endpoints fail one by one', scenario: {...quiet, silences: Array.from({length: 18}, (_, index) => ({at: 2000 + (index * 3000), count: 1}))}},
	{name: 'a third of the endpoints fails at once', scenario: {...quiet, silences: [{at: 10_000, count: 20}]}},
	{name: 'links to a third of the endpoints are cut for 5 s', scenario: {...quiet, silences: [{at: 10_000, count: 20, returnsAfter: 5000}]}},
	{name: 'the same, callers repeat four times', scenario: {...quiet, callerRetries: 4, silences: [{at: 10_000, count: 20, returnsAfter: 5000}]}},
	{name: 'links to all endpoints are cut for 8 s, callers repeat four times', scenario: {...quiet, callerRetries: 4, silences: [{at: 10_000, count: 60, returnsAfter: 8000}]}},
	{name: 'half of the endpoints fails at once, callers repeat four times', scenario: {...quiet, callerRetries: 4, silences: [{at: 10_000, count: 30}]}},
	{name: 'the instance is frozen for 3 s', scenario: {...quiet, silences: [{at: 10_000, count: 60, returnsAfter: 3000}]}},
];

/** What counts as a crash, compared in virtual time with the product's decisions. */
export const crashEvidenceCommand: CommandModule = {
	command: 'crash-evidence',
	describe: 'which signs of a crash find the requests that crash endpoints, and whom they refuse by mistake',
	handler() {
		const table = new Table({head: ['course, sum of five seeds', ...ways.map(way => `${way}: lost, late; refused, for 10 min`)], style: {head: [], border: []}});
		for (const {name, scenario} of courses) {
			table.push([name, ...ways.map(way => {
				const outcomes = seeds.map(seed => simulateCrashes({...scenario, way, seed}));
				const sum = (key: 'lost' | 'late' | 'refused' | 'quarantined'): number => outcomes.reduce((total, outcome) => total + outcome[key], 0);
				return `${sum('lost')}, ${sum('late')}; ${sum('refused')}, ${sum('quarantined')}`;
			})]);
		}

		console.log(table.toString());
	},
};
