import {
	admit, createAllocator, createLimiter, evenShare, finish, lacksLease, grantLease, reportIntervalMilliseconds, applyLease, createReport, type AllocatorState, type LimiterState, type FleetPosition,
} from '../../src/policy/limits/index.js';
import {createRandom} from '../harness/random.js';

/** Which entry the balancer sends a request to. */
export type Balancing = 'even' | 'one-sided' | 'shifting';
/** What becomes of the keeper: one for all, none from 10 s to 20 s, or two from 10 s to 20 s. */
export type KeeperFault = 'none' | 'lost' | 'doubled';
/** How the limit is shared: by leases, or as limit/N for comparison. */
export type Sharing = 'leased' | 'static';

export type Scenario = {
	readonly entries: number;
	readonly limit: number;
	/** Requests that callers send a second, fleet-wide. */
	readonly offered: number;
	readonly balancing: Balancing;
	readonly fault: KeeperFault;
	readonly sharing: Sharing;
	readonly kind: 'requestsPerSecond' | 'concurrency';
	readonly seed: number;
};

export type Outcome = {
	/** Admitted over what the limit and the offer allow, after the first two seconds. */
	readonly admittedShare: number;
	/** The fullest second, or the most at once, over the limit. */
	readonly overshoot: number;
	/** The emptiest second under the smaller of limit and offer; for concurrency the emptiest mean of a second. */
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

/** Runs the product's own decisions in virtual time; only the clock, the callers and the hops are made up. */
export function simulate(scenario: Scenario): Outcome {
	const run = Run.create(scenario);
	for (let now = 0; now < seconds * 1000; now += stepMilliseconds) {
		run.step(now);
	}

	return run.outcome();
}

type Node = {readonly name: string; readonly standing: FleetPosition; state: LimiterState | undefined; lastReportAt: number; lastUsedAt: number};

class Run {
	static create(scenario: Scenario): Run {
		return new Run(scenario);
	}

	readonly #scenario: Scenario;
	readonly #random;
	readonly #nodes: Node[];
	readonly #keepers: AllocatorState[] = [createAllocator(), createAllocator()];
	readonly #admitted = Array.from({length: seconds}, () => 0);
	readonly #sent = Array.from({length: seconds}, () => 0);
	readonly #endings = new Map<number, Node[]>();
	readonly #busy = Array.from({length: seconds}, () => 0);
	#running = 0;
	#mostRunning = 0;
	#reports = 0;
	#nextArrival = 0;

	private constructor(scenario: Scenario) {
		this.#scenario = scenario;
		this.#random = createRandom(scenario.seed);
		this.#nodes = Array.from({length: scenario.entries}, (_, position) => ({
			name: `entry-${position}`, standing: {entries: scenario.entries, position}, state: undefined, lastReportAt: Number.NEGATIVE_INFINITY, lastUsedAt: Number.NEGATIVE_INFINITY,
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
		this.#busy[Math.floor(now / 1000)]! += this.#running * stepMilliseconds / 1000;
	}

	outcome(): Outcome {
		const {limit, offered, entries, kind} = this.#scenario;
		const settled = this.#admitted.slice(settlingSeconds);
		const due = this.#sent.slice(settlingSeconds).map(sent => Math.min(sent, limit));
		const busy = this.#busy.slice(settlingSeconds);
		const target = Math.min(limit, offered * serviceMilliseconds / 1000);
		const isRate = kind === 'requestsPerSecond';
		return {
			admittedShare: isRate ? sum(settled) / sum(due) : sum(busy) / busy.length / target,
			overshoot: Math.max(0, ((isRate ? Math.max(...this.#admitted) : this.#mostRunning) / limit) - 1),
			undershoot: Math.max(0, 1 - (isRate ? Math.min(...settled.map((count, index) => count / due[index]!)) : Math.min(...busy.map(value => value / target)))),
			reportsPerEntrySecond: this.#reports / entries / seconds,
		};
	}

	#arrive(now: number): void {
		const node = this.#balance(now);
		const question = {limits: {[this.#scenario.kind]: this.#scenario.limit}, fleetPosition: node.standing, promptTokens: 1};
		this.#sent[Math.floor(now / 1000)]! += 1;
		node.state ??= createLimiter(question, now);
		node.lastUsedAt = now;
		if (lacksLease(node.state, now)) {
			this.#report(node, now);
		}

		const first = admit(node.state, question, now);
		node.state = first.state;
		let {decision} = first;
		if (decision.type === 'limited') {
			this.#report(node, now, true);
			({state: node.state, decision} = admit(node.state, question, now));
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
		const favoured = balancing === 'shifting' ? Math.floor(now / 5000) % this.#nodes.length : 0;
		return balancing !== 'even' && this.#random.uniform() < 0.9 ? this.#nodes[favoured]! : this.#random.pick(this.#nodes);
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
		const keeper = this.#keeperOf(node, now);
		if (keeper === undefined) {
			return;
		}

		const question = {limits: {[kind]: limit}, fleetPosition: node.standing};
		const leased = grantLease(this.#keepers[keeper]!, {holder: node.name, demand, limits: question.limits}, now);
		this.#keepers[keeper] = leased.state;
		node.state = applyLease(node.state, question, leased.lease, now + (2 * hopMilliseconds));
	}

	#keeperOf(node: Node, now: number): number | undefined {
		const {fault} = this.#scenario;
		const isFaulty = fault !== 'none' && now >= faultFrom && now < faultUntil;
		if (!isFaulty) {
			return 0;
		}

		return fault === 'lost' ? undefined : node.standing.position % 2;
	}
}

/** What `limit/N` would be, for the page. */
export function staticShare(limit: number, entries: number): number {
	return evenShare({requestsPerSecond: limit}, {entries, position: 0}).requestsPerSecond;
}

function sum(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0);
}
