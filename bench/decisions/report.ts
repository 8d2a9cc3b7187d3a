import Table from 'cli-table3';
import {type ClassFigures, type Percentiles, type RunFigures} from './figures.js';
import {type PlanName, plans} from './plan.js';
import {type FinishedRun} from './schedule.js';

/** Renders all results of one seed, a row per variant. */
export function renderDetail(done: readonly FinishedRun[], full: number): string {
	return `${renderRuns(done, full)}\n${renderClasses(done)}`;
}

function renderRuns(done: readonly FinishedRun[], full: number): string {
	const rows = done.map(({pattern, seed, variant, figures}) => [
		pattern,
		seed,
		variant,
		figures.goodput.toFixed(0),
		percent(figures.goodput / full),
		percent(figures.wasted),
		figures.jain.toFixed(3),
		figures.wrong,
		figures.broken,
		figures.violations,
		figures.timerLag.toFixed(0),
	]);
	return table(['pattern', 'seed', 'variant', 'goodput tokens/s', 'of just full', 'wasted', 'Jain', 'wrong', 'broken', 'violations', 'timer lag ms'], rows);
}

function renderClasses(done: readonly FinishedRun[]): string {
	const rows = done.flatMap(({variant, figures}) => figures.classes.map(figure => [
		variant,
		figure.plan,
		plans[figure.plan].tier,
		figure.sent,
		percent(figure.attainment),
		list(figure.firstToken),
		list(figure.betweenTokens),
		figure.worstWait.toFixed(0),
		figure.recovered === undefined ? '' : percent(figure.recovered),
		reasons(figure),
	]));
	return table(['variant', 'class', 'tier', 'sent', 'attainment', 'first token p50/95/99', 'between tokens p50/95/99', 'worst wait', '2 s after burst', 'refusals'], rows);
}

/** Renders one row per pattern and variant: means over the seeds, and the worst value where the target is a bound. */
export function renderSummary(done: readonly FinishedRun[], full: number): string {
	const keys = [...new Set(done.map(({pattern, variant}) => `${pattern}|${variant}`))];
	const rows = keys.map(key => {
		const [pattern, variant] = key.split('|');
		const runs = done.filter(one => one.pattern === pattern && one.variant === variant).map(({figures}) => figures);
		return [
			pattern!,
			variant!,
			runs.length,
			...(Object.keys(plans) as PlanName[]).map(plan => spread(runs, plan)),
			percent(mean(runs.map(({goodput}) => goodput)) / full),
			percent(Math.max(...runs.map(({wasted}) => wasted))),
			Math.min(...runs.map(({jain}) => jain)).toFixed(3),
			worstWaits(runs),
			recovery(runs),
			sum(runs.map(({wrong, broken, violations}) => wrong + broken + violations)),
			Math.max(...runs.map(({timerLag}) => timerLag)).toFixed(0),
		];
	});
	const head = [
		'pattern',
		'variant',
		'runs',
		'answer mean (least)',
		'order',
		'chart',
		'goodput of full',
		'wasted, worst',
		'Jain, worst',
		'worst wait ms by tier',
		'recovered, worst',
		'wrong+broken+violations',
		'timer lag ms',
	];
	return table(head, rows);
}

/** Converts a rendered table to Markdown. */
export function toMarkdown(rendered: string): string {
	const lines = rendered.split('\n').filter(line => line.startsWith('|'));
	const columns = lines[0]!.split('|').length - 2;
	return [lines[0], `|${'---|'.repeat(columns)}`, ...lines.slice(1)].join('\n');
}

function spread(runs: readonly RunFigures[], plan: PlanName): string {
	const attainments = runs.flatMap(({classes}) => classes.filter(figure => figure.plan === plan).map(({attainment}) => attainment));
	return attainments.length === 0 ? '' : `${percent(mean(attainments))} (${percent(Math.min(...attainments))})`;
}

function worstWaits(runs: readonly RunFigures[]): string {
	return (Object.keys(plans) as PlanName[]).map(plan => {
		const waits = runs.flatMap(({classes}) => classes.filter(figure => figure.plan === plan).map(({worstWait}) => worstWait));
		return waits.length === 0 ? '-' : Math.max(...waits).toFixed(0);
	}).join(' / ');
}

function recovery(runs: readonly RunFigures[]): string {
	const attainments = runs.flatMap(({classes}) => classes.flatMap(({recovered}) => recovered ?? []));
	return attainments.length === 0 ? '' : percent(Math.min(...attainments));
}

function reasons({refusals}: ClassFigures): string {
	return Object.entries(refusals).map(([reason, count]) => `${reason} ${count}`).join(', ');
}

function list({p50, p95, p99}: Percentiles): string {
	return `${p50} / ${p95} / ${p99}`;
}

function percent(value: number): string {
	return `${(100 * value).toFixed(1)}%`;
}

function table(head: readonly string[], rows: ReadonlyArray<ReadonlyArray<string | number>>): string {
	const bars = {
		top: '',
		'top-mid': '',
		'top-left': '',
		'top-right': '',
		bottom: '',
		'bottom-mid': '',
		'bottom-left': '',
		'bottom-right': '',
		mid: '',
		'left-mid': '',
		'mid-mid': '',
		'right-mid': '',
		left: '|',
		right: '|',
		middle: '|',
	};
	const rendered = new Table({head: [...head], style: {head: [], border: []}, chars: bars});
	rendered.push(...rows.map(row => [...row]));
	return rendered.toString();
}

function mean(values: readonly number[]): number {
	return sum(values) / Math.max(1, values.length);
}

function sum(values: readonly number[]): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
}
