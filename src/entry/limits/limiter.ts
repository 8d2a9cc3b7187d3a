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
import {AllocatorConnection, type LimitLease, type LimitReport} from './allocator-connection.js';

export type LimiterOptions = {
	/** This entry's name in `entries()`; its address by default. */
	readonly instance?: string;
	readonly host: string;
	readonly port: number;
	readonly security: Security;
	/** The live entries of the membership list, this one included, with the addresses of their limiters. */
	entries(): ReadonlyMap<string, string>;
	catalogue(): Catalogue;
};

/** How often the classes are checked for due reports. */
const reportTickMilliseconds = 100;
/**
 * After an allocator did not respond, requests use the even share (an equal part of the limit per entry) for this
 * long, without waiting for a lease.
 */
const timeoutBackoffMilliseconds = 500;
/** A class without requests for this long is no longer reported, and its state is discarded. */
const classIdleMilliseconds = 10_000;

/**
 * How long a request waits for a lease. A round trip to an allocator in another availability zone takes a few
 * milliseconds; an allocator that takes longer than this counts as unreachable.
 */
const firstLeaseTimeoutMilliseconds = 100;
/** Requests of one class that may wait for a lease; further ones use the even share at once. */
const maxFirstLeaseWaiters = 64;

/** A class with limits, as this entry applies them. Times are those of `performance.now()`. */
type LimitedClass = {
	state: LimiterState;
	reportedAt: number;
	/** When a wait for a lease last timed out. */
	lastTimeoutAt: number;
	readonly waiting: Set<Channel<true>>;
};

