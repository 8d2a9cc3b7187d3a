import {AcceptTurns, Intake, IntakeQueue, type IntakeRequest, type Judgement, retryAfterOverload, retryElsewhereAfter, type Situation} from '../policy/lateness/index.js';
import {type Route, type Workspace} from '../routing/index.js';
import {type LoopLateness} from './loop-lateness.js';
import {type RequestCodec, type RequestMetadata} from './adapter/index.js';

/** What becomes of a request: it is begun now, or refused. */
export type IntakeOutcome = {readonly type: 'begin'} | {readonly type: 'refuse'; readonly judgement: Judgement; readonly retryAfterMilliseconds: number};

type Waiting = IntakeRequest & {readonly settle: (outcome: IntakeOutcome) => void};

export type IntakeGateOptions = {
	readonly lateness: LoopLateness;
	readonly random: () => number;
	/** Runs a task in the next turn of the event loop, after its sockets were read. */
	readonly nextTurn: (task: () => void) => void;
	/** Called with the duration of a turn in which a request was read in time. */
	readonly onTurn?: (milliseconds: number) => void;
	/** Whether there are other instances, to which callers can go. */
	readonly hasOthers: () => boolean;
	/** Opens a connection to the own port, of which `recordProbe` tells. Without it, how long connections have waited is only bounded. */
	readonly openProbe?: () => void;
};

/** While every turn accepts a connection, the own port is probed so often: it takes some one in a hundred turns. */
const probeMilliseconds = 50;

/**
 * Requests wait here between their reading and their beginning while the event loop is late, or while connections wait to be accepted; one is begun
 * in each turn.
 */
export class IntakeGate {
	static create(options: IntakeGateOptions): IntakeGate {
		return new IntakeGate(options);
	}

	readonly #options: IntakeGateOptions;
	readonly #intake: Intake<Waiting> | IntakeQueue<Waiting>;
	/** Requests that were read in this turn; their callers' hang-ups are read in the next. */
	#fresh: Waiting[] = [];
	/** When a request was begun in the last turn, if others waited. */
	#begunAt: number | undefined;
	/** When a request was begun in the turn that is under way, if others waited. */
	#begunInTurnAt: number | undefined;
	#isStepping = false;
	#acceptTurns = AcceptTurns.create();
	/** The earliest moment at which a connection that is accepted now can have been opened: no turn since then found none. */
	#openedSince = 0;
	/** When the probe was opened that waits to be accepted. */
	#probedAt: number | undefined;

	private constructor(options: IntakeGateOptions) {
		this.#options = options;
		this.#intake = options.lateness.givesAway ? Intake.create<Waiting>() : IntakeQueue.create<Waiting>();
	}

	/** Records that a connection was accepted; returns the earliest moment at which it can have been opened. More may wait, so that the next turns accept them first. */
	recordConnection(): number {
		if (!this.#isStepping) {
			this.#openedSince = this.#options.lateness.earliestArrival;
		}

		this.#acceptTurns = this.#acceptTurns.accept();
		this.#stepNextTurn();
		return this.#openedSince;
	}

	/** Records that the probe of the own port was accepted, or has failed: what is accepted from now on was opened after it. */
	recordProbe(outcome: 'accepted' | 'failed'): void {
		if (outcome === 'accepted' && this.#probedAt !== undefined) {
			this.#openedSince = Math.max(this.#openedSince, this.#probedAt);
		}

		this.#probedAt = undefined;
	}

	/** Whether requests go through the gate: the loop is late, connections are being accepted, or some still wait. */
	get isClosed(): boolean {
		return this.#options.lateness.intakeMilliseconds > 0 || this.#isStepping;
	}

	/** The refusal of a request whose headers were read, if it is refused at once. */
	refusalOf(request: IntakeRequest): Extract<IntakeOutcome, {type: 'refuse'}> | undefined {
		if (!this.isClosed) {
			return undefined;
		}

		const judgement = this.#intake.judge(request, this.#situation());
		return judgement === undefined ? undefined : this.#refuse(judgement);
	}

	/** Resolves once the request is to be begun, or is refused; in the next turn while the loop is in time. */
	async admit(request: IntakeRequest): Promise<IntakeOutcome> {
		if (this.isClosed) {
			return new Promise(resolve => {
				this.pass(request, resolve);
			});
		}

		const readAt = performance.now();
		await nextTurn();
		this.#options.onTurn?.(performance.now() - readAt);
		return {type: 'begin'};
	}

