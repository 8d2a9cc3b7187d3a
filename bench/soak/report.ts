import Table from 'cli-table3';
import {type CallRecord} from './checker.js';
import {soakClasses} from './load.js';
import {type SeedResult} from './run-seed.js';

const traceMilliseconds = 3000;
const longestTrace = 12;

/** Sums over all seeds of a soak. */
export class Totals {
	static create(): Totals {
		return new Totals();
	}

	seeds = 0;
	requests = 0;
	violations = 0;
	tokensProduced = 0;
	tokensDelivered = 0;
	slowestChangeMilliseconds = 0;
	readonly #faults = new Map<string, number>();
	readonly #outcomes = new Map<string, number>();
	readonly #classes = new Map<string, {sent: number; attained: number}>();

	private constructor() {
		// Instances are made by `create`.
	}

	add(result: SeedResult): void {
		this.seeds++;
		this.requests += result.calls.length;
		this.violations += result.violations.length;
		this.tokensProduced += result.tokensProduced;
		this.slowestChangeMilliseconds = Math.max(this.slowestChangeMilliseconds, result.slowestChangeMilliseconds);
		for (const fault of result.faults) {
			increment(this.#faults, fault.kind);
		}

		for (const call of result.calls) {
			this.#addCall(call);
		}
	}

	print(): void {
		const kinds = [...this.#faults].toSorted(([first], [second]) => first.localeCompare(second));
		const faults = kinds.map(([kind, count]) => `${kind} ${count}`).join(', ');
		const total = kinds.reduce((sum, [, count]) => sum + count, 0);
		console.log(`${this.seeds} seeds, ${this.requests} requests, ${total} faults, ${this.violations} violations`);
		console.log(`faults: ${faults}`);
		console.log(`outcomes: ${[...this.#outcomes].map(([outcome, count]) => `${outcome} ${count}`).join(', ')}`);
		const table = new Table({head: ['class', 'sent', 'attainment'], style: {head: [], border: []}});
		for (const {name} of soakClasses) {
			const {sent, attained} = this.#classes.get(name) ?? {sent: 0, attained: 0};
			table.push([name, sent, percent(attained, sent)]);
		}

		console.log(table.toString());
		console.log(`tokens produced ${this.tokensProduced}, in whole answers ${this.tokensDelivered}, wasted work ${percent(this.tokensProduced - this.tokensDelivered, this.tokensProduced)}`);
		console.log(`slowest change in force everywhere, with a log that was well: ${Math.round(this.slowestChangeMilliseconds)} ms`);
	}

	#addCall(call: CallRecord): void {
		const failure = call.outcome === 'failed' ? `${call.verdict ?? 'no verdict'} (${call.code ?? 'no code'})` : call.outcome;
		increment(this.#outcomes, call.callerLeft ? 'caller left' : failure);
		if (call.outcome === 'whole') {
			this.tokensDelivered += call.tokens;
		}

		if (call.callerLeft) {
			return;
		}

		const counts = this.#classes.get(call.className) ?? {sent: 0, attained: 0};
		counts.sent++;
		counts.attained += call.outcome === 'whole' && (call.firstTokenMilliseconds ?? 0) <= call.dueMilliseconds ? 1 : 0;
		this.#classes.set(call.className, counts);
	}
}

/** Prints the violations of one seed, each with the faults that preceded it. */
export function printViolations(result: SeedResult): void {
	for (const {rule, detail, at} of result.violations) {
		const offset = Math.round(at - result.startedAt);
		console.log(`VIOLATION seed ${result.seed} at ${offset} ms: ${rule}: ${detail}`);
		const before = result.faults.filter(fault => fault.atMilliseconds <= offset && fault.atMilliseconds + fault.durationMilliseconds > offset - traceMilliseconds);
		for (const fault of before.slice(-longestTrace)) {
			console.log(`  ${fault.atMilliseconds} ms ${fault.kind}, target ${fault.target}, for ${fault.durationMilliseconds} ms`);
		}
	}
}

function percent(part: number, whole: number): string {
	return whole === 0 ? 'none' : `${((100 * part) / whole).toFixed(2)}%`;
}

function increment(counts: Map<string, number>, name: string): void {
	counts.set(name, (counts.get(name) ?? 0) + 1);
}
