import {type MemoryShortage, findKept, type KeptValue} from '../../policy/dispatch/index.js';
import {type Counter, type Latency, LogLimit, type Metrics, type PartLogger} from '../../telemetry/index.js';
import {type Decision, type Dispatcher} from '../placement/index.js';
import {type LongestPause, type PlacedDecision} from './attempt-state.js';
import {type RequestContext} from './placement-request.js';
import {type RetryDecision} from './retry-progress.js';

/** What the lines about a request name of it. */
export type LoggedRequest = RequestContext & {readonly dispatcher: Dispatcher};

/** How an exchange ended. */
export type ExchangeResult = {
	readonly outcome: 'done' | 'left' | 'expired' | 'failed';
	readonly reason: string | undefined;
	readonly sendings: number;
	readonly verdict: string;
	readonly firstEventAt: number | undefined;
	/** How much time it had left until its deadline or its route's timeout. */
	readonly leftMilliseconds: number;
	/** Which of the two ends it first. */
	readonly limit: 'deadline' | 'timeout';
	/** How long before its reading it can have arrived. */
	readonly unreadMilliseconds: number;
	/** How late the event loop was, which ends requests sooner. */
	readonly lagMilliseconds: number;
	/** How late it was at most in the last seconds, by which an answer that has begun ends sooner. */
	readonly longestLagMilliseconds: number;
};

/** One attempt at one endpoint. */
export type AttemptResult = {
	readonly waitedMilliseconds: number;
	readonly startedAt: number;
	readonly firstEventAt: number | undefined;
	readonly events: number;
	readonly longestPause: LongestPause | undefined;
	readonly outcome: ExchangeResult['outcome'];
	readonly reason: string | undefined;
	readonly status: number;
	/** Searches for another endpoint while this one was silent, if there were any. */
	readonly searches?: number;
	/** Set if the attempt was given up while its endpoint might not have the request yet. */
	readonly givenUp: GivenUp | undefined;
};

/** An attempt that was given up before anything came back, and how much of its request had not left the process. */
export type GivenUp = {readonly unsentBytes: number};

/** Limit of log lines in each second, also in a burst: at 300 bytes a line, at most 120 kB a second are written. */
const maxLinesPerSecond = 400;
const summaryMilliseconds = 1000;
/** Errors that are logged, told apart by the first characters of what they say. */
const maxErrorKeys = 100;
const maxErrorKeyCharacters = 100;
/** Limit for the endpoints held by their own statements that one line names. */
const maxLoggedHeld = 8;

/**
 * Logs one line for each decision about a request. Above a rate, lines are counted instead of written, and one line a second
 * reports how many of each kind were dropped; otherwise a burst of refusals would write so many lines that the process has no
 * time to serve requests. Metrics count all of them.
 */
export class DecisionLog implements Disposable {
	static create(logger: PartLogger, metrics: Metrics): DecisionLog {
		return new DecisionLog(logger, metrics);
	}

	readonly #logger: PartLogger;
	readonly #decisions: Counter;
	readonly #finished: Counter;
	readonly #retries: Counter;
	readonly #givenUp: Counter;
	readonly #keptPrompts: Counter;
	readonly #firstEvents: Latency;
	readonly #durations: Latency;
	readonly #errors: Counter;
	readonly #cut: Counter;
	readonly #errorLimit = LogLimit.create({intervalMilliseconds: summaryMilliseconds, maxKeys: maxErrorKeys});
	readonly #dropped = new Map<string, number>();
	readonly #timer: NodeJS.Timeout;
	#lines = 0;

