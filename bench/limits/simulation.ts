import {
	admit, createAllocator, createLimiter, evenShare, finish, lacksLease, grantLease, reportIntervalMilliseconds, applyLease, createReport, type AllocatorState, type LimiterState, type FleetPosition,
} from '../../src/policy/limits/index.js';
import {createRandom} from '../harness/random.js';

/** How the load balancer distributes requests over the entries. */
export type Balancing = 'even' | 'one-sided' | 'shifting';
/** The allocator's fault: one allocator throughout, none from 10 s to 20 s, or two from 10 s to 20 s. */
export type AllocatorFault = 'none' | 'lost' | 'doubled';
/** How the limit is shared: by leases, or statically as limit/N for comparison. */
export type Sharing = 'leased' | 'static';

export type Scenario = {
	readonly entries: number;
	readonly limit: number;
	/** Requests per second that callers send, fleet-wide. */
	readonly offered: number;
	readonly balancing: Balancing;
	readonly fault: AllocatorFault;
	readonly sharing: Sharing;
	readonly kind: 'requestsPerSecond' | 'concurrency';
	readonly seed: number;
};

export type Outcome = {
	/** Admitted requests divided by the smaller of limit and offered load, after the first two seconds. */
	readonly admittedShare: number;
	/** The highest rate of a second, or the highest concurrency, as an excess over the limit. */
	readonly overshoot: number;
	/** The lowest rate (for concurrency the lowest mean) of a second, as a shortfall from the smaller of limit and offered load. */
	readonly undershoot: number;
	readonly reportsPerEntrySecond: number;
};

const seconds = 30;
const settlingSeconds = 2;
const stepMilliseconds = 5;
const idleMilliseconds = 10_000;
const hopMilliseconds = 2;
const serviceMilliseconds = 400;
const faultFrom = 10_000;
const faultUntil = 20_000;

/** Runs the product's decisions in virtual time; only the clock, the callers and the network hops are simulated. */
export function simulate(scenario: Scenario): Outcome {
	const run = Run.create(scenario);
	for (let now = 0; now < seconds * 1000; now += stepMilliseconds) {
		run.step(now);
	}

	return run.outcome();
}

type Node = {readonly name: string; readonly fleetPosition: FleetPosition; state: LimiterState | undefined; lastReportAt: number; lastUsedAt: number};

class Run {
	static create(scenario: Scenario): Run {
		return new Run(scenario);
	}

	readonly #scenario: Scenario;
	readonly #random;
	readonly #nodes: Node[];
	readonly #allocators: AllocatorState[] = [createAllocator(), createAllocator()];
	readonly #admitted = Array.from({length: seconds}, () => 0);
	readonly #sent = Array.from({length: seconds}, () => 0);
	readonly #endings = new Map<number, Node[]>();
	readonly #meanRunning = Array.from({length: seconds}, () => 0);
	#running = 0;
	#mostRunning = 0;
	#reports = 0;
	#nextArrival = 0;

