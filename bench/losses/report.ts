import {z} from 'zod';

/** Requests of one kind, or of one span of time, as a played day counted them. */
const group = z.object({name: z.string(), n: z.number(), in_aim: z.number(), late: z.number(), refused: z.number(), failed: z.number(), worth: z.number()});

/** What a report of a played day has to hold for the table; more is ignored. */
const reportSchema = z.object({
	G: z.number(),
	served: z.number(),
	parts: z.array(z.tuple([z.string(), z.number(), z.number()])),
	prices: z.array(z.tuple([z.string(), z.number(), z.number()])),
	classes: z.array(group),
	windows: z.array(group),
	unserved_by: z.array(z.tuple([z.string(), z.number()]).rest(z.unknown())),
});

export type Report = z.output<typeof reportSchema>;

/** Why worth was lost, and how much of what the day could have earned. */
export type Loss = {readonly cause: string; readonly worth: number; readonly detail: string};

/** Reads a report; throws with what is wrong. */
export function parseReport(text: string): Report {
	return reportSchema.parse(JSON.parse(text));
}

/** Prices below this part of the day's worth are summed up. */
const leastPrice = 0.003;

/**
 * The causes of one day, largest first; together with the day's worth they make 1. A part of the goal loses its
 * weight times what lacks to 1; prices are taken off as they stand.
 */
export function lossesOf({parts, prices, classes, windows}: Report): Loss[] {
	const worst = windows.filter(({n}) => n > 0).toSorted((left, right) => left.worth - right.worth).slice(0, 2);
	const details: Readonly<Record<string, string>> = {
		'whole day': classes.filter(({n}) => n > 0).map(({name, late, refused, failed, n}) => `${name}: ${late} late, ${refused} refused, ${failed} failed of ${n}`).join('; '),
		'worst windows': worst.map(({name, worth, late, refused, failed}) => `second ${name}: ${worth.toFixed(2)} (${late} late, ${refused} refused, ${failed} failed)`).join('; '),
		'worst class': classes.filter(({n}) => n > 0).toSorted((left, right) => left.worth - right.worth).slice(0, 1).map(({name, worth}) => `${name}: ${worth.toFixed(2)}`).join(''),
	};
	const ofParts = parts.map(([name, weight, earned]): Loss => ({cause: name, worth: weight * (1 - earned), detail: details[name] ?? ''}));
	const ofPrices = prices.map(([name, amount, price]): Loss => ({cause: `price: ${name}`, worth: price, detail: String(amount)}));
	const dear = ofPrices.filter(({worth}) => worth >= leastPrice);
	const rest = ofPrices.filter(({worth}) => worth < leastPrice).reduce((sum, {worth}) => sum + worth, 0);
	return [...ofParts, ...dear, {cause: 'other prices', worth: rest, detail: ''}].toSorted((left, right) => right.worth - left.worth);
}
