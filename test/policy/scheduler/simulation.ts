import {type RequestSummary} from '../../../src/model/index.js';
import {type Scheduler, type SchedulerAction, type SchedulerEvent} from '../../../src/policy/scheduler/index.js';

/** A request that a scenario sends, and how many tokens its answer turns out to have. */
export type Sent = {readonly at: number; readonly summary: RequestSummary; readonly tokens: number};

/** What became of it, as its caller saw it. */
export type Received = {
	readonly sent: Sent;
	firstTokenAt?: number;
	endedAt?: number;
	refusedAt?: number;
	/** How long its slot search took, if it got a slot. */
	offeredAt?: number;
	tokens: number;
	preemptions: number;
};

/** An endpoint in virtual time: a step gives each running request a token and takes longer the more run. */
export type EndpointCosts = {readonly stepMilliseconds: number; readonly stepMillisecondsPerRequest: number};

const wireMilliseconds = 1;
const tickEvery = 50;

/**
 * One side's queue before one endpoint in virtual time. An entry is as short as can be: it answers each
 * offer with the body, and reserves again when it was preempted.
 */
export class Simulation<State> {
	static run<State>(scheduler: Scheduler<State>, sent: readonly Sent[], costs: EndpointCosts, until: number): readonly Received[] {
		const simulation = new Simulation(scheduler, sent, costs);
		simulation.advance(until);
		return simulation.received;
	}

	readonly received: readonly Received[];
	private now = 0;
	private state: State;
	private readonly due: Array<{at: number; act: () => void}> = [];
	private readonly running = new Map<string, {received: Received; lastAt: number}>();
	private readonly waiting = new Map<string, Received>();
	private stepping = false;
	private count = 0;

	private constructor(private readonly scheduler: Scheduler<State>, sent: readonly Sent[], private readonly costs: EndpointCosts) {
		this.state = scheduler.create();
		this.received = sent.map(item => ({sent: item, tokens: 0, preemptions: 0}));
		for (const received of this.received) {
			this.at(received.sent.at, () => {
				this.reserve(received);
			});
		}
	}

	advance(until: number): void {
		this.at(0, () => {
			this.tick();
		});
		while (this.due.length > 0 && this.now <= until) {
			let first = 0;
			for (const [index, {at}] of this.due.entries()) {
				first = at < this.due[first]!.at ? index : first;
			}

			const [next] = this.due.splice(first, 1);
			this.now = next!.at;
			next!.act();
		}
	}

	private at(at: number, act: () => void): void {
		this.due.push({at, act});
	}

	private tick(): void {
		this.step({type: 'tick'});
		this.at(this.now + tickEvery, () => {
			this.tick();
		});
	}

	private reserve(received: Received): void {
		const id = `${this.count++}`;
		const {summary} = received.sent;
		const promptTokens = summary.promptTokens + received.tokens;
		this.waiting.set(id, received);
		this.step({type: 'arrived', id, summary: {...summary, promptTokens, preemptions: received.preemptions}});
	}

	private step(event: SchedulerEvent): void {
		const {state, actions} = this.scheduler.step(this.state, event, this.now);
		this.state = state;
		for (const action of actions) {
			this.perform(action);
		}
	}

	private perform(action: SchedulerAction): void {
		switch (action.type) {
			case 'offer': {
				this.at(this.now + (2 * wireMilliseconds), () => {
					this.start(action.id);
				});
				break;
			}

			case 'refuse': {
				this.waiting.get(action.id)!.refusedAt = this.now;
				this.waiting.delete(action.id);
				break;
			}

			case 'preempt': {
				this.at(this.now + wireMilliseconds, () => {
					this.stop(action.id);
				});
				break;
			}
		}
	}

	private start(id: string): void {
		const received = this.waiting.get(id);
		if (received === undefined) {
			return;
		}

		this.waiting.delete(id);
		received.offeredAt ??= this.now;
		this.running.set(id, {received, lastAt: this.now});
		this.step({type: 'started', id});
		this.stepEndpoint();
	}

	private stop(id: string): void {
		const running = this.running.get(id);
		if (running === undefined) {
			return;
		}

		this.running.delete(id);
		this.step({type: 'finished', id, outcome: 'preempted'});
		running.received.preemptions++;
		this.reserve(running.received);
	}

	private stepEndpoint(): void {
		if (this.stepping || this.running.size === 0) {
			return;
		}

		this.stepping = true;
		const {stepMilliseconds, stepMillisecondsPerRequest} = this.costs;
		this.at(this.now + stepMilliseconds + (stepMillisecondsPerRequest * this.running.size), () => {
			this.stepping = false;
			for (const [id, running] of this.running) {
				this.produce(id, running);
			}

			this.stepEndpoint();
		});
	}

	private produce(id: string, running: {received: Received; lastAt: number}): void {
		const {received} = running;
		received.firstTokenAt ??= this.now;
		received.tokens++;
		this.step({type: 'progressed', id, tokens: 1, milliseconds: this.now - running.lastAt});
		running.lastAt = this.now;
		if (received.tokens >= received.sent.tokens) {
			received.endedAt = this.now;
			this.running.delete(id);
			this.step({type: 'finished', id, outcome: 'whole'});
		}
	}
}

/** The part of these requests that got its whole answer, the first token in time. */
export function attainment(received: readonly Received[]): number {
	const good = received.filter(({sent, firstTokenAt, endedAt}) => endedAt !== undefined && firstTokenAt! - sent.at <= sent.summary.firstTokenMilliseconds);
	return good.length / received.length;
}

/** Requests at even distances, from `from` to `to`. */
export function stream(from: number, to: number, every: number, make: (index: number) => Omit<Sent, 'at'>): readonly Sent[] {
	const count = Math.floor((to - from) / every);
	return Array.from({length: count}, (_, index) => ({at: from + (index * every), ...make(index)}));
}
