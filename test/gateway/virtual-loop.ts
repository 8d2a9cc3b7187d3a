import {createRandom, type Random} from '../../bench/harness/random.js';
import {IntakeGate, LoopLateness} from '../../src/gateway/index.js';
import {type IntakeRequest} from '../../src/policy/lateness/index.js';
import {type Processor, type VirtualTime} from './virtual-time.js';

/** A kind of request at a single instance. */
export type LoopKind = {readonly name: string; readonly urgency: number; readonly perSecond: number; readonly targetMilliseconds: number; readonly deadlineMilliseconds: number};

/** Processor time of each step, in milliseconds of a whole core. */
export type LoopCosts = {readonly accept: number; readonly read: number; readonly begin: number; readonly refuse: number};

/** What became of one caller: begun by the instance, refused for good, or left unread or unanswered when its time was over. */
export type LoopCaller = {readonly kind: LoopKind; readonly arrivedAt: number; outcome: 'begun' | 'refused' | 'left' | undefined; decidedAt: number; tries: number};

export type LoopOptions = {
	readonly time: VirtualTime;
	readonly seed: number;
	readonly kinds: readonly LoopKind[];
	readonly costs: LoopCosts;
	/** The part of a core that the instance has. */
	readonly share: number;
	/** Without a gate each request is begun in the turn in which it is read. */
	readonly hasGate: boolean;
	/** Connections that the kernel keeps until they are accepted; the opening of one more is tried again after a second, as TCP does. */
	readonly backlog?: number;
};

/** A connection without a caller is the loop's own probe. */
type Connection = {readonly caller: LoopCaller | undefined; readonly openedAt: number};

const leastTurnMilliseconds = 0.02;
const defaultBacklog = 511;
/** A kernel that has no answer to the opening of a connection sends it once more after this time. */
const reopenMilliseconds = 1000;

/**
 * The event loop of one instance in virtual time, as Node runs it: a turn accepts one of the connections that wait in the kernel, reads those that were
 * accepted in the turn before, and then runs the tasks of the turn's end. A refused caller comes back once, on a new connection, when it was told to.
 */
export class VirtualLoop implements Disposable {
	static create(options: LoopOptions): VirtualLoop {
		return new VirtualLoop(options);
	}

	readonly callers: LoopCaller[] = [];
	readonly #options: LoopOptions;
	readonly #random: Random;
	readonly #processor: Processor = {freeAt: 0};
	readonly #waiting: Connection[] = [];
	#unread: Connection[] = [];
	#tasks: Array<() => void> = [];
	#lateness!: LoopLateness;
	#gate!: IntakeGate;
	#isRunning = false;