	private constructor(scenario: Scenario) {
		this.#scenario = scenario;
		this.#random = createRandom(scenario.seed);
		this.#nodes = Array.from({length: scenario.entries}, (_, position) => ({
			name: `entry-${position}`, fleetPosition: {entries: scenario.entries, position}, state: undefined, lastReportAt: Number.NEGATIVE_INFINITY, lastUsedAt: Number.NEGATIVE_INFINITY,
		}));
	}

	step(now: number): void {
		for (const node of this.#endings.get(now) ?? []) {
			node.state = finish(node.state!, now);
			this.#running -= 1;
		}

		for (const node of this.#nodes) {
			this.#report(node, now);
		}

		while (this.#nextArrival <= now) {
			this.#arrive(now);
			this.#nextArrival += this.#random.exponential(1000 / this.#scenario.offered);
		}

		this.#mostRunning = Math.max(this.#mostRunning, this.#running);
		this.#meanRunning[Math.floor(now / 1000)]! += this.#running * stepMilliseconds / 1000;
	}

	outcome(): Outcome {
		const {limit, offered, entries, kind} = this.#scenario;
		const settled = this.#admitted.slice(settlingSeconds);
		const due = this.#sent.slice(settlingSeconds).map(sent => Math.min(sent, limit));
		const meanRunning = this.#meanRunning.slice(settlingSeconds);
		const target = Math.min(limit, offered * serviceMilliseconds / 1000);
		const isRate = kind === 'requestsPerSecond';
		return {
			admittedShare: isRate ? sum(settled) / sum(due) : sum(meanRunning) / meanRunning.length / target,
			overshoot: Math.max(0, ((isRate ? Math.max(...this.#admitted) : this.#mostRunning) / limit) - 1),
			undershoot: Math.max(0, 1 - (isRate ? Math.min(...settled.map((count, index) => count / due[index]!)) : Math.min(...meanRunning.map(value => value / target)))),
			reportsPerEntrySecond: this.#reports / entries / seconds,
		};
	}

	#arrive(now: number): void {
		const node = this.#balance(now);
		const entryLimits = {limits: {[this.#scenario.kind]: this.#scenario.limit}, fleetPosition: node.fleetPosition, promptTokens: 1};
		this.#sent[Math.floor(now / 1000)]! += 1;
		node.state ??= createLimiter(entryLimits, now);
		node.lastUsedAt = now;
		if (lacksLease(node.state, now)) {
			this.#report(node, now);
		}

		const first = admit(node.state, entryLimits, now);
		node.state = first.state;
		let {decision} = first;
		if (decision.type === 'limited') {
			this.#report(node, now, true);
			({state: node.state, decision} = admit(node.state, entryLimits, now));
		}

		if (decision.type !== 'admitted') {
			return;
		}

		this.#admitted[Math.floor(now / 1000)]! += 1;
		this.#running += 1;
		const end = now + (Math.ceil(this.#random.exponential(serviceMilliseconds) / stepMilliseconds) * stepMilliseconds) + stepMilliseconds;
		this.#endings.set(end, [...this.#endings.get(end) ?? [], node]);
	}

	#balance(now: number): Node {
		const {balancing} = this.#scenario;
		const preferredNode = balancing === 'shifting' ? Math.floor(now / 5000) % this.#nodes.length : 0;
		return balancing !== 'even' && this.#random.uniform() < 0.9 ? this.#nodes[preferredNode]! : this.#random.pick(this.#nodes);
	}

	#report(node: Node, now: number, isUrgent = false): void {
		const {sharing, kind, limit} = this.#scenario;
		const due = node.state !== undefined && now - node.lastReportAt >= reportIntervalMilliseconds(node.state, isUrgent) && now - node.lastUsedAt < idleMilliseconds;
		if (!node.state || !due || sharing === 'static') {
			return;
		}

		node.lastReportAt = now;
		this.#reports += 1;
		const {state, demand} = createReport(node.state, now);
		node.state = state;
		const allocator = this.#allocatorOf(node, now);
		if (allocator === undefined) {
			return;
		}

		const entryLimits = {limits: {[kind]: limit}, fleetPosition: node.fleetPosition};
		const leased = grantLease(this.#allocators[allocator]!, {holder: node.name, demand, limits: entryLimits.limits}, now);
		this.#allocators[allocator] = leased.state;
		node.state = applyLease(node.state, entryLimits, leased.lease, now + (2 * hopMilliseconds));
	}

	#allocatorOf(node: Node, now: number): number | undefined {
		const {fault} = this.#scenario;
		const isFaulty = fault !== 'none' && now >= faultFrom && now < faultUntil;
		if (!isFaulty) {
			return 0;
		}

		return fault === 'lost' ? undefined : node.fleetPosition.position % 2;
	}
}

/** Returns the static share `limit/N`. */
export function staticShare(limit: number, entries: number): number {
	return evenShare({requestsPerSecond: limit}, {entries, position: 0}).requestsPerSecond;
}

function sum(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0);
}
