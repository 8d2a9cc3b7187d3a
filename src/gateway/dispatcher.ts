import {type InstanceId, type ZoneName} from '../model/index.js';
import {
	availability, type Candidate, chanceOfPlace, choosePlace, type Circumstances, type Place, createEndpointHealth, type Demand, type EndpointHealth, type HealthEvent, type Fetch, groupOf, inOrder, LineLooks, LineTeller, LoadBook,
	type LoadEvent, reactionMilliseconds, readMilliseconds, type RetryAllowance, RetryShare, runId, stepEndpointHealth, type Tuning, type Wait, type Waiting, WaitingLine,
} from '../policy/dispatch/index.js';
import {compareUrgency, type EndpointEntry, type EndpointRecord, Standing, standingOf} from '../routing/index.js';
import {type PartLogger} from '../telemetry/index.js';
import {type Beliefs} from './beliefs.js';

/** One request that wants a place. */
export type Ticket = Waiting & {
	readonly demand: Demand;
	/** When it first passed over a free endpoint for a better one. */
	passedOverAt?: number;
	/** True while an endpoint is free to it and it waits for a better one, by the last look. */
	isPassingOver?: boolean;
	/** What it waits for, and when a look at it is worth while again. */
	waitsFor?: {readonly endpoint: string; readonly until: number};
	/** Endpoints that it has been at. */
	readonly excluded: ReadonlySet<string>;
	/** True if it may run again, so that it may try an endpoint that failed before. */
	readonly isIdempotent: boolean;
	readonly onDecision: (decision: Decision) => void;
};

export type Decision
	= | {
		readonly type: 'placed'; readonly runId: string; readonly record: EndpointRecord; readonly unreadTokens: number;
		readonly fetch: (Fetch & {readonly address: string}) | undefined;
		readonly expectedMilliseconds: number; readonly leastUnreadTokens: number; readonly candidates: number;
	}
	/** It can't be started in time, or nothing runs its service. */
	| {
		readonly type: 'refused'; readonly reason: RefusalReason; readonly retryAfterMilliseconds: number; readonly candidates: number;
		/** How many of its service come before it, and how many wait in all. */
		readonly ahead: number; readonly waiting: number;
		readonly foreseen: Foreseen | undefined;
	};

/** What a wait was judged by, in milliseconds from then. */
export type Foreseen = {
	/** Until the endpoint that suits best may get it. */
	readonly endpoint: number;
	/** Until those ahead of it have their places. */
	readonly line: number;
	/** Until it can't be started in time any more. */
	readonly left: number;
};

export const RefusalReason = {noEndpoint: 'no-endpoint', tooLate: 'too-late', lineFull: 'line-full', retriesSpent: 'retries-spent'} as const;
export type RefusalReason = (typeof RefusalReason)[keyof typeof RefusalReason];

