import {type InstanceId, type ZoneName} from '../model/index.js';
import {
	chanceOfPlace, choosePlace, type Circumstances, groupOf, LineLooks, LineTeller, LoadBook, type LoadEvent, type Place, reactionMilliseconds, readMilliseconds, type RetryAllowance, RetryShare,
	runId, type Tuning, type Wait,
} from '../policy/dispatch/index.js';
import {aloneView, type FleetView} from '../policy/sharing/index.js';
import {compareUrgency, type EndpointRecord} from '../routing/index.js';
import {type PartLogger} from '../telemetry/index.js';
import {type Beliefs} from './beliefs.js';
import {RefusalReason, type Ticket} from './decision.js';
import {EndpointBook, type Known} from './endpoint-book.js';
import {type LineActivity, LineMeter} from './line-meter.js';
import {unknownRetryMilliseconds, WaitingRoom} from './waiting-room.js';

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
/** A megabit a second, in bits a millisecond. */
const bitsEachMillisecond = 1000;
const bitsPerByte = 8;

/** Places, queues and refuses. It owns the load book, the endpoints' book and the retry share. */
export class Dispatcher implements Disposable {
	static create(options: DispatcherOptions): Dispatcher {
		return new Dispatcher(options);
	}

	readonly book = LoadBook.create();
	readonly endpoints: EndpointBook;
	readonly retries: RetryShare;
	/** How much of the fleet this instance hears of. */
	view: FleetView = aloneView;
	readonly #options: DispatcherOptions;
	readonly #room: WaitingRoom;
	/** What the last try of the line has found. */
	#looks = LineLooks.create();
	/** When the line may be tried again: it takes a bounded part of the process's time. */
	#pumpAt = 0;
	#timer: NodeJS.Timeout | undefined;
	readonly #teller: LineTeller;
	readonly #meter = LineMeter.create();
	#runCount = 0;

	private constructor(options: DispatcherOptions) {
		this.#options = options;
		this.retries = RetryShare.create(options.allowance);
		this.#teller = LineTeller.create(options.incarnation);
		this.endpoints = EndpointBook.create({beliefs: options.beliefs, logger: options.logger, load: this.book});
		this.#room = WaitingRoom.create({
			book: this.book, endpoints: this.endpoints, random: options.random,
			view: () => this.view,
			onWaiting: () => {
				this.#timer ??= setInterval(() => {
					this.#pump();
				}, tickMilliseconds);
			},
		});
	}

	get waiting(): number {
		return this.#room.size;
	}

	/** What was done for those that wait since it was asked last. */
	takeActivity(): LineActivity {
		return this.#meter.take(this.#room.size);
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

		this.#room.joinBehind(ticket, wait, performance.now());
	}

	/** The caller left, or the time is over. */
	withdraw(id: string): void {
		this.#room.withdraw(id);
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

	/** True if the ticket has its decision; at the endpoints named in `awaited` others come first. What it finds is noted for those behind it. */
	#try(ticket: Ticket, awaited: ReadonlySet<string>, looks?: LineLooks): boolean {
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
		const demand = {...ticket.demand, waitedMilliseconds: now - (ticket.passedOverAt ?? now), elapsedMilliseconds: now - ticket.arrivedAt, isOutranked: this.#isOutranked(ticket, now)};
		const choice = choosePlace(this.book, demand, candidates, this.#circumstances(ticket.demand.service, now));
		if (choice.type === 'wait') {
			ticket.isPassingOver = choice.isForBetter;
			if (choice.isForBetter) {
				ticket.passedOverAt ??= now;
			}

			this.#noteWait(ticket, choice, {looks, endpoints: candidates.length});
			return this.#room.enqueue(ticket, choice, candidates);
		}

		ticket.isPassingOver = false;
		if (awaited.has(choice.endpoint) || !this.#mayTake(ticket, choice.unreadTokens, candidates.length)) {
			looks?.noteMiss(groupOf(ticket), {endpoints: candidates.length, milliseconds: tickMilliseconds});
			return this.#room.enqueue(ticket, {type: 'wait', endpoint: choice.endpoint, milliseconds: tickMilliseconds, isForBetter: false}, candidates);
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
	#mayTake(ticket: Ticket, unreadTokens: number, candidates: number): boolean {
		const {service, urgency, demand} = ticket;
		const {links, instances} = this.view;
		const now = performance.now();
		const unheard = links === 0 ? 1 : (instances - 1) / links;
		const chance = chanceOfPlace({
			contenders: this.book.lines.ahead(service, urgency, now) * unheard / candidates,
			lookMilliseconds,
			readingMilliseconds: readMilliseconds(this.book.speed(service), unreadTokens),
			reactionMilliseconds: reactionMilliseconds(links),
		});
		return demand.isTight || this.#options.random() < chance;
	}

	#circumstances(service: string, now: number): Circumstances {
		const {zone, tuning, beliefs} = this.#options;
		const transfer = beliefs.table?.service(service)?.engine?.transfer;
		return {
			zone, now, tuning,
			view: this.view,
			reactionMilliseconds: reactionMilliseconds(this.view.links),
			fetchTokensPerMillisecond: transfer === undefined ? undefined : transfer.megabitsPerSecond * bitsEachMillisecond / bitsPerByte / transfer.bytesPerToken,
		};
	}

	/** Endpoints that others wait for who are at least as urgent: who comes later must not take the place that comes free there. */
	#awaitedBefore({urgency}: Ticket): ReadonlySet<string> {
		const awaited = new Set<string>();
		for (const waiting of this.#room.tickets) {
			if (compareUrgency(waiting.urgency, urgency) <= 0 && waiting.waitsFor !== undefined) {
				awaited.add(waiting.waitsFor.endpoint);
			}
		}

		return awaited;
	}

	#place(ticket: Ticket, record: EndpointRecord, {candidates, unreadTokens, fetch, expectedMilliseconds, leastUnreadTokens}: Place & {candidates: number}): void {
		const now = performance.now();
		this.#meter.placed(this.#room.has(ticket.id));
		this.#room.placed(ticket, unreadTokens, now);
		this.#runCount += 1;
		const id = runId(this.#options.incarnation, this.#runCount);
		const {service, isTight, parts} = ticket.demand;
		this.#tell({type: 'placed', run: {id, owner: this.#options.incarnation, endpoint: record.id, service, unreadTokens, isTight, parts}});
		this.endpoints.noteSent(record, now);
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

	#pump(): void {
		const startedAt = performance.now();
		this.#tellLines(startedAt);
		if (this.#room.size === 0) {
			clearInterval(this.#timer);
			this.#timer = undefined;
			this.#looks = LineLooks.create();
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
		const looks = LineLooks.create();
		this.#looks = looks;
		for (const ticket of this.#room.ordered(now)) {
			if (this.#room.has(ticket.id) && !this.#decide(ticket, {awaited, looks, now}) && ticket.waitsFor !== undefined) {
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

		const waiting = [...this.#room.tickets].filter(({demand, isPassingOver}) => !demand.isTight && isPassingOver !== true);
		for (const event of this.#teller.events(waiting, now)) {
			this.#options.onLoad(event);
		}
	}

	#tell(event: LoadEvent): void {
		this.book.step(event, performance.now());
		this.#options.onLoad(event);
	}
}
