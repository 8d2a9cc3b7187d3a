import {type RequestSummary} from '../../../src/model/index.js';
import {type Scheduler, type SchedulerAction, type SchedulerEvent} from '../../../src/policy/scheduler/index.js';

/** A request that a scenario sends, and the length of its response in tokens. */
export type SimulatedRequest = {readonly at: number; readonly summary: RequestSummary; readonly tokens: number};

/** The result of a request, as seen by its caller. */
export type RequestResult = {
	readonly sent: SimulatedRequest;
	firstTokenAt?: number;
	endedAt?: number;
	refusedAt?: number;
	/** When it first got a slot, if it did. */
	offeredAt?: number;
	tokens: number;
	preemptions: number;
};

/** Costs of an endpoint in virtual time: a decoding step gives each running request a token and takes longer the more requests run. */
export type EndpointCosts = {readonly stepMilliseconds: number; readonly stepMillisecondsPerRequest: number};

const networkMilliseconds = 1;
const tickMilliseconds = 50;

/**
 * One side's scheduler in front of one endpoint, in virtual time. The entry is minimal: it answers each
 * offer with the body, and makes a new reservation when a request was preempted.
 */
export class Simulation<State> {
	static run<State>(scheduler: Scheduler<State>, sent: readonly SimulatedRequest[], costs: EndpointCosts, until: number): readonly RequestResult[] {
		const simulation = new Simulation(scheduler, sent, costs);
		simulation.advance(until);
		return simulation.received;
	}

	readonly received: readonly RequestResult[];
	private now = 0;
	private state: State;
	private readonly events: Array<{at: number; run: () => void}> = [];
	private readonly running = new Map<string, {received: RequestResult; lastAt: number}>();
	private readonly waiting = new Map<string, RequestResult>();
	private isStepping = false;
	private count = 0;

	private constructor(private readonly scheduler: Scheduler<State>, sent: readonly SimulatedRequest[], private readonly costs: EndpointCosts) {
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
		while (this.events.length > 0 && this.now <= until) {
			let first = 0;
			for (const [index, {at}] of this.events.entries()) {
				first = at < this.events[first]!.at ? index : first;
			}

			const [next] = this.events.splice(first, 1);
			this.now = next!.at;
			next!.run();
		}
	}

	private at(at: number, run: () => void): void {
		this.events.push({at, run});
	}

	private tick(): void {
		this.step({type: 'tick'});
		this.at(this.now + tickMilliseconds, () => {
			this.tick();
		});
	}

	private reserve(received: RequestResult): void {
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
				this.at(this.now + (2 * networkMilliseconds), () => {
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
				this.at(this.now + networkMilliseconds, () => {
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
		if (this.isStepping || this.running.size === 0) {
			return;
		}

		this.isStepping = true;
		const {stepMilliseconds, stepMillisecondsPerRequest} = this.costs;
		this.at(this.now + stepMilliseconds + (stepMillisecondsPerRequest * this.running.size), () => {
			this.isStepping = false;
			for (const [id, running] of this.running) {
				this.produce(id, running);
			}

			this.stepEndpoint();
		});
	}

	private produce(id: string, running: {received: RequestResult; lastAt: number}): void {
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

/** The fraction of these requests that got their complete response with the first token in time. */
export function attainment(received: readonly RequestResult[]): number {
	const attained = received.filter(({sent, firstTokenAt, endedAt}) => endedAt !== undefined && firstTokenAt! - sent.at <= sent.summary.firstTokenMilliseconds);
	return attained.length / received.length;
}

/** Requests at regular intervals, from `from` to `to`. */
export function requestsEvery(from: number, to: number, intervalMilliseconds: number, make: (index: number) => Omit<SimulatedRequest, 'at'>): readonly SimulatedRequest[] {
	const count = Math.floor((to - from) / intervalMilliseconds);
	return Array.from({length: count}, (_, index) => ({at: from + (index * intervalMilliseconds), ...make(index)}));
}
