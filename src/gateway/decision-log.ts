import {type Counter, type Latency, type Metrics, type PartLogger} from '../telemetry/index.js';
import {type ExchangeOptions} from './exchange-options.js';
import {type Decision} from './decision.js';

/** How an exchange ended. */
export type Finish = {
	readonly outcome: 'done' | 'left' | 'expired' | 'failed';
	readonly reason: string | undefined;
	readonly sendings: number;
	readonly verdict: string;
	readonly firstEventAt: number | undefined;
};

/** One sending to one endpoint. */
export type Sending = {
	readonly waitedMilliseconds: number;
	readonly startedAt: number;
	readonly firstEventAt: number | undefined;
	readonly events: number;
	/** The longest time between two of its events. */
	readonly pauseMilliseconds: number;
	readonly outcome: Finish['outcome'];
	readonly reason: string | undefined;
	readonly status: number;
};

/** Lines a second, on average and at once: at 300 bytes each, 120 kB a second at most leave the process. */
const linesPerSecond = 400;
const summaryMilliseconds = 1000;

/**
 * One line for each decision that touches a request. Failure: a burst of refusals writes so many lines
 * that the process has no time to serve. Above a rate, lines are counted instead, and one line a
 * second tells how many of each kind were left out. Metrics count all of them.
 */
export class DecisionLog implements Disposable {
	static create(logger: PartLogger, metrics: Metrics): DecisionLog {
		return new DecisionLog(logger, metrics);
	}

	readonly #logger: PartLogger;
	readonly #decisions: Counter;
	readonly #finished: Counter;
	readonly #firstEvents: Latency;
	readonly #durations: Latency;
	readonly #leftOut = new Map<string, number>();
	readonly #timer: NodeJS.Timeout;
	#lines = 0;

	private constructor(logger: PartLogger, metrics: Metrics) {
		this.#logger = logger;
		this.#decisions = metrics.counter('gateway_decisions_total', 'Places given and refused, by reason.', ['decision']);
		this.#finished = metrics.counter('gateway_requests_total', 'Requests that ended, by route and outcome.', ['route', 'outcome']);
		this.#firstEvents = metrics.latency('gateway_first_event', 'From arrival to the first event of a stream.');
		this.#durations = metrics.latency('gateway_request', 'From arrival to the end of the answer.');
		this.#timer = setInterval(() => {
			this.#summarise();
		}, summaryMilliseconds).unref();
	}

	[Symbol.dispose](): void {
		clearInterval(this.#timer);
		this.#summarise();
	}

	/** The request was turned down where places are given. */
	refused({facts, route, table, service, workspace}: ExchangeOptions, decision: Extract<Decision, {type: 'refused'}>, waitedMilliseconds: number): void {
		const {reason, candidates, ahead, waiting, foreseen} = decision;
		this.#decisions.add(1, {decision: reason});
		this.#write('Refused.', {
			request: facts.id, route: route.name, version: table.version, rank: table.rank(route, service, workspace), reason, candidates, ahead, waiting,
			endpointWait: rounded(foreseen?.endpoint), lineWait: rounded(foreseen?.line), left: rounded(foreseen?.left),
			retryAfter: Math.round(decision.retryAfterMilliseconds), waited: Math.round(waitedMilliseconds),
		});
	}

	/** One sending, from the choice of its endpoint to its outcome. */
	sent({facts, route, table, service, workspace, dispatcher}: ExchangeOptions, decision: Extract<Decision, {type: 'placed'}>, {waitedMilliseconds, startedAt, firstEventAt, pauseMilliseconds, ...outcome}: Sending): void {
		const now = performance.now();
		this.#decisions.add(1, {decision: 'placed'});
		this.#write('Sent.', {
			request: facts.id, route: route.name, version: table.version, rank: table.rank(route, service, workspace), endpoint: decision.record.id, unread: decision.prefillTokens,
			fetched: decision.fetch?.tokens, from: decision.fetch?.from, least: decision.leastPrefillTokens, expected: Math.round(decision.expectedMilliseconds), speed: Math.round(dispatcher.loadTracker.speed(decision.record.service).tokensPerMillisecond),
			candidates: decision.candidates, waited: Math.round(waitedMilliseconds), line: dispatcher.queueLength, ...outcome,
			firstEvent: firstEventAt === undefined ? undefined : Math.round(firstEventAt - startedAt), pause: Math.round(pauseMilliseconds), milliseconds: Math.round(now - startedAt),
		});
	}

	/** The final answer; a request that was served by its first sending has its line already. */
	finished({facts, route, arrivedAt}: ExchangeOptions, {firstEventAt, ...finish}: Finish): void {
		const milliseconds = performance.now() - arrivedAt;
		this.#finished.add(1, {route: route.name, outcome: finish.outcome});
		this.#durations.record(milliseconds, {route: route.name});
		if (firstEventAt !== undefined) {
			this.#firstEvents.record(firstEventAt - arrivedAt, {route: route.name});
		}

		if (finish.outcome !== 'done' || finish.sendings > 1) {
			this.#write('Finished.', {request: facts.id, route: route.name, ...finish, milliseconds: Math.round(milliseconds)});
		}
	}

	/** Ended before it had a route or a place. */
	turnedAway(request: string | undefined, status: number, why: Readonly<Record<string, unknown>>): void {
		this.#decisions.add(1, {decision: `status-${status}`});
		this.#write('Turned away.', {request, status, ...why});
	}

	#write(message: string, fields: Readonly<Record<string, unknown>>): void {
		this.#lines += 1;
		if (this.#lines > linesPerSecond) {
			this.#leftOut.set(message, (this.#leftOut.get(message) ?? 0) + 1);
			return;
		}

		this.#logger.info(message, fields);
	}

	#summarise(): void {
		if (this.#leftOut.size > 0) {
			this.#logger.warn('Lines left out.', {counts: Object.fromEntries(this.#leftOut)});
			this.#leftOut.clear();
		}

		this.#lines = 0;
	}
}

function rounded(milliseconds: number | undefined): number | undefined {
	return milliseconds === undefined ? undefined : Math.round(milliseconds);
}
