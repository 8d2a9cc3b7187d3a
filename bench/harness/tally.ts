import Table from 'cli-table3';
import {build, type Histogram} from 'hdr-histogram-js';
import {type CallResult} from './caller.js';
import {type ClassPlan} from './catalogue.js';

/** Results of the calls of one class, as seen by their callers. */
export class ClassTally {
	static create(plan: ClassPlan): ClassTally {
		return new ClassTally(plan);
	}

	readonly plan: ClassPlan;
	sent = 0;
	whole = 0;
	wrong = 0;
	notRun = 0;
	mayHaveRun = 0;
	/** Failures without a verdict, after which the caller does not know whether the request ran. */
	withoutVerdict = 0;
	attained = 0;
	wholeTokens = 0;
	readonly firstToken: Histogram = build({lowestDiscernibleValue: 1, highestTrackableValue: 600_000, numberOfSignificantValueDigits: 3});

	private constructor(plan: ClassPlan) {
		this.plan = plan;
	}

	count(result: CallResult): void {
		this.sent += 1;
		if (result.firstTokenMilliseconds !== undefined) {
			this.firstToken.recordValue(Math.round(result.firstTokenMilliseconds));
		}

		if (result.outcome === 'whole') {
			this.whole += 1;
			this.wholeTokens += result.tokens;
			this.attained += this.#attains(result) ? 1 : 0;
		} else {
			this.#countFailure(result);
		}
	}

	/** Fraction of all requests sent that met both targets of their class. */
	get attainment(): number {
		return this.sent === 0 ? 1 : this.attained / this.sent;
	}

	#countFailure(result: CallResult): void {
		if (result.outcome === 'wrong') {
			this.wrong += 1;
		} else if (result.verdict === 'not-run') {
			this.notRun += 1;
		} else if (result.verdict === undefined) {
			this.withoutVerdict += 1;
		} else {
			this.mayHaveRun += 1;
		}
	}

	#attains(result: CallResult): boolean {
		const mean = result.gaps.length === 0 ? 0 : result.gaps.reduce((sum, gap) => sum + gap, 0) / result.gaps.length;
		return (result.firstTokenMilliseconds ?? 0) <= this.plan.firstTokenMilliseconds && mean <= this.plan.betweenTokensMilliseconds;
	}
}

/** Renders a table with a row per class. */
export function renderTally(tallies: readonly ClassTally[], seconds: number): string {
	const table = new Table({
		head: ['class', 'tier', 'sent', 'whole', 'wrong', 'not run', 'may have run', 'no verdict', 'attainment', 'first token p50 ms', 'p95 ms', 'goodput tokens/s'],
		style: {head: [], border: []},
	});
	for (const tally of tallies) {
		table.push([
			tally.plan.name,
			tally.plan.tier,
			tally.sent,
			tally.whole,
			tally.wrong,
			tally.notRun,
			tally.mayHaveRun,
			tally.withoutVerdict,
			`${(tally.attainment * 100).toFixed(1)}%`,
			tally.firstToken.getValueAtPercentile(50),
			tally.firstToken.getValueAtPercentile(95),
			(tally.wholeTokens / seconds).toFixed(0),
		]);
	}

	return table.toString();
}
