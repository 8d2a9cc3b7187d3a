/**
 * Long randomised runs with fault injection: real entries and sides over loopback, stand-ins around them,
 * and a checker independent of the product. Prints the seed and exits with 1 if a rule was violated.
 */
import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {faultKinds} from './soak/plan.js';
import {printViolations, Totals} from './soak/report.js';
import {runSeed} from './soak/run-seed.js';

const settings = await yargs(hideBin(process.argv))
	.usage('npm run soak -- --seed N --minutes M [--seconds S]')
	.option('seed', {type: 'number', default: 1, describe: 'the first seed; each run takes the next'})
	.option('minutes', {type: 'number', default: 1, describe: 'no run starts after so many minutes'})
	.option('seconds', {type: 'number', default: 10, describe: 'how long callers send in each run'})
	.option('only', {type: 'string', array: true, choices: faultKinds, describe: 'inject these faults alone'})
	.strict()
	.parseAsync();

const totals = Totals.create();
const until = performance.now() + (settings.minutes * 60_000);
let {seed} = settings;
do {
	const result = await runSeed(seed, settings.seconds, settings.only);
	totals.add(result);
	printViolations(result);
	seed++;
} while (performance.now() < until);

totals.print();
process.exitCode = totals.violations === 0 ? 0 : 1;
