import {type Catalogue} from '../../catalogue/index.js';
import {
	channel, receive, receiveWithin, spawn, tryDeliver, type Body, type Channel,
} from '../../concurrency/index.js';
import {rankByRendezvous} from '../../policy/hashing/index.js';
import {
	admit, createAllocator, createLimiter, finish, lacksLease, grantLease, reportIntervalMilliseconds, spendTokens, applyLease, createReport,
	type AllocatorState, type Limits, type LimiterDecision, type LimiterState, type FleetPosition,
} from '../../policy/limits/index.js';
import {Listener, type Connection, type Security} from '../../wire/index.js';
import {KeeperPeer, type LimitLease, type LimitReport} from './peer.js';

export type LimiterOptions = {
	/** Its name in `entries()`; its own address if left out. */
	readonly instance?: string;
	readonly host: string;
	readonly port: number;
	readonly security: Security;
	/** The live entries with the addresses of their limiters, this one among them, as the membership list has them. */
	entries(): ReadonlyMap<string, string>;
	catalogue(): Catalogue;
};

/** How often it looks which reports are due. */
const tickMilliseconds = 100;
/** After a keeper did not answer, requests go by the even share for so long without a wait. */
const disappointmentMilliseconds = 500;
/** A class that saw no request for so long is not reported any more, and forgotten. */
const idleMilliseconds = 10_000;

/** A round trip to a keeper in another availability zone takes a few milliseconds; one that takes longer is out of reach. */
const firstLeaseMilliseconds = 100;
/** Requests of one class that may wait for its first lease; the others go by the even share at once. */
const firstLeaseWaiters = 64;

type Held = {
	state: LimiterState;
	reportedAt: number;
	/** When a wait for a lease was last in vain. */
	disappointedAt: number;
	readonly waiting: Set<Channel<true>>;
};

/**
 * Fleet-wide limits at one entry: decides requests by its share, reports its demand to each class's
 * keeper, and is keeper itself for the classes that rendezvous hashing gives it. Two entries that
 * both hold themselves for the keeper cost accuracy, never an answer.
 */
