import {build, type Histogram} from 'hdr-histogram-js';
import {type PlanName, plans, workspaces} from './plan.js';
import {type RunRecord, type Sample} from './run.js';

/** Results of one class, as seen by its callers. Times are milliseconds. */
export type ClassFigures = {
	readonly plan: PlanName;
	readonly sent: number;
	/** Fraction of all requests sent that received a complete response within both targets of the class. */
	readonly attainment: number;
	readonly firstToken: Percentiles;
	readonly betweenTokens: Percentiles;
	/** The longest time to the first token or to a refusal. */
	readonly worstWait: number;
	/** Attainment of the requests sent later than two seconds after the end of a burst. */
	readonly recovered: number | undefined;
	readonly refusals: Readonly<Record<string, number>>;
};
export type Percentiles = {readonly p50: number; readonly p95: number; readonly p99: number};

/** Results of one run. */
export type RunFigures = {
	readonly classes: readonly ClassFigures[];
	/** Tokens per second in responses that met their targets, during the load. */
	readonly goodput: number;
	/** Fraction of the produced tokens that are not attainmentOf of a complete response. */
	readonly wasted: number;
	readonly jain: number;
	readonly wrong: number;
	readonly broken: number;
	readonly violations: number;
	readonly timerLag: number;
};

const rampMilliseconds = 500;
const recoveryMilliseconds = 2000;

/** Computes the results of a run. */
export function figuresOf(record: RunRecord): RunFigures {
	const {pattern, samples} = record;
	const used = (Object.keys(plans) as PlanName[]).filter(plan => samples.some(({planned}) => planned.plan === plan));
	const whole = samples.filter(({result}) => result.outcome === 'whole');
	return {
		classes: used.map(plan => classFigures(plan, samples.filter(({planned}) => planned.plan === plan), pattern.burstEnd)),
		goodput: goodputOf(samples.filter(sample => isAttained(sample)), pattern.milliseconds),
		wasted: 1 - (sum(whole.map(({result}) => result.tokens)) / Math.max(1, record.tokensProduced)),
		jain: jainOf(samples),
		wrong: samples.filter(({result}) => result.outcome === 'wrong').length,
		broken: samples.filter(({result}) => result.outcome === 'broken').length,
		violations: record.violations.length,
		timerLag: record.worstTimerLagMilliseconds,
	};
}

function classFigures(plan: PlanName, samples: readonly Sample[], burstEnd: number | undefined): ClassFigures {
	const firstToken = histogram(samples.flatMap(({result}) => result.firstTokenMilliseconds ?? []));
	const betweenTokens = histogram(samples.flatMap(({result}) => result.gaps));
	const refusals: Record<string, number> = {};
	for (const {result} of samples.filter(sample => sample.result.outcome !== 'whole')) {
		const reason = result.code ?? result.outcome;
		refusals[reason] = (refusals[reason] ?? 0) + 1;
	}

	const after = burstEnd === undefined ? [] : samples.filter(({sentAt}) => sentAt >= burstEnd + recoveryMilliseconds);
	return {
		plan,
		sent: samples.length,
		attainment: attainmentOf(samples),
		firstToken,
		betweenTokens,
		worstWait: Math.max(...samples.map(({result}) => result.firstTokenMilliseconds ?? result.milliseconds)),
		recovered: burstEnd === undefined ? undefined : attainmentOf(after),
		refusals,
	};
}

function attainmentOf(samples: readonly Sample[]): number {
	return samples.length === 0 ? 1 : samples.filter(sample => isAttained(sample)).length / samples.length;
}

function isAttained({planned, result}: Sample): boolean {
	const plan = plans[planned.plan];
	const mean = result.gaps.length === 0 ? 0 : sum(result.gaps) / result.gaps.length;
	return result.outcome === 'whole' && result.firstTokenMilliseconds! <= plan.firstTokenMilliseconds && mean <= plan.betweenTokensMilliseconds;
}

/** Tokens per second during the load. Each token counts at its arrival time, so that long responses don't count as a lump at their end. */
function goodputOf(samples: readonly Sample[], milliseconds: number): number {
	let tokens = 0;
	for (const {sentAt, result} of samples) {
		let at = sentAt + result.firstTokenMilliseconds!;
		tokens += isInside(at, milliseconds) ? 1 : 0;
		for (const gap of result.gaps) {
			at += gap;
			tokens += isInside(at, milliseconds) ? 1 : 0;
		}
	}

	return tokens * 1000 / (milliseconds - rampMilliseconds);
}

function isInside(at: number, milliseconds: number): boolean {
	return at >= rampMilliseconds && at < milliseconds;
}

/**
 * Jain's fairness index between workspaces of equal weight, over the fraction that each received of its max-min
 * fair share. For a workspace that requested for less than an even share, the fair share is what it requested for.
 */
function jainOf(samples: readonly Sample[]): number {
	const requested = workspaces.map(workspace => sum(samples.filter(({planned}) => planned.workspace === workspace).map(({planned}) => planned.tokens)));
	const received = workspaces.map(workspace => sum(samples.filter(({planned, result}) => planned.workspace === workspace && result.outcome === 'whole').map(({result}) => result.tokens)));
	const fair = fairShares(requested, sum(received));
	const shareFractions = received.map((tokens, index) => tokens / Math.max(1, fair[index]!)).filter((_, index) => requested[index]! > 0);
	return (sum(shareFractions) ** 2) / (shareFractions.length * sum(shareFractions.map(value => value ** 2)));
}

function fairShares(requested: readonly number[], whole: number): readonly number[] {
	const shares = requested.map(() => 0);
	let left = whole;
	const order = requested.map((_, index) => index).toSorted((one, other) => requested[one]! - requested[other]!);
	for (const [position, index] of order.entries()) {
		shares[index] = Math.min(requested[index]!, left / (requested.length - position));
		left -= shares[index];
	}

	return shares;
}

function histogram(values: readonly number[]): Percentiles {
	const recorded: Histogram = build({lowestDiscernibleValue: 1, highestTrackableValue: 600_000, numberOfSignificantValueDigits: 3});
	for (const value of values) {
		recorded.recordValue(Math.round(value));
	}

	return {p50: recorded.getValueAtPercentile(50), p95: recorded.getValueAtPercentile(95), p99: recorded.getValueAtPercentile(99)};
}

function sum(values: readonly number[]): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
}

