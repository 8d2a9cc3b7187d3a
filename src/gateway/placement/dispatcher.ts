import {
	type Demand, type EndpointSign, choosePlace, type PlacementContext, groupKeyOf, ScanResults, QueueReporter, LoadTracker, type LoadEvent, type Place, type RetryGrant,
	OutputEstimates, RetryShare, runId, LatePauses,
} from '../../policy/dispatch/index.js';
import {singleInstanceView, type FleetView} from '../../policy/sharing/index.js';
import {type EndpointRecord} from '../../routing/index.js';
import {StatementRegistry} from '../endpoints/index.js';
import {type DispatcherOptions} from './dispatcher-options.js';
import {RefusalReason, type PlacementRequest} from './decision.js';
import {groupWait} from './group-wait.js';
import {reportOthersSign} from './others-sign.js';
import {EndpointPool, type HeldEndpoint, type PlacementEndpoint} from './endpoint-pool.js';
import {connectPaces} from './paces.js';
import {createPlacementContext} from './placement-context.js';
import {queueReports} from './queue-reports.js';
import {type QueueActivity, QueueMeter} from './queue-meter.js';
import {RoomClaims} from './room-claims.js';
import {unknownRetryMilliseconds, PlacementQueue} from './placement-queue.js';
import {scanIntervalMilliseconds, ScanSchedule} from './scan-schedule.js';
import {Yielding} from './yielding.js';

/** Places, queues and refuses requests. Owns the load tracker, the endpoint pool and the retry share. */
export class Dispatcher implements Disposable {
	static create(options: DispatcherOptions): Dispatcher {
		return new Dispatcher(options);
	}

