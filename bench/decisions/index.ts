import {writeFileSync} from 'node:fs';
import process from 'node:process';
import {type Argv, type CommandModule} from 'yargs';
import {measureFull} from './full.js';
import {patterns} from './patterns.js';
import {plotAttainment} from './plot.js';
import {renderDetail, renderSummary, toMarkdown} from './report.js';
import {type FinishedRun, runAll, type RunSpecification} from './schedule.js';
import {variants} from './variants.js';

type Options = {pattern: string[]; variant: string[]; seed: number; seeds: number; all: boolean; jobs: number; output: string; plot: string};

const fullMilliseconds = 3000;

/** `bench decisions`: the product's decisions under load compared with baselines. */
export const decisionsCommand: CommandModule<unknown, Options> = {
	command: 'decisions',
	describe: 'Which requests are served, wait or are refused, compared with baselines',
	builder: yargs => (yargs as Argv<Options>)
		.option('pattern', {type: 'array', string: true, choices: patterns.map(({name}) => name), default: [], describe: 'Patterns of load'})
		.option('variant', {type: 'array', string: true, choices: variants.map(({name}) => name), default: [], describe: 'What to measure; all unless given'})
		.option('seed', {type: 'number', default: 1, describe: 'The first seed'})
		.option('seeds', {type: 'number', default: 1, describe: 'How many seeds'})
		.option('all', {type: 'boolean', default: false, describe: 'Every pattern, with a summary'})
		.option('jobs', {type: 'number', default: 3, describe: 'Runs at a time, each in a process of its own'})
		.option('plot', {type: 'string', default: '', describe: 'A file for the top tier\'s attainment as SVG'})
		.option('output', {type: 'string', default: '', describe: 'A file for the tables as Markdown'}),
	handler: runDecisions,
};

async function runDecisions(options: Options): Promise<void> {
	const names = options.all ? patterns.map(({name}) => name) : options.pattern;
	if (names.length === 0) {
		throw new Error('Name a --pattern, or say --all.');
	}

	const full = await measureFull(fullMilliseconds, options.seed);
	console.log(`Just full, the same engines deliver ${full.toFixed(0)} tokens/s.`);
	const wanted = plan(names, options);
	const done = await runAll(wanted, options.jobs, one => {
		console.error(`${one.pattern} ${one.variant} seed ${one.seed} done`);
	});
	const ordered = wanted.map(one => done.find(other => other.pattern === one.pattern && other.variant === one.variant && other.seed === one.seed)!);
	print(ordered, full, options);
	if (options.plot !== '') {
		writeFileSync(options.plot, await plotAttainment(ordered, 'answer'));
	}

	process.exitCode = ordered.some(({figures}) => figures.wrong > 0 || figures.violations > 0) ? 1 : 0;
}

function plan(names: readonly string[], options: Options): readonly RunSpecification[] {
	const chosen = options.variant.length === 0 ? variants.map(({name}) => name) : options.variant;
	const seeds = Array.from({length: options.seeds}, (_, index) => options.seed + index);
	return names.flatMap(pattern => chosen.flatMap(variant => seeds.map(seed => ({pattern, variant, seed}))));
}

function print(done: readonly FinishedRun[], full: number, options: Options): void {
	if (!options.all && options.seeds === 1) {
		console.log(renderDetail(done, full));
	}

	const summary = renderSummary(done, full);
	console.log(summary);
	if (options.output !== '') {
		writeFileSync(options.output, `Just full: ${full.toFixed(0)} tokens/s.\n\n${toMarkdown(summary)}\n`);
	}
}