	private constructor(options: LoopOptions) {
		this.#options = options;
		this.#random = createRandom(options.seed);
		options.time.runOnProcessor(this.#processor, () => {
			this.#lateness = LoopLateness.create({lateMilliseconds: 60, givesAway: false});
			this.#gate = IntakeGate.create({
				lateness: this.#lateness, random: () => this.#random.uniform(), hasOthers: () => true,
				nextTurn: task => {
					this.#tasks.push(task);
					this.#wake();
				},
				openProbe: () => {
					this.#waiting.push({caller: undefined, openedAt: options.time.now});
				},
			});
		});
	}

	[Symbol.dispose](): void {
		this.#lateness[Symbol.dispose]();
	}

	/** Lets callers come for a time, in series that don't depend on what becomes of them. */
	sendFor(milliseconds: number): void {
		const {time, kinds} = this.#options;
		for (const kind of kinds) {
			for (let at = this.#random.exponential(1000 / kind.perSecond); at < milliseconds; at += this.#random.exponential(1000 / kind.perSecond)) {
				time.after(at, () => {
					const caller: LoopCaller = {kind, arrivedAt: time.now, outcome: undefined, decidedAt: Infinity, tries: 1};
					this.callers.push(caller);
					this.#open(caller);
				});
			}
		}
	}

	#open(caller: LoopCaller): void {
		const {time, backlog = defaultBacklog} = this.#options;
		if (this.#hasLeft(caller)) {
			return;
		}

		if (this.#waiting.length >= backlog) {
			time.after(reopenMilliseconds, () => {
				this.#open(caller);
			});
			return;
		}

		this.#waiting.push({caller, openedAt: time.now});
		this.#wake();
	}

	#wake(): void {
		if (!this.#isRunning) {
			this.#isRunning = true;
			this.#options.time.runOnProcessor(this.#processor, () => {
				this.#turn();
			});
		}
	}

	#turn(): void {
		this.#spend(leastTurnMilliseconds);
		const read = this.#unread;
		this.#unread = [];
		const accepted = this.#waiting.findIndex(({openedAt}) => openedAt <= this.#options.time.now);
		if (accepted !== -1) {
			this.#accept(this.#waiting.splice(accepted, 1)[0]!);
		}

		for (const connection of read) {
			this.#read(connection);
		}

		const tasks = this.#tasks;
		this.#tasks = [];
		for (const task of tasks) {
			task();
		}

		this.#isRunning = false;
		if (this.#waiting.length + this.#unread.length + this.#tasks.length > 0) {
			this.#wake();
		}
	}

	#accept(connection: Connection): void {
		this.#spend(this.#options.costs.accept);
		const openedAt = this.#gate.recordConnection();
		if (connection.caller === undefined) {
			this.#gate.recordProbe('accepted');
			return;
		}

		this.#lateness.recordConnection(connection, openedAt);
		this.#unread.push(connection);
	}

	#read(connection: Connection): void {
		const {costs, hasGate} = this.#options;
		const {caller, openedAt} = connection;
		if (caller === undefined || this.#hasLeft(caller)) {
			return;
		}

		this.#spend(costs.read);
		const arrivedAt = this.#lateness.arrivalOf(connection);
		const request = this.#requestOf(caller, {openedAt, arrivedAt});
		const refusal = hasGate ? this.#gate.refusalOf(request) : undefined;
		if (refusal !== undefined) {
			this.#refuse(caller, refusal.retryAfterMilliseconds);
			return;
		}

		if (!hasGate || !this.#gate.isClosed) {
			this.#begin(caller);
			return;
		}

		this.#gate.pass(request, outcome => {
			if (this.#hasLeft(caller)) {
				return;
			}

			if (outcome.type === 'begin') {
				this.#begin(caller);
			} else {
				this.#refuse(caller, outcome.retryAfterMilliseconds);
			}
		});
	}

	#requestOf({kind}: LoopCaller, {openedAt, arrivedAt}: {openedAt: number; arrivedAt: number}): IntakeRequest {
		return {
			id: `${kind.name}-${openedAt}`, route: kind.name, urgency: {route: kind.urgency, workspace: undefined}, targetMilliseconds: kind.targetMilliseconds,
			arrivedAt, lastStartAt: arrivedAt + kind.deadlineMilliseconds, givenMilliseconds: kind.deadlineMilliseconds,
		};
	}

	/** Whether the caller's time is over; it is counted then. */
	#hasLeft(caller: LoopCaller): boolean {
		const leavesAt = caller.arrivedAt + caller.kind.deadlineMilliseconds;
		if (this.#options.time.now < leavesAt) {
			return false;
		}

		caller.outcome ??= 'left';
		caller.decidedAt = Math.min(caller.decidedAt, leavesAt);
		return true;
	}

	#begin(caller: LoopCaller): void {
		caller.outcome = 'begun';
		caller.decidedAt = this.#options.time.now;
		this.#spend(this.#options.costs.begin);
	}

	#refuse(caller: LoopCaller, retryAfterMilliseconds: number): void {
		const {time, costs} = this.#options;
		this.#spend(costs.refuse);
		if (caller.tries > 1 || time.now + retryAfterMilliseconds >= caller.arrivedAt + caller.kind.deadlineMilliseconds) {
			caller.outcome = 'refused';
			caller.decidedAt = time.now;
			return;
		}

		caller.tries += 1;
		time.runOffProcessor(() => {
			time.after(retryAfterMilliseconds, () => {
				this.#open(caller);
			});
		});
	}

	#spend(milliseconds: number): void {
		this.#options.time.spend(milliseconds / this.#options.share);
	}
}
