import {z} from 'zod';

/** Counts of a simulated day for one class of requests, or for one time window. */
const group = z.object({name: z.string(), n: z.number(), in_aim: z.number(), late: z.number(), refused: z.number(), failed: z.number(), worth: z.number()});

/** The fields of a simulated day's report that the table needs; others are ignored. */
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

/** A cause of lost worth, and the loss as a fraction of the maximum. */
export type Loss = {readonly cause: string; readonly worth: number; readonly detail: string};

/** Parses a report; throws if it is invalid. */
export function parseReport(text: string): Report {
	return reportSchema.parse(JSON.parse(text));
}

/** Prices below this fraction of the maximum worth are summed up in one row. */
const minimumPrice = 0.003;

/**
 * Returns the losses of one day, largest first; together with the day's worth they add up to 1. A part of the
 * goal loses its weight times its shortfall from 1; prices are subtracted unchanged.
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
	const largePrices = ofPrices.filter(({worth}) => worth >= minimumPrice);
	const rest = ofPrices.filter(({worth}) => worth < minimumPrice).reduce((sum, {worth}) => sum + worth, 0);
	return [...ofParts, ...largePrices, {cause: 'other prices', worth: rest, detail: ''}].toSorted((left, right) => right.worth - left.worth);
}