export class Limiter implements AsyncDisposable {
	static async create(options: LimiterOptions): Promise<Limiter> {
		const limiter = new Limiter(options);
		limiter.#listener = await Listener.create({
			host: options.host, port: options.port, security: options.security, onConnection(connection) {
				limiter.#connections.add(connection);
				void spawn('limit-peer', () => limiter.#serve(connection));
			},
		});
		return limiter;
	}

	/** Reports and leases so far, for the metrics. */
	readonly counts = {reported: 0, leased: 0};
	readonly #options: LimiterOptions;
	#listener!: Listener;
	readonly #connections = new Set<Connection>();
	readonly #peers = new Map<string, KeeperPeer>();
	readonly #keepers = new Map<string, AllocatorState>();
	readonly #classes = new Map<string, Held>();
	readonly #timer: NodeJS.Timeout;

	private constructor(options: LimiterOptions) {
		this.#options = options;
		this.#timer = setInterval(() => {
			this.#report();
		}, tickMilliseconds);
	}

	get #self(): string {
		return this.#options.instance ?? this.address;
	}

	/** IP number and port for other entries: the entry's address in the membership list. */
	get address(): string {
		return this.#listener.address;
	}

	/**
	 * Decides one request of a class. Each admitted one must be ended by `finish`.
	 *
	 * Failure: an entry that has no lease yet goes by its even share, though the keeper has leased
	 * that to others. Symptom: a limit is exceeded by whatever entries a class meets anew. The first
	 * requests therefore wait a moment for the lease, unless the keeper did not answer just now.
	 */
	* admit(className: string, limits: Limits, promptTokens: number): Body<LimiterDecision> {
		if (!isLimited(limits)) {
			return {type: 'admitted'};
		}

		const held = this.#hold(className, limits);
		if (lacksLease(held.state, performance.now())) {
			yield * this.#awaitLease(className, held);
		}

		const first = this.#decide(held, limits, promptTokens);
		if (first.type === 'admitted' || !this.#isDue(held, true)) {
			return first;
		}

		yield * this.#awaitLease(className, held);
		return this.#decide(held, limits, promptTokens);
	}

	/** Tokens of an admitted request's answer. */
	spend(className: string, tokens: number): void {
		const held = this.#classes.get(className);
		if (held) {
			held.state = spendTokens(held.state, tokens);
		}
	}

	/** An admitted request has ended, however it did. */
	finish(className: string): void {
		const held = this.#classes.get(className);
		if (held && held.state.running > 0) {
			held.state = finish(held.state, performance.now());
		}
	}

	async [Symbol.asyncDispose](): Promise<void> {
		clearInterval(this.#timer);
		for (const peer of this.#peers.values()) {
			peer.close();
		}

		for (const connection of this.#connections) {
			connection.close('the entry stops');
		}

		await this.#listener[Symbol.asyncDispose]();
	}

	#hold(className: string, limits: Limits): Held {
		const known = this.#classes.get(className);
		if (known) {
			return known;
		}

		const held: Held = {
			state: createLimiter({limits, fleetPosition: this.#standing()}, performance.now()),
			reportedAt: Number.NEGATIVE_INFINITY,
			disappointedAt: Number.NEGATIVE_INFINITY,
			waiting: new Set(),
		};
		this.#classes.set(className, held);
		return held;
	}

	#decide(held: Held, limits: Limits, promptTokens: number): LimiterDecision {
		const {state, decision} = admit(held.state, {limits, fleetPosition: this.#standing(), promptTokens}, performance.now());
		held.state = state;
		return decision;
	}

	#isDue(held: Held, isUrgent: boolean): boolean {
		return performance.now() - held.reportedAt >= reportIntervalMilliseconds(held.state, isUrgent);
	}

	* #awaitLease(className: string, held: Held): Body<void> {
		const now = performance.now();
		if (now - held.disappointedAt < disappointmentMilliseconds || held.waiting.size >= firstLeaseWaiters) {
			return;
		}

		const arrived = channel<true>(1);
		held.waiting.add(arrived);
		if (this.#isDue(held, true)) {
			this.#reportClasses([className], now);
		}

		const {type} = yield * receiveWithin(arrived, firstLeaseMilliseconds);
		held.waiting.delete(arrived);
		if (type === 'timeout') {
			held.disappointedAt = performance.now();
		}
	}

	#standing(): FleetPosition {
		const names = [...this.#options.entries().keys()].toSorted();
		return {entries: Math.max(names.length, 1), position: Math.max(names.indexOf(this.#self), 0)};
	}

	#report(): void {
		const now = performance.now();
		const due: string[] = [];
		for (const [name, held] of this.#classes) {
			if (held.state.running === 0 && now - held.state.lastUsedAt > idleMilliseconds) {
				this.#classes.delete(name);
				continue;
			}

			if (this.#isDue(held, false)) {
				due.push(name);
			}
		}

		this.#reportClasses(due, now);
		this.#forgetKeepers();
	}

	#reportClasses(names: readonly string[], now: number): void {
		const entries = this.#options.entries();
		const byKeeper = new Map<string, LimitReport['classes']>();
		for (const name of names) {
			const held = this.#classes.get(name)!;
			const {state, demand} = createReport(held.state, now);
			held.state = state;
			held.reportedAt = now;
			const keeper = rankByRendezvous(name, entries.keys())[0] ?? this.#self;
			byKeeper.set(keeper, [...byKeeper.get(keeper) ?? [], {name, ...demand}]);
		}

		for (const [keeper, classes] of byKeeper) {
			this.counts.reported += classes.length;
			this.#send(keeper, entries.get(keeper), {type: 'limit-report', holder: this.#self, classes});
		}
	}

	#send(keeper: string, address: string | undefined, report: LimitReport): void {
		if (keeper === this.#self || address === undefined) {
			this.#takeLeases(this.#lease(report));
			return;
		}

		let peer = this.#peers.get(address);
		if (!peer) {
			peer = KeeperPeer.create(address, this.#options.security, lease => {
				this.#takeLeases(lease);
			});
			this.#peers.set(address, peer);
		}

		peer.report(report);
	}

	/** As the keeper: answers a report with shares. A class that this process does not know gets none. */
	#lease(report: LimitReport): LimitLease {
		const now = performance.now();
		const classes = report.classes.flatMap(({name, ...demand}) => {
			const limits = this.#limitsOf(name);
			if (!limits) {
				return [];
			}

			const {state, lease} = grantLease(this.#keepers.get(name) ?? createAllocator(), {holder: report.holder, demand, limits}, now);
			this.#keepers.set(name, state);
			return [{name, ...lease}];
		});
		this.counts.leased += classes.length;
		return {type: 'limit-lease', classes};
	}

	#takeLeases(answer: LimitLease): void {
		const now = performance.now();
		const standing = this.#standing();
		for (const {name, ...lease} of answer.classes) {
			const held = this.#classes.get(name);
			const limits = this.#limitsOf(name);
			if (held && limits) {
				held.state = applyLease(held.state, {limits, fleetPosition: standing}, lease, now);
				for (const waiting of held.waiting) {
					tryDeliver(waiting, true);
				}
			}
		}
	}

	/** Failure: classes come and go, and every keeper's state stays. Symptom: memory grows by the day. */
	#forgetKeepers(): void {
		const now = performance.now();
		for (const [name, state] of this.#keepers) {
			if ([...state.values()].every(holding => holding.until <= now)) {
				this.#keepers.delete(name);
			}
		}

		const addresses = new Set(this.#options.entries().values());
		for (const [address, peer] of this.#peers) {
			if (!addresses.has(address)) {
				peer.close();
				this.#peers.delete(address);
			}
		}
	}

	#limitsOf(className: string): Limits | undefined {
		const [workspace = '', name] = className.split('/');
		return this.#options.catalogue().classOf(workspace, name)?.limits;
	}

	* #serve(connection: Connection): Body<void> {
		for (;;) {
			const messages = yield * receive(connection.incoming);
			if (messages === undefined) {
				this.#connections.delete(connection);
				return;
			}

			for (const message of messages) {
				if (message.type === 'limit-report') {
					connection.send(this.#lease(message));
				}
			}
		}
	}
}

function isLimited({requestsPerSecond, tokensPerSecond, concurrency}: Limits): boolean {
	return requestsPerSecond !== undefined || tokensPerSecond !== undefined || concurrency !== undefined;
}