	private constructor(logger: PartLogger, metrics: Metrics) {
		this.#logger = logger;
		this.#decisions = metrics.counter('gateway_decisions_total', 'Placements and refusals, by reason.', ['decision']);
		this.#finished = metrics.counter('gateway_requests_total', 'Requests that ended, by route and outcome.', ['route', 'outcome']);
		this.#retries = metrics.counter('gateway_retry_decisions_total', 'Failed attempts, by service, and by what was decided about a retry.', ['service', 'decision']);
		this.#givenUp = metrics.counter('gateway_attempts_given_up_total', 'Attempts given up before their endpoint sent anything, by service.', ['service']);
		this.#keptPrompts = metrics.counter('gateway_kept_prompts_total', 'Prompts sent to an idle engine, by what was believed of their shared parts there, and by what the first event showed.', ['believed', 'found']);
		this.#errors = metrics.counter('gateway_request_errors_total', 'Requests that ended by an error of this process, by route.', ['route']);
		this.#cut = metrics.counter('gateway_cut_responses_total', 'Responses that this instance cut off by closing their connection, by whether they had begun.', ['begun']);
		this.#firstEvents = metrics.latency('gateway_first_event', 'From arrival to the first event of a stream.');
		this.#durations = metrics.latency('gateway_request', 'From arrival to the end of the response.');
		this.#timer = setInterval(() => {
			this.#logDropped();
		}, summaryMilliseconds).unref();
	}

	[Symbol.dispose](): void {
		clearInterval(this.#timer);
		this.#logDropped();
	}

	/** Logs that placement refused the request. */
	logRefusal(options: LoggedRequest, decision: Extract<Decision, {type: 'refused'}>, waitedMilliseconds: number): void {
		const {facts, route, table, service, workspace, dispatcher} = options;
		const {reason, candidates, ahead, waiting, foreseen, memory} = decision;
		const held = dispatcher.statements.held(service, performance.now());
		this.#decisions.add(1, {decision: reason});
		this.#write('Refused.', {
			request: facts.id, route: route.name, version: table.version, rank: table.rank(route, service, workspace), reason, candidates, ahead, waiting,
			...(held.length > 0 && {heldCount: held.length, held: held.slice(0, maxLoggedHeld)}),
			endpointWait: rounded(foreseen?.endpoint), lineWait: rounded(foreseen?.line), left: rounded(foreseen?.left), ...memoryFields(memory),
			retryAfter: Math.round(decision.retryAfterMilliseconds), waited: Math.round(waitedMilliseconds),
		});
	}

	/** Logs one attempt, from the choice of its endpoint to its outcome. */
	logAttempt(
		{facts, route, table, service, workspace, dispatcher}: LoggedRequest,
		decision: PlacedDecision,
		{waitedMilliseconds, startedAt, firstEventAt, longestPause, givenUp, ...outcome}: AttemptResult,
	): void {
		const now = performance.now();
		this.#decisions.add(1, {decision: 'placed'});
		if (givenUp !== undefined) {
			this.#givenUp.add(1, {service});
		}

		this.#countKept(decision, firstEventAt === undefined ? undefined : firstEventAt - startedAt);
		this.#write('Sent.', {
			request: facts.id, route: route.name, version: table.version, rank: table.rank(route, service, workspace), endpoint: decision.record.id, unread: decision.prefillTokens,
			fetched: decision.fetch?.tokens, from: decision.fetch?.from, least: decision.leastPrefillTokens, expected: Math.round(decision.expectedMilliseconds),
			speed: Math.round(dispatcher.loadTracker.prefillSpeed(decision.record.service).tokensPerMillisecond),
			class: dispatcher.loadTracker.paces.classes(decision.record.service)?.get(decision.record.id),
			...loggedKept(decision.kept), candidates: decision.candidates, waited: Math.round(waitedMilliseconds), line: dispatcher.queueLength, ...memoryFields(decision.memory), ...outcome,
			firstEvent: firstEventAt === undefined ? undefined : Math.round(firstEventAt - startedAt), ...pauseFields(longestPause), milliseconds: Math.round(now - startedAt),
			...(givenUp !== undefined && {givenUpUnsent: givenUp.unsentBytes}),
		});
	}

	/** Counts the decision after a failed attempt, and logs why the request is not retried; the attempt that follows a retry has its own line. */
	logRetryDecision({facts, route, service}: LoggedRequest, decision: RetryDecision): void {
		if (decision.type === 'retry') {
			this.#retries.add(1, {service, decision: 'retry'});
			return;
		}

		const {reason} = decision;
		this.#retries.add(1, {service, decision: reason});
		if (reason !== 'allowance') {
			this.#write('Not retried.', {request: facts.id, route: route.name, service, reason});
			return;
		}

		const {spent, requests, allowed, sharing, ownSlack} = decision.grant;
		this.#write('Not retried.', {request: facts.id, route: route.name, service, reason, spent, requests, allowed: Math.floor(allowed), ownSlack: Math.floor(ownSlack), instances: sharing.type === 'known' ? sharing.instances : 'unknown'});
	}

	/** Logs the final response; a request served by its first attempt already has its line. */
	logResult({facts, route, table, arrivedAt}: LoggedRequest, {firstEventAt, leftMilliseconds, unreadMilliseconds, lagMilliseconds, longestLagMilliseconds, ...result}: ExchangeResult): void {
		const milliseconds = performance.now() - arrivedAt;
		this.#finished.add(1, {route: route.name, outcome: result.outcome});
		this.#durations.record(milliseconds, {route: route.name});
		if (firstEventAt !== undefined) {
			this.#firstEvents.record(firstEventAt - arrivedAt, {route: route.name});
		}

		if (result.outcome !== 'done' || result.sendings > 1) {
			this.#write('Finished.', {
				request: facts.id, route: route.name, version: table.version, ...result, milliseconds: Math.round(milliseconds), left: Math.round(leftMilliseconds), unread: Math.round(unreadMilliseconds),
				lag: Math.round(lagMilliseconds), longestLag: Math.round(longestLagMilliseconds),
			});
		}
	}

	/** Counts an error of this process that ended one request, and logs it with its stack; one that many requests meet is logged once a second. */
	logError(error: unknown, request: {readonly request?: string | undefined; readonly route?: string; readonly sendings: number}): void {
		this.#errors.add(1, {route: request.route ?? 'none'});
		if (this.#errorLimit.allows(String(error).slice(0, maxErrorKeyCharacters))) {
			this.#logger.error('A request failed by an error of this process.', {...request, err: error});
		}
	}

	/** Logs a request that is neither begun nor answered, since a response before it on its connection says that the connection closes. */
	logIgnored(request: string | undefined): void {
		this.#decisions.add(1, {decision: 'ignored'});
		this.#write('Ignored behind a response that closes its connection.', {request});
	}

	/** Logs that this instance has closed a connection on which a response was owed, or was not complete. */
	logCut(request: string | undefined, details: {readonly hasBegun: boolean; readonly isStopping: boolean}): void {
		this.#cut.add(1, {begun: String(details.hasBegun)});
		this.#write('Closed a connection without a whole response.', {request, ...details});
	}

	/** Logs a request that ended before it had a route or a placement. */
	logRejection(request: string | undefined, status: number, details: Readonly<Record<string, unknown>>): void {
		this.#decisions.add(1, {decision: `status-${status}`});
		this.#write('Rejected.', {request, status, ...details});
	}

	#countKept({kept, expectedMilliseconds}: PlacedDecision, firstEventMilliseconds: number | undefined): void {
		const finding = kept === undefined || firstEventMilliseconds === undefined ? undefined : findKept(kept, {expectedMilliseconds, firstEventMilliseconds});
		if (finding !== undefined) {
			this.#keptPrompts.add(1, finding);
		}
	}

	#write(message: string, fields: Readonly<Record<string, unknown>>): void {
		this.#lines += 1;
		if (this.#lines > maxLinesPerSecond) {
			this.#dropped.set(message, (this.#dropped.get(message) ?? 0) + 1);
			return;
		}

		this.#logger.info(message, fields);
	}

	#logDropped(): void {
		if (this.#dropped.size > 0) {
			this.#logger.warn('Log lines dropped.', {counts: Object.fromEntries(this.#dropped)});
			this.#dropped.clear();
		}

		this.#lines = 0;
	}
}

