import {v7 as createKey} from 'uuid';
import {callModel, type CallResult} from '../harness/caller.js';
import {type ClassPlan, keyOf} from '../harness/catalogue.js';
import {type Random} from '../harness/random.js';
import {type CallRecord} from './checker.js';
import {poisonText, soakModel, type World} from './world.js';

export const workspaces = ['stickwerk-auer', 'stickwerk-brandl', 'cuarto-andino-lima', 'cuarto-andino-cusco'];

export const soakClasses: readonly ClassPlan[] = [
	{name: 'answer', tier: 0, firstTokenMilliseconds: 500, betweenTokensMilliseconds: 100, queueMilliseconds: 3000},
	{name: 'order', tier: 1, firstTokenMilliseconds: 1500, betweenTokensMilliseconds: 150, queueMilliseconds: 6000},
	{name: 'chart', tier: 2, firstTokenMilliseconds: 8000, betweenTokensMilliseconds: 300, queueMilliseconds: 15_000},
	{
		name: 'ticket', tier: 1, firstTokenMilliseconds: 1500, betweenTokensMilliseconds: 150, queueMilliseconds: 6000, idempotent: false,
	},
];

/** Sent with an idempotency key, since it must not run twice. */
const ticketClass = soakClasses[3]!;
const keyedChance = 0.1;
/** Number of rounds in which a caller sends its key; the first goes to two entries at once. */
const keyedSends = 3;
const meanTokens = 40;
const disconnectChance = 0.05;
const disconnectWithinMilliseconds = 400;
const slowCallerChance = 0.03;
const slowCallerPauseMilliseconds = 20;
const poisonSends = 4;
const burstCalls = 60;

/** The callers of one run. Sends calls and records the result of each. */
export class Callers {
	static create(world: World, random: Random, seed: number): Callers {
		return new Callers(world, random, seed);
	}

	readonly records: CallRecord[] = [];
	readonly results: CallResult[] = [];
	/** Number of requests sent that crash the engine that runs them. */
	poisonSent = 0;
	readonly #world: World;
	readonly #random: Random;
	readonly #seed: number;
	readonly #pending = new Set<Promise<void>>();
	#sent = 0;

	private constructor(world: World, random: Random, seed: number) {
		this.#world = world;
		this.#random = random;
		this.#seed = seed;
	}

	/** Starts one ordinary call without waiting for its result. */
	send(): void {
		const random = this.#random;
		this.#sent++;
		if (random.uniform() < keyedChance) {
			this.#start(this.#ticket(random.below(1000)));
			return;
		}

		const tokens = 1 + Math.floor(random.exponential(meanTokens));
		this.#start(this.#sendCall({
			prompt: `seed ${this.#seed} call ${this.#sent} [[tokens=${tokens}]]`,
			plan: random.pick(soakClasses.slice(0, 3)),
			workspace: random.pick(workspaces),
			target: random.below(1000),
			disconnectAfter: random.uniform() < disconnectChance ? random.below(disconnectWithinMilliseconds) : undefined,
			pause: random.uniform() < slowCallerChance ? slowCallerPauseMilliseconds : undefined,
		}));
	}

	/** Starts many calls at once from one workspace, in the lowest tier. */
	burst(target: number): void {
		for (let count = 0; count < burstCalls; count++) {
			this.#sent++;
			this.#start(this.#sendCall({
				...steadyCaller, prompt: `seed ${this.#seed} burst ${this.#sent} [[tokens=60]]`, plan: soakClasses[2]!, workspace: workspaces[target % workspaces.length]!, target: target + count,
			}));
		}
	}

	/** Starts a request that crashes each engine that runs it; its caller sends it again through other entries. */
	poison(target: number): void {
		this.poisonSent++;
		const prompt = `${poisonText} of seed ${this.#seed}, number ${this.poisonSent}`;
		this.#start(this.#sendPoison(prompt, target));
	}

	/** Resolves once every call has ended. */
	async settled(): Promise<void> {
		while (this.#pending.size > 0) {
			await Promise.all(this.#pending);
		}
	}

	async #sendPoison(prompt: string, target: number): Promise<void> {
		for (let attempt = 0; attempt < poisonSends; attempt++) {
			await this.#sendCall({...steadyCaller, prompt, plan: soakClasses[1]!, workspace: workspaces[target % workspaces.length]!, target: target + attempt});
		}
	}

	/** Sends the same key to two entries at once and then several times more, like a caller that retries aggressively. */
	async #ticket(target: number): Promise<void> {
		const key = createKey();
		const call = {
			...steadyCaller, key, prompt: `seed ${this.#seed} ticket ${this.#sent} [[tokens=30]]`, plan: ticketClass, workspace: workspaces[target % workspaces.length]!,
		};
		await Promise.all([this.#sendCall({...call, target}), this.#sendCall({...call, target: target + 1})]);
		for (let attempt = 1; attempt < keyedSends; attempt++) {
			await this.#sendCall({...call, target: target + attempt});
		}
	}

	#start(call: Promise<void>): void {
		this.#pending.add(call);
		void call.finally(() => {
			this.#pending.delete(call);
		});
	}

	async #sendCall({prompt, key, plan, workspace, target, disconnectAfter, pause}: Call): Promise<void> {
		const {address} = this.#world.pickEntry(target).entry;
		const abort = new AbortController();
		const timer = disconnectAfter === undefined
			? undefined
			: setTimeout(() => {
				abort.abort();
			}, disconnectAfter);
		const startedAt = performance.now();
		const result = await callModel({
			address, key: keyOf(workspace), className: plan.name, model: soakModel, prompt, signal: abort.signal, pauseMilliseconds: pause, idempotencyKey: key,
		});
		clearTimeout(timer);
		this.results.push(result);
		this.records.push({
			prompt,
			key,
			className: plan.name,
			entry: address,
			startedAt,
			endedAt: performance.now(),
			outcome: result.outcome,
			verdict: result.verdict,
			code: result.code,
			ending: `status ${result.status}, ${result.tokens} tokens, ${result.breakReason ?? 'ended cleanly'}`,
			callerLeft: abort.signal.aborted,
			tokens: result.tokens,
			firstTokenMilliseconds: result.firstTokenMilliseconds,
			dueMilliseconds: plan.firstTokenMilliseconds,
		});
	}
}

type Call = {
	readonly prompt: string;
	readonly key?: string;
	readonly plan: ClassPlan;
	readonly workspace: string;
	readonly target: number;
	readonly disconnectAfter: number | undefined;
	readonly pause: number | undefined;
};

/** A caller that does not disconnect and reads without pauses. */
const steadyCaller = {disconnectAfter: undefined, pause: undefined};