	/** Calls `settle` once the request is to be begun, or is refused. */
	pass(request: IntakeRequest, settle: (outcome: IntakeOutcome) => void): void {
		this.#fresh.push({...request, settle});
		this.#stepNextTurn();
	}

	#stepNextTurn(): void {
		if (!this.#isStepping) {
			this.#isStepping = true;
			this.#options.nextTurn(() => {
				this.#step();
			});
		}
	}

	#step(): void {
		const now = performance.now();
		this.#isStepping = false;
		if (!this.#acceptTurns.hasAccepted) {
			this.#openedSince = now;
		}

		this.#probeIfDue(now);
		if (this.#begunInTurnAt !== undefined && this.#intake instanceof IntakeQueue) {
			this.#intake.recordTurn(now - this.#begunInTurnAt);
		}

		this.#begunInTurnAt = undefined;
		const {type, next} = this.#acceptTurns.endTurn(this.#intake.size + this.#fresh.length > 0);
		this.#acceptTurns = next;
		if (type === 'accept') {
			this.#addFresh();
			this.#stepNextTurn();
			return;
		}

		this.#beginNext(now);
	}

	#probeIfDue(now: number): void {
		if (this.#probedAt === undefined && now - this.#openedSince >= probeMilliseconds && this.#options.openProbe !== undefined) {
			this.#probedAt = now;
			this.#options.openProbe();
		}
	}

	/** Begins the next request, and refuses those that can't be answered any more. */
	#beginNext(now: number): void {
		if (this.#begunAt !== undefined && this.#intake instanceof Intake) {
			this.#intake.recordTurn(now - this.#begunAt);
		}

		const {refused, next} = this.#intake.step(this.#situation());
		for (const {request, judgement} of refused) {
			request.settle(this.#refuse(judgement));
		}

		next?.settle({type: 'begin'});
		this.#addFresh();
		this.#begunAt = this.#intake.size > 0 && next !== undefined ? now : undefined;
		this.#begunInTurnAt = this.#begunAt;
		if (this.#intake.size > 0) {
			this.#stepNextTurn();
		}
	}

	#addFresh(): void {
		for (const request of this.#fresh) {
			this.#intake.add(request, performance.now());
		}

		this.#fresh = [];
	}

	#situation(): Situation {
		const {lateness, hasOthers} = this.#options;
		return {now: performance.now(), lagMilliseconds: lateness.intakeMilliseconds, hasOthers: hasOthers()};
	}

	#refuse(judgement: Judgement): Extract<IntakeOutcome, {type: 'refuse'}> {
		this.#options.lateness.recordRefusal();
		const draw = this.#options.random();
		const retryAfterMilliseconds = judgement.reason === 'given-away' ? retryElsewhereAfter(draw) : retryAfterOverload(judgement, draw);
		return {type: 'refuse', judgement, retryAfterMilliseconds};
	}
}

/** What the order of a late loop needs of a request. */
export function intakeRequestOf({facts, route, workspace, arrivedAt}: {facts: RequestMetadata; route: Route; workspace: Workspace | undefined; arrivedAt: number}, codec: RequestCodec): IntakeRequest {
	const leftMilliseconds = Math.min(route.timeoutMilliseconds, facts.deadlineMilliseconds ?? Infinity);
	return {
		id: facts.id, route: route.name, urgency: {route: route.urgency, workspace: workspace?.urgency}, targetMilliseconds: route.targetMilliseconds, arrivedAt,
		lastStartAt: arrivedAt + Math.min(leftMilliseconds, codec.patienceMilliseconds(route)), givenMilliseconds: facts.deadlineMilliseconds,
	};
}

/**
 * Waits for the next turn of the event loop, so that a disconnect of the caller that has already arrived is read before its request
 * is placed. If the process is short of processor time, a request is read late; its caller may have disconnected long ago, and an
 * endpoint would run the request in vain. The disconnect is read in the next turn at the latest. A turn takes less than a tenth of
 * a millisecond if the process has enough processor time.
 */
async function nextTurn(): Promise<void> {
	// The first callback still runs in this turn, and no socket is read before it.
	for (let turn = 0; turn < 2; turn++) {
		await new Promise<void>(resolve => {
			setImmediate(resolve);
		});
	}
}