	readonly loadTracker = LoadTracker.create();
	/** Whether streams are late by the pauses of engines. */
	readonly latePauses = LatePauses.create();
	readonly endpoints: EndpointPool;
	readonly statements: StatementRegistry;
	readonly retries: RetryShare;
	/** How much requests of each route generate. */
	readonly outputs = OutputEstimates.create();
	/** Number of live instances, and of those that report their load to this one. */
	view: FleetView = singleInstanceView;
	readonly #options: DispatcherOptions;
	readonly #queue: PlacementQueue;
	/** Results of the last scan of the queue. */
	#lastScan = ScanResults.create();
	readonly #schedule = ScanSchedule.create(() => {
		this.#scanIfDue();
	});

	readonly #yielding: Yielding;
	readonly #queueReporter: QueueReporter;
	readonly #queueMeter = QueueMeter.create();
	readonly #roomClaims: RoomClaims;
	#runCount = 0;

	private constructor(options: DispatcherOptions) {
		this.#options = options;
		connectPaces(this.loadTracker.paces, this.latePauses, options);
		this.loadTracker.held.followsHeld = options.tuning.weighsKept;
		this.loadTracker.held.isCounted = options.tuning.heedsMemory || options.tuning.weighsKept || options.tuning.spreadsPrefixes;
		this.retries = RetryShare.create({allowance: options.allowance, startedAt: performance.now()});
		this.#queueReporter = QueueReporter.create(options.incarnation);
		this.#yielding = Yielding.create({loadTracker: this.loadTracker, tuning: options.tuning, random: options.random, view: () => this.view});
		this.statements = StatementRegistry.create({...options, onReport: options.onRateLimitReport});
		this.endpoints = EndpointPool.create({...options, loadTracker: this.loadTracker, statements: this.statements});
		this.#roomClaims = RoomClaims.create({
			owner: options.incarnation,
			nextRunId: () => this.#nextRunId(),
			meanRunTokens: endpoint => this.loadTracker.held.meanRunTokens(endpoint),
			publish: event => {
				this.#publishLoad(event);
			},
		});
		this.#queue = PlacementQueue.create({
			loadTracker: this.loadTracker, endpoints: this.endpoints, random: options.random,
			view: () => this.view,
			roomClaims: this.#roomClaims,
			onWaiting: () => {
				this.#schedule.begin();
			},
		});
	}

	get queueLength(): number {
		return this.#queue.size;
	}

	/** Share of the engines' memory that running requests hold or will hold, of each service with engines. */
	heldMemoryShares(): ReadonlyMap<string, number> {
		return this.endpoints.heldMemoryShares(performance.now());
	}

	/** Queue statistics since the previous call. */
	takeQueueActivity(): QueueActivity {
		return this.#queueMeter.take(this.#queue.size);
	}

	[Symbol.dispose](): void {
		this.#schedule[Symbol.dispose]();
	}

	/**
	 * Decides at once where possible; otherwise queues the request, and the decision comes later. If the last scan found all
	 * endpoints full for the request's group, the request is queued without a search of its own: the search would find nothing, or
	 * would take a slot that queued requests wait for.
	 */
	submit(request: PlacementRequest): void {
		const wait = hasFewerCandidates(request) ? undefined : groupWait(this.#lastScan, request);
		if (wait === undefined) {
			this.#search(request, this.#queue.endpointsAwaitedBefore(request));
			return;
		}

		this.#queue.enqueueWithGroup(request, wait, performance.now());
	}

	/** Removes a request whose caller disconnected or whose deadline passed. */
	cancel(id: string): void {
		this.#queue.remove(id);
	}

	/** Reserves one retry of a request, if this instance's share of the allowance has it. */
	reserveRetry({service, urgency, urgencies: {most, least}}: Demand, now: number): RetryGrant {
		const urgencyPosition = least > most ? (urgency - most) / (least - most) : 0;
		return this.retries.reserve({service, urgencyPosition}, this.#options.slackSharing(), now);
	}

	recordFirstEvent(runId: string): void {
		this.#publishLoad({type: 'first-event', id: runId});
	}

	/** Records how many events of a run came in how long. */
	recordPace(runId: string, window: {readonly events: number; readonly milliseconds: number}): void {
		this.loadTracker.recordEvents(runId, window, performance.now());
	}

	/** Records the end of a run, and what it has shown of its endpoint. */
	recordEnd(runId: string, sign?: EndpointSign): void {
		this.#publishLoad({type: 'ended', id: runId, sign});
		this.#scanIfDue();
	}

	/** Applies a load event of another instance. */
	applyLoad(event: LoadEvent): void {
		reportOthersSign(this, event);
		this.loadTracker.step(event, performance.now());
	}

	/**
	 * Returns true if the request has its decision. Endpoints in `awaited` are reserved for requests ahead of it. The result
	 * is recorded for the requests of its group behind it.
	 */
	#search(request: PlacementRequest, awaited: ReadonlySet<string>, results?: ScanResults): boolean {
		const now = performance.now();
		this.#queueMeter.recordSearch();
		const {trial, usable, held} = this.endpoints.available(request, now);
		if (trial !== undefined && !awaited.has(trial.record.id) && this.#placeTrial(request, trial, now)) {
			return true;
		}

		if (usable.length === 0 && held !== undefined) {
			return this.#awaitHeld(request, held, now);
		}

		if (usable.length === 0) {
			this.#queue.refuse(request, RefusalReason.noEndpoint, {milliseconds: unknownRetryMilliseconds, candidates: 0});
			return true;
		}

		const candidates = usable.map(({candidate}) => candidate);
		const demand = {...request.demand, deferredMilliseconds: now - (request.deferredAt ?? now), elapsedMilliseconds: now - request.arrivedAt, isOutranked: this.#yielding.isOutranked(request, now), claim: this.#roomClaims.of(request.id)};
		const choice = choosePlace(this.loadTracker, demand, candidates, this.#placementContext(request.demand.service, now));
		if (choice.type === 'wait') {
			request.isDeferred = choice.isDeferral;
			if (choice.isDeferral) {
				request.deferredAt ??= now;
			}

			request.memory = choice.memory;
			if (choice.memory === undefined || choice.isDeferral) {
				results?.recordWait(groupKeyOf(request), {...choice, endpoints: candidates.length, hasExcluded: hasFewerCandidates(request)});
			} else if (!hasFewerCandidates(request)) {
				results?.recordShortage(groupKeyOf(request), demand.parts, choice.memory);
			}

			return this.#queue.enqueue(request, choice, candidates);
		}

		request.isDeferred = false;
		if (awaited.has(choice.endpoint) || !this.#yielding.maySend(request, choice.prefillTokens, candidates.length)) {
			results?.recordMiss(groupKeyOf(request), {endpoints: candidates.length, milliseconds: scanIntervalMilliseconds});
			return this.#queue.enqueue(request, {type: 'wait', endpoint: choice.endpoint, milliseconds: scanIntervalMilliseconds, isDeferral: false}, candidates);
		}

		const {record} = usable.find(endpoint => endpoint.record.id === choice.endpoint)!;
		this.#place(request, record, {...choice, candidates: candidates.length});
		return true;
	}

	/** Queues the request until the first endpoint that is held back by its own statement may be sent to; true if it is refused instead. */
	#awaitHeld(request: PlacementRequest, {endpoint, until}: HeldEndpoint, now: number): boolean {
		this.statements.recordShort(request.demand.service, now);
		return this.#queue.enqueue(request, {type: 'wait', endpoint: endpoint.record.id, milliseconds: until - now, isDeferral: false}, [endpoint.candidate]);
	}

	#placementContext(service: string, now: number): PlacementContext {
		const {zone, tuning, routingState} = this.#options;
		return createPlacementContext({zone, now, tuning, view: this.view, transfer: routingState.table?.service(service)?.engine?.transfer});
	}

	#nextRunId(): string {
		this.#runCount += 1;
		return runId(this.#options.incarnation, this.#runCount);
	}

	#place(request: PlacementRequest, record: EndpointRecord, {candidates, prefillTokens, fetch, expectedMilliseconds, leastPrefillTokens, kept}: Place & {candidates: number}): void {
		const now = performance.now();
		this.#queueMeter.recordPlacement(this.#queue.has(request.id));
		this.#queue.recordPlacement(request, prefillTokens, now);
		const id = this.#nextRunId();
		const {service, isLatencyCritical, parts, outputTokens = 0, routeUrgency} = request.demand;
		const memory = this.loadTracker.held.isCounted ? {outputTokens, urgency: routeUrgency} : {outputTokens: 0, urgency: undefined};
		this.#publishLoad({type: 'placed', run: {id, owner: this.#options.incarnation, endpoint: record.id, service, prefillTokens, ...memory, isLatencyCritical, parts}});
		this.endpoints.recordAttempt(record, now);
		this.statements.recordSent(record, now);
		const source = fetch === undefined ? undefined : this.#options.routingState.directory.entries.get(fetch.from)?.record.address;
		request.onDecision({
			type: 'placed', runId: id, record, prefillTokens, fetch: fetch === undefined || source === undefined ? undefined : {...fetch, address: source},
			expectedMilliseconds, leastPrefillTokens, kept, candidates, memory: request.memory,
		});
	}

	/**
	 * Sends an idempotent request to a suspended endpoint as a trial of its recovery, if it has a free slot. The trial is an
	 * addition to the other candidates and never replaces them: the endpoint may still be full of requests that other
	 * instances sent before it was suspended, and requests that could only go there would be refused.
	 */
	#placeTrial(request: PlacementRequest, trial: PlacementEndpoint, now: number): boolean {
		const choice = choosePlace(this.loadTracker, {...request.demand, elapsedMilliseconds: now - request.arrivedAt}, [trial.candidate], this.#placementContext(request.demand.service, now));
		if (choice.type === 'wait') {
			return false;
		}

		this.#place(request, trial.record, {...choice, candidates: 1});
		return true;
	}

	#scanIfDue(): void {
		const startedAt = performance.now();
		for (const event of queueReports(this.#queueReporter, this.#queue, startedAt)) {
			this.#options.onLoad(event);
		}

		if (this.#queue.size === 0) {
			this.#schedule.end();
			this.#lastScan = ScanResults.create();
			return;
		}

		if (this.#schedule.isDue(startedAt)) {
			this.#scan(startedAt);
			const now = performance.now();
			this.#queueMeter.recordScan(startedAt, now);
			this.#schedule.recordScan(startedAt, now);
		}
	}

	#scan(now: number): void {
		this.#queue.expire(now);
		this.#roomClaims.update(this.#queue.requests, now);
		// A later request does not take an endpoint that an earlier one waits for; other endpoints are open to it.
		const awaited = new Set<string>();
		const results = ScanResults.create();
		this.#lastScan = results;
		for (const request of this.#queue.ordered(now)) {
			if (this.#queue.has(request.id) && !this.#searchIfDue(request, {awaited, results, now}) && request.waitsFor !== undefined) {
				awaited.add(request.waitsFor.endpoint);
			}
		}
	}

	/** Returns true if the request has left the queue. */
	#searchIfDue(request: PlacementRequest, {awaited, results, now}: {awaited: ReadonlySet<string>; results: ScanResults; now: number}): boolean {
		if (request.waitsFor !== undefined && request.waitsFor.until > now) {
			return false;
		}

		const wait = this.#roomClaims.of(request.id) === undefined ? groupWait(results, request) : undefined;
		return wait === undefined ? this.#search(request, awaited, results) : this.#queue.enqueueWithGroup(request, wait, now);
	}

	#publishLoad(event: LoadEvent): void {
		this.loadTracker.step(event, performance.now());
		this.#options.onLoad(event);
	}
}

/** Whether a request may not be sent to every endpoint of its service. */
function hasFewerCandidates({excluded, build}: PlacementRequest): boolean {
	return excluded.size > 0 || build !== undefined;
}
