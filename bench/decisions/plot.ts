import {parse, View} from 'vega';
import {type PlanName, plans} from './plan.js';
import {type FinishedRun} from './schedule.js';

type Bar = {readonly pattern: string; readonly variant: string; readonly attainment: number};

/** Draws the mean attainment of one class over the seeds: a group of bars for each pattern, one bar per variant. */
export async function plotAttainment(done: readonly FinishedRun[], plan: PlanName): Promise<string> {
	const view = new View(parse(describe(barsOf(done, plan), `Attainment of class ${plan}, tier ${plans[plan].tier}`)), {renderer: 'none'});
	return view.toSVG();
}

function barsOf(done: readonly FinishedRun[], plan: PlanName): readonly Bar[] {
	const keys = [...new Set(done.map(({pattern, variant}) => `${pattern}|${variant}`))];
	return keys.flatMap(key => {
		const [pattern, variant] = key.split('|');
		const runs = done.filter(one => one.pattern === pattern && one.variant === variant);
		const figures = runs.flatMap(one => one.figures.classes.filter(figure => figure.plan === plan));
		if (figures.length === 0) {
			return [];
		}

		let sum = 0;
		for (const {attainment} of figures) {
			sum += attainment;
		}

		return [{pattern: pattern!, variant: variant!, attainment: 100 * sum / figures.length}];
	});
}

function describe(bars: readonly Bar[], title: string): Parameters<typeof parse>[0] {
	return {
		$schema: 'https://vega.github.io/schema/vega/v6.json',
		title,
		width: 900,
		height: 260,
		padding: 10,
		data: [{name: 'bars', values: [...bars]}],
		scales: [
			{name: 'pattern', type: 'band', domain: {data: 'bars', field: 'pattern'}, range: 'width', padding: 0.15},
			{name: 'percent', type: 'linear', domain: [0, 100], range: 'height'},
			{name: 'variant', type: 'ordinal', domain: {data: 'bars', field: 'variant'}, range: {scheme: 'tableau10'}},
		],
		axes: [
			{orient: 'bottom', scale: 'pattern', labelAngle: -30, labelAlign: 'right'},
			{orient: 'left', scale: 'percent', title: 'in time, % of all sent', grid: true},
		],
		legends: [{fill: 'variant', title: 'variant'}],
		marks: [{
			type: 'group',
			from: {facet: {data: 'bars', name: 'facet', groupby: 'pattern'}},
			encode: {enter: {x: {scale: 'pattern', field: 'pattern'}}},
			signals: [{name: 'width', update: 'bandwidth(\'pattern\')'}],
			scales: [{name: 'place', type: 'band', range: 'width', domain: {data: 'facet', field: 'variant'}}],
			marks: [{
				type: 'rect',
				from: {data: 'facet'},
				encode: {
					enter: {
						x: {scale: 'place', field: 'variant'},
						width: {scale: 'place', band: 1},
						y: {scale: 'percent', field: 'attainment'},
						y2: {scale: 'percent', value: 0},
						fill: {scale: 'variant', field: 'variant'},
					},
				},
			}],
		}],
	};
}