/**
 * Applies fleet-wide limits at one entry: admits requests by the entry's share, reports demand to each class's
 * allocator, and is itself the allocator of the classes that rendezvous hashing assigns to it. If two entries both
 * act as the allocator of a class, limits are less accurate, but requests are still decided.
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

	/** Numbers of class reports sent and of leases granted so far. */
	readonly counts = {reported: 0, leased: 0};
	readonly #options: LimiterOptions;
	#listener!: Listener;
	/** Connections from other entries, which report to this one as their allocator. */
	readonly #connections = new Set<Connection>();
	/** Connections to the allocators of this entry's classes, by address. */
	readonly #allocatorConnections = new Map<string, AllocatorConnection>();
	/** The leases granted by this entry as an allocator, by class. */
	readonly #allocators = new Map<string, AllocatorState>();
	readonly #classes = new Map<string, LimitedClass>();
	readonly #timer: NodeJS.Timeout;

	private constructor(options: LimiterOptions) {
		this.#options = options;
		this.#timer = setInterval(() => {
			this.#reportDueClasses();
		}, reportTickMilliseconds);
	}

	get #self(): string {
		return this.#options.instance ?? this.address;
	}

	/** IP address and port for other entries: the entry's address in the membership list. */
	get address(): string {
		return this.#listener.address;
	}

	/**
	 * Decides whether to admit one request of a class. `finish` must be called for each admitted request.
	 *
	 * An entry without a lease uses its even share, which the allocator may have leased to other entries already. Each
	 * entry at which requests of the class arrive for the first time would then raise the total above the limit. The
	 * first requests therefore wait briefly for the lease, unless the allocator failed to respond recently.
	 */
	* admit(className: string, limits: Limits, promptTokens: number): Body<LimiterDecision> {
		if (!isLimited(limits)) {
			return {type: 'admitted'};
		}

		const limitedClass = this.#limitedClass(className, limits);
		if (lacksLease(limitedClass.state, performance.now())) {
			yield * this.#awaitLease(className, limitedClass);
		}

		const first = this.#decide(limitedClass, limits, promptTokens);
		if (first.type === 'admitted' || !this.#isReportDue(limitedClass, true)) {
			return first;
		}

		yield * this.#awaitLease(className, limitedClass);
		return this.#decide(limitedClass, limits, promptTokens);
	}

	/** Charges the response tokens of an admitted request to the class. */
	spend(className: string, tokens: number): void {
		const limitedClass = this.#classes.get(className);
		if (limitedClass) {
			limitedClass.state = spendTokens(limitedClass.state, tokens);
		}
	}

	/** An admitted request has ended, with or without success. */
	finish(className: string): void {
		const limitedClass = this.#classes.get(className);
		if (limitedClass && limitedClass.state.running > 0) {
			limitedClass.state = finish(limitedClass.state, performance.now());
		}
	}

	async [Symbol.asyncDispose](): Promise<void> {
		clearInterval(this.#timer);
		for (const peer of this.#allocatorConnections.values()) {
			peer.close();
		}

		for (const connection of this.#connections) {
			connection.close('the entry is shutting down');
		}

		await this.#listener[Symbol.asyncDispose]();
	}

	#limitedClass(className: string, limits: Limits): LimitedClass {
		const known = this.#classes.get(className);
		if (known) {
			return known;
		}

		const limitedClass: LimitedClass = {
			state: createLimiter({limits, fleetPosition: this.#fleetPosition()}, performance.now()),
			reportedAt: Number.NEGATIVE_INFINITY,
			lastTimeoutAt: Number.NEGATIVE_INFINITY,
			waiting: new Set(),
		};
		this.#classes.set(className, limitedClass);
		return limitedClass;
	}

	#decide(limitedClass: LimitedClass, limits: Limits, promptTokens: number): LimiterDecision {
		const {state, decision} = admit(limitedClass.state, {limits, fleetPosition: this.#fleetPosition(), promptTokens}, performance.now());
		limitedClass.state = state;
		return decision;
	}

	#isReportDue(limitedClass: LimitedClass, isUrgent: boolean): boolean {
		return performance.now() - limitedClass.reportedAt >= reportIntervalMilliseconds(limitedClass.state, isUrgent);
	}

	* #awaitLease(className: string, limitedClass: LimitedClass): Body<void> {
		const now = performance.now();
		if (now - limitedClass.lastTimeoutAt < timeoutBackoffMilliseconds || limitedClass.waiting.size >= maxFirstLeaseWaiters) {
			return;
		}

		const leaseArrived = channel<true>(1);
		limitedClass.waiting.add(leaseArrived);
		if (this.#isReportDue(limitedClass, true)) {
			this.#reportClasses([className], now);
		}

		const {type} = yield * receiveWithin(leaseArrived, firstLeaseTimeoutMilliseconds);
		limitedClass.waiting.delete(leaseArrived);
		if (type === 'timeout') {
			limitedClass.lastTimeoutAt = performance.now();
		}
	}

	#fleetPosition(): FleetPosition {
		const names = [...this.#options.entries().keys()].toSorted();
		return {entries: Math.max(names.length, 1), position: Math.max(names.indexOf(this.#self), 0)};
	}

	#reportDueClasses(): void {
		const now = performance.now();
		const due: string[] = [];
		for (const [name, limitedClass] of this.#classes) {
			if (limitedClass.state.running === 0 && now - limitedClass.state.lastUsedAt > classIdleMilliseconds) {
				this.#classes.delete(name);
				continue;
			}

			if (this.#isReportDue(limitedClass, false)) {
				due.push(name);
			}
		}

		this.#reportClasses(due, now);
		this.#discardExpiredState();
	}

	#reportClasses(names: readonly string[], now: number): void {
		const entries = this.#options.entries();
		const byAllocator = new Map<string, LimitReport['classes']>();
		for (const name of names) {
			const limitedClass = this.#classes.get(name)!;
			const {state, demand} = createReport(limitedClass.state, now);
			limitedClass.state = state;
			limitedClass.reportedAt = now;
			const allocator = rankByRendezvous(name, entries.keys())[0] ?? this.#self;
			byAllocator.set(allocator, [...byAllocator.get(allocator) ?? [], {name, ...demand}]);
		}

		for (const [allocator, classes] of byAllocator) {
			this.counts.reported += classes.length;
			this.#send(allocator, entries.get(allocator), {type: 'limit-report', holder: this.#self, classes});
		}
	}

	#send(allocator: string, address: string | undefined, report: LimitReport): void {
		if (allocator === this.#self || address === undefined) {
			this.#applyLeases(this.#grantLeases(report));
			return;
		}

		let peer = this.#allocatorConnections.get(address);
		if (!peer) {
			peer = AllocatorConnection.create(address, this.#options.security, lease => {
				this.#applyLeases(lease);
			});
			this.#allocatorConnections.set(address, peer);
		}

		peer.report(report);
	}

	/** As the allocator, grants leases in response to a report. A class that is not in this entry's catalogue gets none. */
	#grantLeases(report: LimitReport): LimitLease {
		const now = performance.now();
		const classes = report.classes.flatMap(({name, ...demand}) => {
			const limits = this.#limitsOf(name);
			if (!limits) {
				return [];
			}

			const {state, lease} = grantLease(this.#allocators.get(name) ?? createAllocator(), {holder: report.holder, demand, limits}, now);
			this.#allocators.set(name, state);
			return [{name, ...lease}];
		});
		this.counts.leased += classes.length;
		return {type: 'limit-lease', classes};
	}

	#applyLeases(leases: LimitLease): void {
		const now = performance.now();
		const fleetPosition = this.#fleetPosition();
		for (const {name, ...lease} of leases.classes) {
			const limitedClass = this.#classes.get(name);
			const limits = this.#limitsOf(name);
			if (limitedClass && limits) {
				limitedClass.state = applyLease(limitedClass.state, {limits, fleetPosition}, lease, now);
				for (const waiter of limitedClass.waiting) {
					tryDeliver(waiter, true);
				}
			}
		}
	}

	/**
	 * Discards the state of classes without current leases, and closes connections to entries that have left.
	 * Without this, memory would grow without bound as classes come and go.
	 */
	#discardExpiredState(): void {
		const now = performance.now();
		for (const [name, state] of this.#allocators) {
			if ([...state.values()].every(holding => holding.until <= now)) {
				this.#allocators.delete(name);
			}
		}

		const addresses = new Set(this.#options.entries().values());
		for (const [address, peer] of this.#allocatorConnections) {
			if (!addresses.has(address)) {
				peer.close();
				this.#allocatorConnections.delete(address);
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
					connection.send(this.#grantLeases(message));
				}
			}
		}
	}
}

function isLimited({requestsPerSecond, tokensPerSecond, concurrency}: Limits): boolean {
	return requestsPerSecond !== undefined || tokensPerSecond !== undefined || concurrency !== undefined;
}
