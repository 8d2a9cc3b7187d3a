import {type InstanceId, type ZoneName} from '../model/index.js';
import {
	sendProbability, choosePlace, type PlacementContext, groupKeyOf, ScanResults, QueueReporter, LoadTracker, type LoadEvent, type Place, propagationMilliseconds, prefillMilliseconds, type RetryAllowance, RetryShare,
	runId, type Tuning, type Wait,
} from '../policy/dispatch/index.js';
import {singleInstanceView, type FleetView} from '../policy/sharing/index.js';
import {compareUrgency, type EndpointRecord} from '../routing/index.js';
import {type PartLogger} from '../telemetry/index.js';
import {type RoutingState} from './routing-state.js';
import {RefusalReason, type PlacementRequest} from './decision.js';
import {EndpointBook, type Known} from './endpoint-pool.js';
import {type LineActivity, LineMeter} from './queue-meter.js';
import {unknownRetryMilliseconds, WaitingRoom} from './placement-queue.js';

export type DispatcherOptions = {
	/** This start of the instance: its runs bear the name. */
	readonly incarnation: InstanceId;
	readonly zone: ZoneName;
	readonly routingState: RoutingState;
	readonly logger: PartLogger;
	readonly allowance: RetryAllowance;
	readonly random: () => number;
	readonly tuning: Tuning;
	/** Load of this instance that others should know. */
	readonly onLoad: (event: LoadEvent) => void;
};

/** How often the line is tried again while something waits in it. */
const tickMilliseconds = 8;
/** A request that waits is looked at once in about so long: a tick may come just before it is due. */
const lookMilliseconds = 2 * tickMilliseconds;
/** After a try of the line it rests for so many times as long: a tenth of the process's time goes there at most. */
const pumpRest = 9;
/** A megabit a second, in bits a millisecond. */
const bitsEachMillisecond = 1000;
const bitsPerByte = 8;

/** Places, queues and refuses. It owns the load book, the endpoints' book and the retry share. */
export class Dispatcher implements Disposable {
	static create(options: DispatcherOptions): Dispatcher {
		return new Dispatcher(options);
	}

	readonly loadTracker = LoadTracker.create();
	readonly endpoints: EndpointBook;
	readonly retries: RetryShare;
	/** How much of the fleet this instance hears of. */
	view: FleetView = singleInstanceView;
	readonly #options: DispatcherOptions;
	readonly #room: WaitingRoom;
	/** What the last try of the line has found. */
	#looks = ScanResults.create();
	/** When the line may be tried again: it takes a bounded part of the process's time. */
	#pumpAt = 0;
	#timer: NodeJS.Timeout | undefined;
	readonly #teller: QueueReporter;
	readonly #meter = LineMeter.create();
	#runCount = 0;

