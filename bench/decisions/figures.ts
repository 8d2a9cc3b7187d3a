import {build, type Histogram} from 'hdr-histogram-js';
import {type PlanName, plans, workspaces} from './plan.js';
import {type RunRecord, type Sample} from './run.js';

/** The figures of one class, as its callers saw them. Times are milliseconds. */
export type ClassFigures = {
	readonly plan: PlanName;
	readonly sent: number;
	/** Part of all that was sent that got a whole answer within both targets of its class. */
	readonly attainment: number;
	readonly firstToken: Percentiles;
	readonly betweenTokens: Percentiles;
	/** The longest time to a first token or to a refusal. */
	readonly worstWait: number;
	/** Part of those sent from two seconds after a burst on that were well served. */
	readonly recovered: number | undefined;
	readonly refusals: Readonly<Record<string, number>>;
};
export type Percentiles = {readonly p50: number; readonly p95: number; readonly p99: number};

/** The figures of one run. */
export type RunFigures = {
	readonly classes: readonly ClassFigures[];
	/** Tokens a second in answers that met their targets, while the load lasted. */
	readonly goodput: number;
	/** Part of the tokens produced that reached no caller as a part of a whole answer. */
	readonly wasted: number;
	readonly jain: number;
	readonly wrong: number;
	readonly broken: number;
	readonly violations: number;
	readonly timerLag: number;
};

const rampMilliseconds = 500;
const recoveryMilliseconds = 2000;

/** Works the figures out. */
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
		attainment: part(samples),
		firstToken,
		betweenTokens,
		worstWait: Math.max(...samples.map(({result}) => result.firstTokenMilliseconds ?? result.milliseconds)),
		recovered: burstEnd === undefined ? undefined : part(after),
		refusals,
	};
}

function part(samples: readonly Sample[]): number {
	return samples.length === 0 ? 1 : samples.filter(sample => isAttained(sample)).length / samples.length;
}

function isAttained({planned, result}: Sample): boolean {
	const plan = plans[planned.plan];
	const mean = result.gaps.length === 0 ? 0 : sum(result.gaps) / result.gaps.length;
	return result.outcome === 'whole' && result.firstTokenMilliseconds! <= plan.firstTokenMilliseconds && mean <= plan.betweenTokensMilliseconds;
}

/** Tokens within the load's time, each counted when it came: ends of long answers are not lumped together. */
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
 * Jain's index between workspaces of like weight, over what each got as a part of its max-min fair
 * share: who asked for less than an even share is judged by what it asked for.
 */
function jainOf(samples: readonly Sample[]): number {
	const asked = workspaces.map(workspace => sum(samples.filter(({planned}) => planned.workspace === workspace).map(({planned}) => planned.tokens)));
	const got = workspaces.map(workspace => sum(samples.filter(({planned, result}) => planned.workspace === workspace && result.outcome === 'whole').map(({result}) => result.tokens)));
	const fair = fairShares(asked, sum(got));
	const parts = got.map((tokens, index) => tokens / Math.max(1, fair[index]!)).filter((_, index) => asked[index]! > 0);
	return (sum(parts) ** 2) / (parts.length * sum(parts.map(value => value ** 2)));
}

function fairShares(asked: readonly number[], whole: number): readonly number[] {
	const shares = asked.map(() => 0);
	let left = whole;
	const order = asked.map((_, index) => index).toSorted((one, other) => asked[one]! - asked[other]!);
	for (const [place, index] of order.entries()) {
		shares[index] = Math.min(asked[index]!, left / (asked.length - place));
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