export type DispatcherOptions = {
	/** This start of the instance: its runs bear the name. */
	readonly incarnation: InstanceId;
	readonly zone: ZoneName;
	readonly beliefs: Beliefs;
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
/** A waiting request is looked at again after this part of the wait that was foreseen, within these bounds. */
const lookAgain = {share: 0.5, leastMilliseconds: 8, mostMilliseconds: 60};
/** Until anything was placed: the part of their prompts that engines still have to read. */
const firstUnreadShare = 0.6;
/** Weight of one more placing in that part: the last fifty count. */
const unreadShareWeight = 0.02;
/** Requests that may wait here: at the largest body of usual prompts this is a tenth of a small instance's memory. */
const largestLine = 1500;
/** A refused caller comes back no sooner, and no later: callers honour a third of the time they have. */
const retryAfterBounds = {low: 150, high: 2000};
/** Where nothing tells when a place comes: the time in which a registration spreads. */
const unknownRetryMilliseconds = 700;
/** A service's usual share of errors, from about its last hundred answers. */
const usualWeight = 0.01;

/** A megabit a second, in bits a millisecond. */
const bitsEachMillisecond = 1000;
const bitsPerByte = 8;

/** An endpoint of a service with what placement needs of it. */
type Known = {readonly candidate: Candidate; readonly entry: EndpointEntry; readonly record: EndpointRecord};

/** Places, queues and refuses. It owns the load book, the endpoints' health and the retry share. */
export class Dispatcher implements Disposable {
	static create(options: DispatcherOptions): Dispatcher {
		return new Dispatcher(options);
	}

	readonly book = LoadBook.create();
	readonly retries: RetryShare;
	/** Live instances, this one included. */
	instances = 1;
	readonly #options: DispatcherOptions;
	readonly #line = WaitingLine.create();
	readonly #tickets = new Map<string, Ticket>();
	readonly #health = new Map<string, EndpointHealth>();
	readonly #usualFailures = new Map<string, number>();
	readonly #known = new Map<string, readonly Known[]>();
	readonly #candidates = new Map<string, readonly Candidate[]>();
	readonly #unreadShares = new Map<string, number>();
	/** What the last try of the line has found. */
	#looks = LineLooks.create();
	/** When the line may be tried again: it takes a bounded part of the process's time. */
	#pumpAt = 0;
	#timer: NodeJS.Timeout | undefined;
	readonly #teller: LineTeller;
	#runCount = 0;

	private constructor(options: DispatcherOptions) {
		this.#options = options;
		this.retries = RetryShare.create(options.allowance);
		this.#teller = LineTeller.create(options.incarnation);
		options.beliefs.onChange(change => {
			this.#known.clear();
			this.#candidates.clear();
			for (const endpoint of change.type === 'reborn' ? change.ids : []) {
				this.#health.delete(endpoint);
				this.takeLoad({type: 'endpoint-restarted', endpoint});
			}
		});
	}

	get waiting(): number {
		return this.#line.size;
	}

	[Symbol.dispose](): void {
		clearInterval(this.#timer);
	}

	/**
	 * Decides at once where it can; else the ticket waits, and its decision comes later. Who comes behind others that found everything
	 * full joins them: a look of its own would find nothing, or take what they wait for.
	 */
	submit(ticket: Ticket): void {
		const wait = ticket.demand.isTight || ticket.excluded.size > 0 ? undefined : this.#looks.waitOf(groupOf(ticket));
		if (wait === undefined) {
			this.#try(ticket, this.#awaitedBefore(ticket));
			return;
		}

		this.#joinBehind(ticket, wait, performance.now());
	}

	/** The caller left, or the time is over. */
	withdraw(id: string): void {
		this.#line.remove(id);
		this.#tickets.delete(id);
	}

	firstEvent(runId: string): void {
		this.#tell({type: 'first-event', id: runId});
	}

	ended(runId: string): void {
		this.#tell({type: 'ended', id: runId});
		this.#pump();
	}

	/** Load that another instance tells of. */
	takeLoad(event: LoadEvent): void {
		this.book.step(event, performance.now());
	}

	/** What an answer, or its lack, says of an endpoint. */
	report(record: EndpointRecord, outcome: 'answered' | 'failed' | 'unreachable'): void {
		const usual = this.#usualFailures.get(record.service) ?? 0;
		if (outcome !== 'unreachable') {
			this.#usualFailures.set(record.service, usual + (((outcome === 'failed' ? 1 : 0) - usual) * usualWeight));
		}

		this.#judge(record, outcome === 'failed' ? {type: 'failed', usualShare: usual} : {type: outcome});
	}

	/** Whether a service has an endpoint in good health beside this one and those excluded. */
	hasAnother(service: string, excluded: ReadonlySet<string>, record: EndpointRecord): boolean {
		const now = performance.now();
		return [...this.#options.beliefs.directory.entries.values()].some(entry => entry.record.service === service
			&& entry.record.id !== record.id
			&& !excluded.has(entry.record.id)
			&& standingOf(entry, now) === Standing.ready
			&& availability(this.#health.get(entry.record.id) ?? createEndpointHealth(), now) === 'open');
	}

	#judge(record: EndpointRecord, event: HealthEvent): void {
		const now = performance.now();
		const before = this.#health.get(record.id) ?? createEndpointHealth();
		const after = stepEndpointHealth(before, event, now);
		this.#health.set(record.id, after);
		if (availability(before, now) !== 'suspended' && availability(after, now) === 'suspended' && event.type !== 'trial') {
			this.#options.logger.warn('Endpoint suspended.', {
				endpoint: record.id, service: record.service, cause: event.type, failureShare: round(after.failureShare), milliseconds: round(after.suspendedUntil - now),
			});
		} else if (before.suspendedUntil !== -Infinity && after.suspendedUntil === -Infinity) {
			this.#options.logger.info('Endpoint back in use.', {endpoint: record.id, service: record.service});
		}
	}

	/** True if the ticket has its decision; at the endpoints named in `awaited` others come first. What it finds is noted for those behind it. */
	#try(ticket: Ticket, awaited: ReadonlySet<string>, looks?: LineLooks): boolean {
		const now = performance.now();
		const {trial, usable} = this.#usable(ticket, now);
		if (trial !== undefined && !awaited.has(trial.record.id) && this.#tryTrial(ticket, trial, now)) {
			return true;
		}

		if (usable.length === 0) {
			this.#refuse(ticket, RefusalReason.noEndpoint, {retryAfter: unknownRetryMilliseconds, candidates: 0});
			return true;
		}

		const candidates = usable.map(({candidate}) => candidate);
		const demand = {...ticket.demand, waitedMilliseconds: now - (ticket.passedOverAt ?? now), elapsedMilliseconds: now - ticket.arrivedAt, isOutranked: this.#isOutranked(ticket, now)};
		const choice = choosePlace(this.book, demand, candidates, this.#circumstances(ticket.demand.service, now));
		if (choice.type === 'wait') {
			ticket.isPassingOver = choice.isForBetter;
			if (choice.isForBetter) {
				ticket.passedOverAt ??= now;
			}

			this.#noteWait(ticket, choice, {looks, endpoints: candidates.length});
			return this.#enqueue(ticket, choice, candidates);
		}

		ticket.isPassingOver = false;
		if (awaited.has(choice.endpoint) || !this.#mayTake(ticket, choice.unreadTokens, candidates.length)) {
			looks?.noteMiss(groupOf(ticket), {endpoints: candidates.length, milliseconds: tickMilliseconds});
			return this.#enqueue(ticket, {type: 'wait', endpoint: choice.endpoint, milliseconds: tickMilliseconds, isForBetter: false}, candidates);
		}

		const {record} = usable.find(known => known.record.id === choice.endpoint)!;
		this.#place(ticket, record, {...choice, candidates: candidates.length});
		return true;
	}

	/** One that was at some endpoints already has fewer to choose from, which says nothing of the others of its group. */
	#noteWait(ticket: Ticket, {isForBetter, milliseconds}: Wait, {looks, endpoints}: {looks: LineLooks | undefined; endpoints: number}): void {
		if (isForBetter) {
			looks?.noteMiss(groupOf(ticket), {endpoints, milliseconds});
		} else if (ticket.excluded.size === 0) {
			looks?.noteFull(groupOf(ticket), milliseconds);
		}
	}

	#isOutranked({service, urgency, demand}: Ticket, now: number): boolean {
		return this.#options.tuning.heedsLines && !demand.isTight && this.book.lines.outranks(service, urgency, now);
	}

	/** Where other instances are likely to want the same place, chance decides who takes it first. */
	#mayTake({service, urgency, demand}: Ticket, unreadTokens: number, candidates: number): boolean {
		const contenders = this.book.lines.ahead(service, urgency, performance.now()) / candidates;
		const readingMilliseconds = readMilliseconds(this.book.speed(service), unreadTokens);
		const chance = chanceOfPlace({contenders, lookMilliseconds, readingMilliseconds, reactionMilliseconds: reactionMilliseconds(this.instances - 1)});
		return demand.isTight || this.#options.random() < chance;
	}

	#circumstances(service: string, now: number): Circumstances {
		const {zone, tuning, beliefs} = this.#options;
		const transfer = beliefs.table?.service(service)?.engine?.transfer;
		return {
			zone, now, tuning,
			reactionMilliseconds: reactionMilliseconds(this.instances - 1),
			fetchTokensPerMillisecond: transfer === undefined ? undefined : transfer.megabitsPerSecond * bitsEachMillisecond / bitsPerByte / transfer.bytesPerToken,
		};
	}

	/** Endpoints that others wait for who are at least as urgent: who comes later must not take the place that comes free there. */
	#awaitedBefore({urgency}: Ticket): ReadonlySet<string> {
		const awaited = new Set<string>();
		for (const waiting of this.#tickets.values()) {
			if (compareUrgency(waiting.urgency, urgency) <= 0 && waiting.waitsFor !== undefined) {
				awaited.add(waiting.waitsFor.endpoint);
			}
		}

		return awaited;
	}

	#place(ticket: Ticket, record: EndpointRecord, {candidates, unreadTokens, fetch, expectedMilliseconds, leastUnreadTokens}: Place & {candidates: number}): void {
		const now = performance.now();
		this.withdraw(ticket.id);
		this.#line.charge(ticket, now);
		this.#runCount += 1;
		const id = runId(this.#options.incarnation, this.#runCount);
		const {service, isTight, parts} = ticket.demand;
		const share = this.#unreadShare(service);
		this.#unreadShares.set(service, share + (((unreadTokens / ticket.work) - share) * unreadShareWeight));
		this.#tell({type: 'placed', run: {id, owner: this.#options.incarnation, endpoint: record.id, service, unreadTokens, isTight, parts}});
		if (availability(this.#health.get(record.id) ?? createEndpointHealth(), now) === 'trial') {
			this.#judge(record, {type: 'trial'});
		}

		const source = fetch === undefined ? undefined : this.#options.beliefs.directory.entries.get(fetch.from)?.record.address;
		ticket.onDecision({type: 'placed', runId: id, record, unreadTokens, fetch: fetch === undefined || source === undefined ? undefined : {...fetch, address: source}, expectedMilliseconds, leastUnreadTokens, candidates});
	}

	/**
	 * Sends a request that may be repeated to an endpoint whose recovery is to be seen, if that has room.
	 * Failure: it is full of what others sent before it was set aside. Symptom: all such requests look at
	 * it alone and are refused. It is tried beside the others, never in place of them.
	 */
	#tryTrial(ticket: Ticket, trial: Known, now: number): boolean {
		const choice = choosePlace(this.book, {...ticket.demand, elapsedMilliseconds: now - ticket.arrivedAt}, [trial.candidate], this.#circumstances(ticket.demand.service, now));
		if (choice.type === 'wait') {
			return false;
		}

		this.#place(ticket, trial.record, {...choice, candidates: 1});
		return true;
	}

	/**
	 * Ready and healthy ones; what is suspended only where nothing else is left. What is on its way out is a
	 * resort only where the service has no other endpoint at all, be it one that this request has been at:
	 * word of a leaving is up to 1.4 s old.
	 */
	#usable(ticket: Ticket, now: number): {readonly trial: Known | undefined; readonly usable: readonly Known[]} {
		const lists = {open: [] as Known[], trial: [] as Known[], suspended: [] as Known[], ending: [] as Known[]};
		let hasReady = false;
		for (const known of this.#knownOf(ticket.demand.service)) {
			const standing = standingOf(known.entry, now);
			hasReady ||= standing === Standing.ready;
			if (standing === Standing.gone || ticket.excluded.has(known.record.id)) {
				continue;
			}

			const health = this.#health.get(known.record.id);
			lists[standing === Standing.ready ? (health === undefined ? 'open' : availability(health, now)) : 'ending'].push(known);
		}

		const usable = [lists.open, lists.trial, lists.suspended, hasReady ? [] : lists.ending].find(list => list.length > 0) ?? [];
		return {trial: ticket.isIdempotent ? lists.trial[0] : undefined, usable};
	}

	/** A service's endpoints, worked out once for each change of what is believed. */
	#knownOf(service: string): readonly Known[] {
		const held = this.#known.get(service);
		if (held !== undefined) {
			return held;
		}

		const memoryTokens = this.#options.beliefs.table?.service(service)?.engine?.memoryTokens;
		const entries = [...this.#options.beliefs.directory.entries.values()].filter(({record}) => record.service === service);
		const candidates = inOrder(entries.map(({record}) => ({id: record.id, zone: record.zone, slots: record.slots, isEngine: memoryTokens !== undefined})));
		const byId = new Map(entries.map(entry => [entry.record.id, entry]));
		const known = candidates.map(candidate => {
			const entry = byId.get(candidate.id)!;
			this.book.setMemory(candidate.id, memoryTokens ?? 0);
			return {candidate, entry, record: entry.record};
		});
		this.#known.set(service, known);
		return known;
	}

	/** All of a service's endpoints: what a foreseen wait goes by, asked for each that waits in each try of the line. */
	#candidatesOf(service: string): readonly Candidate[] {
		const held = this.#candidates.get(service) ?? this.#knownOf(service).map(({candidate}) => candidate);
		this.#candidates.set(service, held);
		return held;
	}

	/** True if it left the line; a ticket that can't be started in time is refused at once. */
	#enqueue(ticket: Ticket, {endpoint, milliseconds}: Wait, candidates: readonly Candidate[]): boolean {
		const now = performance.now();
		const hasLeft = this.#join(ticket, {now, candidates, foreseen: this.#foresee(ticket, {endpointMilliseconds: milliseconds, candidates, now})});
		if (!hasLeft) {
			ticket.waitsFor = {endpoint, until: now + Math.min(lookAgain.mostMilliseconds, Math.max(lookAgain.leastMilliseconds, milliseconds * lookAgain.share))};
		}

		return hasLeft;
	}

	/** Lets it wait, unless it can't be started in time or the line is full; true if it is refused. */
	#join(ticket: Ticket, {now, candidates, foreseen}: {now: number; candidates: readonly Candidate[]; foreseen: Foreseen}): boolean {
		const expected = foreseen.endpoint + foreseen.line;
		if (expected > foreseen.left) {
			this.#refuse(ticket, RefusalReason.tooLate, {retryAfter: expected, candidates: candidates.length, foreseen});
			return true;
		}

		if (this.#tickets.has(ticket.id)) {
			return false;
		}

		if (this.#line.size >= largestLine && !this.#makeRoom(ticket, now)) {
			this.#refuse(ticket, RefusalReason.lineFull, {retryAfter: expected, candidates: candidates.length, foreseen});
			return true;
		}

		this.#tickets.set(ticket.id, ticket);
		this.#line.add(ticket);
		this.#timer ??= setInterval(() => {
			this.#pump();
		}, tickMilliseconds);
		return false;
	}

	/**
	 * Failure: a line full of drafts turns away whoever comes. Symptom: a confirmation that would be next is refused. Of the
	 * least urgent the last to come leaves for it; among equals those who came first stay.
	 */
	#makeRoom({urgency}: Ticket, now: number): boolean {
		const last = this.#line.last();
		const leaving = last === undefined || compareUrgency(last.urgency, urgency) <= 0 ? undefined : this.#tickets.get(last.id);
		if (leaving === undefined) {
			return false;
		}

		const candidates = this.#candidatesOf(leaving.service);
		this.#refuse(leaving, RefusalReason.lineFull, {retryAfter: this.#lineMilliseconds(leaving, candidates, now), candidates: candidates.length});
		return true;
	}

	/**
	 * How long those ahead will take: at the rate at which this instance has placed work lately, or at its
	 * equal part of what the endpoints can do, whichever is more. Before anything waited the first says nothing.
	 */
	#lineMilliseconds({service, urgency}: Ticket, candidates: readonly Candidate[], now: number): number {
		const ahead = this.#line.ahead(service, urgency);
		if (candidates[0]?.isEngine === true) {
			const equalPart = this.book.speed(service).tokensPerMillisecond / this.#unreadShare(service) * candidates.length / this.instances;
			return ahead.work / Math.max(equalPart, this.#line.startedWorkRate(service, now));
		}

		const slots = candidates.reduce((sum, candidate) => sum + candidate.slots, 0);
		return ahead.count * this.book.workMilliseconds(service) / slots * this.instances;
	}

	#unreadShare(service: string): number {
		return this.#unreadShares.get(service) ?? firstUnreadShare;
	}

	#refuse(ticket: Ticket, reason: RefusalReason, {retryAfter, candidates, foreseen}: {retryAfter: number; candidates: number; foreseen?: Foreseen}): void {
		this.withdraw(ticket.id);
		// Spread, so that those refused together don't come back together.
		const spread = retryAfter * (0.75 + (this.#options.random() / 2));
		const retryAfterMilliseconds = Math.min(retryAfterBounds.high, Math.max(retryAfterBounds.low, spread));
		ticket.onDecision({type: 'refused', reason, retryAfterMilliseconds, candidates, ahead: this.#line.ahead(ticket.service, ticket.urgency).count, waiting: this.#line.size, foreseen});
	}

	#pump(): void {
		const startedAt = performance.now();
		this.#tellLines(startedAt);
		if (this.#line.size === 0) {
			clearInterval(this.#timer);
			this.#timer = undefined;
			this.#looks = LineLooks.create();
			return;
		}

		if (startedAt >= this.#pumpAt) {
			this.#tryLine(startedAt);
			const now = performance.now();
			this.#pumpAt = now + ((now - startedAt) * pumpRest);
		}
	}

	#tryLine(now: number): void {
		for (const {id} of this.#line.expired(now)) {
			this.#refuse(this.#tickets.get(id)!, RefusalReason.tooLate, {retryAfter: unknownRetryMilliseconds, candidates: 0});
		}

		// What an earlier one waits for, a later one does not take; other endpoints are free to it.
		const awaited = new Set<string>();
		const looks = LineLooks.create();
		this.#looks = looks;
		for (const {id} of this.#line.ordered(now)) {
			const ticket = this.#tickets.get(id);
			if (ticket !== undefined && !this.#decide(ticket, {awaited, looks, now}) && ticket.waitsFor !== undefined) {
				awaited.add(ticket.waitsFor.endpoint);
			}
		}
	}

	/** True if it has left the line. */
	#decide(ticket: Ticket, {awaited, looks, now}: {awaited: ReadonlySet<string>; looks: LineLooks; now: number}): boolean {
		if (ticket.waitsFor !== undefined && ticket.waitsFor.until > now) {
			return false;
		}

		const wait = ticket.demand.isTight ? undefined : looks.waitOf(groupOf(ticket));
		return wait === undefined ? this.#try(ticket, awaited, looks) : this.#joinBehind(ticket, wait, now);
	}

	/** What another of its group has found is enough to tell whether it can still be started in time; true if it can't, and is refused. */
	#joinBehind(ticket: Ticket, endpointMilliseconds: number, now: number): boolean {
		const candidates = this.#candidatesOf(ticket.service);
		return this.#join(ticket, {now, candidates, foreseen: this.#foresee(ticket, {endpointMilliseconds, candidates, now})});
	}

	#foresee(ticket: Ticket, {endpointMilliseconds, candidates, now}: {endpointMilliseconds: number; candidates: readonly Candidate[]; now: number}): Foreseen {
		return {endpoint: endpointMilliseconds, line: this.#lineMilliseconds(ticket, candidates, now), left: ticket.lastStartAt - now};
	}

	/**
	 * Tight streams go first by themselves, and who waits for a better place holds nobody up. Failure: a confirmation passed over a
	 * free engine once, and none has been free since. Symptom: nobody hears that it waits, and drafts of other instances take what
	 * comes free. Only what the last look found counts.
	 */
	#tellLines(now: number): void {
		if (!this.#teller.isDue(this.#tickets.size > 0, now)) {
			return;
		}

		const waiting = [...this.#tickets.values()].filter(({demand, isPassingOver}) => !demand.isTight && isPassingOver !== true);
		for (const event of this.#teller.events(waiting, now)) {
			this.#options.onLoad(event);
		}
	}

	#tell(event: LoadEvent): void {
		this.book.step(event, performance.now());
		this.#options.onLoad(event);
	}
}

function round(value: number): number {
	return Math.round(value * 1000) / 1000;
}