	private constructor(options: DispatcherOptions) {
		this.#options = options;
		this.retries = RetryShare.create(options.allowance);
		this.#teller = QueueReporter.create(options.incarnation);
		this.endpoints = EndpointBook.create({beliefs: options.routingState, logger: options.logger, load: this.loadTracker});
		this.#room = WaitingRoom.create({
			book: this.loadTracker, endpoints: this.endpoints, random: options.random,
			view: () => this.view,
			onWaiting: () => {
				this.#timer ??= setInterval(() => {
					this.#pump();
				}, tickMilliseconds);
			},
		});
	}

	get queueLength(): number {
		return this.#room.size;
	}

	/** What was done for those that wait since it was asked last. */
	takeQueueActivity(): LineActivity {
		return this.#meter.take(this.#room.size);
	}

	[Symbol.dispose](): void {
		clearInterval(this.#timer);
	}

	/**
	 * Decides at once where it can; else the ticket waits, and its decision comes later. Who comes behind others that found everything
	 * full joins them: a look of its own would find nothing, or take what they wait for.
	 */
	submit(ticket: PlacementRequest): void {
		const wait = ticket.demand.isLatencyCritical || ticket.excluded.size > 0 ? undefined : this.#looks.waitMilliseconds(groupKeyOf(ticket));
		if (wait === undefined) {
			this.#try(ticket, this.#awaitedBefore(ticket));
			return;
		}

		this.#room.joinBehind(ticket, wait, performance.now());
	}

	/** The caller left, or the time is over. */
	withdraw(id: string): void {
		this.#room.withdraw(id);
	}

	recordFirstEvent(runId: string): void {
		this.#tell({type: 'first-event', id: runId});
	}

	recordEnd(runId: string): void {
		this.#tell({type: 'ended', id: runId});
		this.#pump();
	}

	/** Load that another instance tells of. */
	applyLoad(event: LoadEvent): void {
		this.loadTracker.step(event, performance.now());
	}

	/** True if the ticket has its decision; at the endpoints named in `awaited` others come first. What it finds is noted for those behind it. */
	#try(ticket: PlacementRequest, awaited: ReadonlySet<string>, looks?: ScanResults): boolean {
		const now = performance.now();
		this.#meter.looked();
		const {trial, usable} = this.endpoints.usable(ticket, now);
		if (trial !== undefined && !awaited.has(trial.record.id) && this.#tryTrial(ticket, trial, now)) {
			return true;
		}

		if (usable.length === 0) {
			this.#room.refuse(ticket, RefusalReason.noEndpoint, {milliseconds: unknownRetryMilliseconds, candidates: 0});
			return true;
		}

		const candidates = usable.map(({candidate}) => candidate);
		const demand = {...ticket.demand, waitedMilliseconds: now - (ticket.deferredAt ?? now), elapsedMilliseconds: now - ticket.arrivedAt, isOutranked: this.#isOutranked(ticket, now)};
		const choice = choosePlace(this.loadTracker, demand, candidates, this.#circumstances(ticket.demand.service, now));
		if (choice.type === 'wait') {
			ticket.isDeferred = choice.isDeferral;
			if (choice.isDeferral) {
				ticket.deferredAt ??= now;
			}

			this.#noteWait(ticket, choice, {looks, endpoints: candidates.length});
			return this.#room.enqueue(ticket, choice, candidates);
		}

		ticket.isDeferred = false;
		if (awaited.has(choice.endpoint) || !this.#mayTake(ticket, choice.prefillTokens, candidates.length)) {
			looks?.recordMiss(groupKeyOf(ticket), {endpoints: candidates.length, milliseconds: tickMilliseconds});
			return this.#room.enqueue(ticket, {type: 'wait', endpoint: choice.endpoint, milliseconds: tickMilliseconds, isDeferral: false}, candidates);
		}

		const {record} = usable.find(known => known.record.id === choice.endpoint)!;
		this.#place(ticket, record, {...choice, candidates: candidates.length});
		return true;
	}

	/** One that was at some endpoints already has fewer to choose from, which says nothing of the others of its group. */
	#noteWait(ticket: PlacementRequest, {isDeferral: isForBetter, milliseconds}: Wait, {looks, endpoints}: {looks: ScanResults | undefined; endpoints: number}): void {
		if (isForBetter) {
			looks?.recordMiss(groupKeyOf(ticket), {endpoints, milliseconds});
		} else if (ticket.excluded.size === 0) {
			looks?.recordFull(groupKeyOf(ticket), milliseconds);
		}
	}

	#isOutranked({service, urgency, demand}: PlacementRequest, now: number): boolean {
		return this.#options.tuning.heedsLines && !demand.isLatencyCritical && this.loadTracker.peerQueues.hasMoreUrgent(service, urgency, now);
	}

	/** Where other instances are likely to want the same place, chance decides who takes it first. */
	#mayTake(ticket: PlacementRequest, prefillTokens: number, candidates: number): boolean {
		const {service, urgency, demand} = ticket;
		const {links, instances} = this.view;
		const now = performance.now();
		const unheard = links === 0 ? 1 : (instances - 1) / links;
		const chance = sendProbability({
			contenders: this.loadTracker.peerQueues.ahead(service, urgency, now) * unheard / candidates,
			searchIntervalMilliseconds: lookMilliseconds,
			prefillMilliseconds: prefillMilliseconds(this.loadTracker.speed(service), prefillTokens),
			propagationMilliseconds: propagationMilliseconds(links),
		});
		return demand.isLatencyCritical || this.#options.random() < chance;
	}

	#circumstances(service: string, now: number): PlacementContext {
		const {zone, tuning, routingState: beliefs} = this.#options;
		const transfer = beliefs.table?.service(service)?.engine?.transfer;
		return {
			zone, now, tuning,
			view: this.view,
			propagationMilliseconds: propagationMilliseconds(this.view.links),
			fetchTokensPerMillisecond: transfer === undefined ? undefined : transfer.megabitsPerSecond * bitsEachMillisecond / bitsPerByte / transfer.bytesPerToken,
		};
	}

	/** Endpoints that others wait for who are at least as urgent: who comes later must not take the place that comes free there. */
	#awaitedBefore({urgency}: PlacementRequest): ReadonlySet<string> {
		const awaited = new Set<string>();
		for (const waiting of this.#room.tickets) {
			if (compareUrgency(waiting.urgency, urgency) <= 0 && waiting.waitsFor !== undefined) {
				awaited.add(waiting.waitsFor.endpoint);
			}
		}

		return awaited;
	}

	#place(ticket: PlacementRequest, record: EndpointRecord, {candidates, prefillTokens, fetch, expectedMilliseconds, leastPrefillTokens}: Place & {candidates: number}): void {
		const now = performance.now();
		this.#meter.placed(this.#room.has(ticket.id));
		this.#room.placed(ticket, prefillTokens, now);
		this.#runCount += 1;
		const id = runId(this.#options.incarnation, this.#runCount);
		const {service, isLatencyCritical, parts} = ticket.demand;
		this.#tell({type: 'placed', run: {id, owner: this.#options.incarnation, endpoint: record.id, service, prefillTokens, isLatencyCritical, parts}});
		this.endpoints.noteSent(record, now);
		const source = fetch === undefined ? undefined : this.#options.routingState.directory.entries.get(fetch.from)?.record.address;
		ticket.onDecision({type: 'placed', runId: id, record, prefillTokens, fetch: fetch === undefined || source === undefined ? undefined : {...fetch, address: source}, expectedMilliseconds, leastPrefillTokens, candidates});
	}

	/**
	 * Sends a request that may be repeated to an endpoint whose recovery is to be seen, if that has room.
	 * Failure: it is full of what others sent before it was set aside. Symptom: all such requests look at
	 * it alone and are refused. It is tried beside the others, never in place of them.
	 */
	#tryTrial(ticket: PlacementRequest, trial: Known, now: number): boolean {
		const choice = choosePlace(this.loadTracker, {...ticket.demand, elapsedMilliseconds: now - ticket.arrivedAt}, [trial.candidate], this.#circumstances(ticket.demand.service, now));
		if (choice.type === 'wait') {
			return false;
		}

		this.#place(ticket, trial.record, {...choice, candidates: 1});
		return true;
	}

	#pump(): void {
		const startedAt = performance.now();
		this.#tellLines(startedAt);
		if (this.#room.size === 0) {
			clearInterval(this.#timer);
			this.#timer = undefined;
			this.#looks = ScanResults.create();
			return;
		}

		if (startedAt >= this.#pumpAt) {
			this.#tryLine(startedAt);
			const now = performance.now();
			this.#meter.tried(startedAt, now);
			this.#pumpAt = now + ((now - startedAt) * pumpRest);
		}
	}

	#tryLine(now: number): void {
		this.#room.expire(now);
		// What an earlier one waits for, a later one does not take; other endpoints are free to it.
		const awaited = new Set<string>();
		const looks = ScanResults.create();
		this.#looks = looks;
		for (const ticket of this.#room.ordered(now)) {
			if (this.#room.has(ticket.id) && !this.#decide(ticket, {awaited, looks, now}) && ticket.waitsFor !== undefined) {
				awaited.add(ticket.waitsFor.endpoint);
			}
		}
	}

	/** True if it has left the line. */
	#decide(ticket: PlacementRequest, {awaited, looks, now}: {awaited: ReadonlySet<string>; looks: ScanResults; now: number}): boolean {
		if (ticket.waitsFor !== undefined && ticket.waitsFor.until > now) {
			return false;
		}

		const wait = ticket.demand.isLatencyCritical ? undefined : looks.waitMilliseconds(groupKeyOf(ticket));
		return wait === undefined ? this.#try(ticket, awaited, looks) : this.#room.joinBehind(ticket, wait, now);
	}

	/**
	 * Tight streams go first by themselves, and who waits for a better place holds nobody up. Failure: a confirmation passed over a
	 * free engine once, and none has been free since. Symptom: nobody hears that it waits, and drafts of other instances take what
	 * comes free. Only what the last look found counts.
	 */
	#tellLines(now: number): void {
		if (!this.#teller.isDue(this.#room.size > 0, now)) {
			return;
		}

		const waiting = [...this.#room.tickets].filter(({demand, isDeferred: isPassingOver}) => !demand.isLatencyCritical && isPassingOver !== true);
		for (const event of this.#teller.events(waiting, now)) {
			this.#options.onLoad(event);
		}
	}

	#tell(event: LoadEvent): void {
		this.loadTracker.step(event, performance.now());
		this.#options.onLoad(event);
	}
}
