import {type Candidate, expectedQueueMilliseconds, type LoadTracker, retryAfter, PrefillShares, type Wait, WaitingQueue} from '../policy/dispatch/index.js';
import {type FleetView} from '../policy/sharing/index.js';
import {compareUrgency} from '../routing/index.js';
import {type Foreseen, RefusalReason, type PlacementRequest} from './decision.js';
import {type EndpointBook} from './endpoint-pool.js';

export type WaitingRoomOptions = {
	readonly book: LoadTracker;
	readonly endpoints: EndpointBook;
	readonly random: () => number;
	readonly view: () => FleetView;
	/** Something waits that did not before. */
	readonly onWaiting: () => void;
};

/** A waiting request is looked at again after this part of the wait that was foreseen, within these bounds. */
const lookAgain = {share: 0.5, leastMilliseconds: 8, mostMilliseconds: 60};
/** Requests that may wait here: at the largest body of usual prompts this is a tenth of a small instance's memory. */
const largestLine = 1500;
/** Where nothing tells when a place comes: the time in which a registration spreads. */
export const unknownRetryMilliseconds = 700;

type Refusal = {readonly milliseconds: number; readonly candidates: number; readonly foreseen?: Foreseen};

/** Who waits for a place, and who is told at once that it can't have one in time. */
export class WaitingRoom {
	static create(options: WaitingRoomOptions): WaitingRoom {
		return new WaitingRoom(options);
	}

	readonly #options: WaitingRoomOptions;
	readonly #line = WaitingQueue.create();
	readonly #tickets = new Map<string, PlacementRequest>();
	readonly #unreadShares = PrefillShares.create();

	private constructor(options: WaitingRoomOptions) {
		this.#options = options;
	}

	get size(): number {
		return this.#line.size;
	}

	get tickets(): Iterable<PlacementRequest> {
		return this.#tickets.values();
	}

	has(id: string): boolean {
		return this.#tickets.has(id);
	}

	/** Those that wait, in the order in which they are tried. */
	ordered(now: number): PlacementRequest[] {
		return this.#line.ordered(now).flatMap(({id}) => this.#tickets.get(id) ?? []);
	}

	/** The caller left, or the time is over. */
	withdraw(id: string): void {
		this.#line.remove(id);
		this.#tickets.delete(id);
	}

	/** A request got a place, where so much of its prompt has to be read. */
	placed(ticket: PlacementRequest, prefillTokens: number, now: number): void {
		this.withdraw(ticket.id);
		this.#line.charge(ticket, now);
		this.#unreadShares.record(ticket.demand.service, prefillTokens / ticket.work);
	}

	/** Refuses those that can't be started in time any more. */
	expire(now: number): void {
		for (const {id} of this.#line.expired(now)) {
			this.refuse(this.#tickets.get(id)!, RefusalReason.tooLate, {milliseconds: unknownRetryMilliseconds, candidates: 0});
		}
	}

	/** True if it left the line; a ticket that can't be started in time is refused at once. */
	enqueue(ticket: PlacementRequest, {endpoint, milliseconds}: Wait, candidates: readonly Candidate[]): boolean {
		const now = performance.now();
		const hasLeft = this.#join(ticket, {now, candidates, foreseen: this.#foresee(ticket, {endpointMilliseconds: milliseconds, candidates, now})});
		if (!hasLeft) {
			ticket.waitsFor = {endpoint, until: now + Math.min(lookAgain.mostMilliseconds, Math.max(lookAgain.leastMilliseconds, milliseconds * lookAgain.share))};
		}

		return hasLeft;
	}

	/** What another of its group has found is enough to tell whether it can still be started in time; true if it can't, and is refused. */
	joinBehind(ticket: PlacementRequest, endpointMilliseconds: number, now: number): boolean {
		const candidates = this.#options.endpoints.candidatesOf(ticket.service);
		return this.#join(ticket, {now, candidates, foreseen: this.#foresee(ticket, {endpointMilliseconds, candidates, now})});
	}

	refuse(ticket: PlacementRequest, reason: RefusalReason, {milliseconds, candidates, foreseen}: Refusal): void {
		this.withdraw(ticket.id);
		const retryAfterMilliseconds = retryAfter(milliseconds, this.#options.random());
		ticket.onDecision({type: 'refused', reason, retryAfterMilliseconds, candidates, ahead: this.#line.ahead(ticket.service, ticket.urgency).count, waiting: this.#line.size, foreseen});
	}

	/** Lets it wait, unless it can't be started in time or the line is full; true if it is refused. */
	#join(ticket: PlacementRequest, {now, candidates, foreseen}: {now: number; candidates: readonly Candidate[]; foreseen: Foreseen}): boolean {
		const expected = foreseen.endpoint + foreseen.line;
		if (expected > foreseen.left) {
			this.refuse(ticket, RefusalReason.tooLate, {milliseconds: expected, candidates: candidates.length, foreseen});
			return true;
		}

		if (this.#tickets.has(ticket.id)) {
			return false;
		}

		if (this.#line.size >= largestLine && !this.#makeRoom(ticket, now)) {
			this.refuse(ticket, RefusalReason.lineFull, {milliseconds: expected, candidates: candidates.length, foreseen});
			return true;
		}

		this.#tickets.set(ticket.id, ticket);
		this.#line.add(ticket);
		this.#options.onWaiting();
		return false;
	}

	/**
	 * Failure: a line full of drafts turns away whoever comes. Symptom: a confirmation that would be next is refused. Of the
	 * least urgent the last to come leaves for it; among equals those who came first stay.
	 */
	#makeRoom({urgency}: PlacementRequest, now: number): boolean {
		const last = this.#line.last();
		const leaving = last === undefined || compareUrgency(last.urgency, urgency) <= 0 ? undefined : this.#tickets.get(last.id);
		if (leaving === undefined) {
			return false;
		}

		const candidates = this.#options.endpoints.candidatesOf(leaving.service);
		this.refuse(leaving, RefusalReason.lineFull, {milliseconds: this.#lineMilliseconds(leaving, candidates, now), candidates: candidates.length});
		return true;
	}

	#foresee(ticket: PlacementRequest, {endpointMilliseconds, candidates, now}: {endpointMilliseconds: number; candidates: readonly Candidate[]; now: number}): Foreseen {
		return {endpoint: endpointMilliseconds, line: this.#lineMilliseconds(ticket, candidates, now), left: ticket.lastStartAt - now};
	}

	#lineMilliseconds({service, urgency}: PlacementRequest, candidates: readonly Candidate[], now: number): number {
		const {book, view} = this.#options;
		return expectedQueueMilliseconds(this.#line.ahead(service, urgency), {
			candidates,
			instances: view().instances,
			tokensPerMillisecond: book.speed(service).tokensPerMillisecond,
			prefillShare: this.#unreadShares.of(service),
			startedWorkRate: this.#line.startedWorkRate(service, now),
			serviceTimeMilliseconds: book.serviceTimeMilliseconds(service),
		});
	}
}