/** What was weighed of the prompt parts that an endpoint keeps: prefill saved, wait there and prefill displaced in milliseconds, and the probability that the parts are there. */
function loggedKept(kept: KeptValue | undefined): Readonly<Record<string, number>> {
	return kept === undefined || kept.sharedMilliseconds === 0
		? {}
		: {
			saved: Math.round(kept.savedMilliseconds), keptShare: Math.round(kept.probability * 100) / 100, backlog: Math.round(kept.waitMilliseconds),
			...(kept.fetchMilliseconds > 0 && {fetch: Math.round(kept.fetchMilliseconds)}), ...(kept.displacedMilliseconds > 0 && {displaced: Math.round(kept.displacedMilliseconds)}),
		};
}

function rounded(milliseconds: number | undefined): number | undefined {
	return milliseconds === undefined ? undefined : Math.round(milliseconds);
}

/** The longest pause of an attempt: whether the endpoint read prompts for it, or this instance read late. */
function pauseFields(pause: LongestPause | undefined): Readonly<Record<string, number>> {
	return pause === undefined
		? {}
		: {pause: Math.round(pause.milliseconds), pauseLag: Math.round(pause.lagMilliseconds), pauseBacklog: Math.round(pause.backlogMilliseconds), pauseRuns: pause.running};
}

/** The room in an engine's memory that a request has waited for, or is refused for want of. */
function memoryFields(memory: MemoryShortage | undefined): Readonly<Record<string, number | undefined>> {
	return memory === undefined
		? {}
		: {
			heldTokens: memory.heldTokens, neededTokens: memory.neededTokens, memoryTokens: memory.memoryTokens, roomWait: rounded(memory.milliseconds), reportAge: rounded(memory.reportAgeMilliseconds),
		};
}
