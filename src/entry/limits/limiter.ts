import {type Catalogue} from '../../catalogue/index.js';
import {receiveWithin, type Body} from '../../concurrency/index.js';
import {rankByRendezvous} from '../../policy/hashing/index.js';
import {type FleetPosition, type LimiterDecision, type Limits} from '../../policy/limits/index.js';
import {type Security} from '../../wire/index.js';
import {type LimitLease, type LimitReport} from './allocator-connection.js';
import {AllocatorConnections} from './allocator-connections.js';
import {LeaseAllocator} from './lease-allocator.js';
import {LimitedClass, type LimitContext} from './limited-class.js';
import {ReportListener} from './report-listener.js';

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
 * How long a request waits for a lease. A round trip to an allocator in another availability zone takes a few
 * milliseconds; an allocator that takes longer than this counts as unreachable.
 */
const firstLeaseTimeoutMilliseconds = 100;

/**
 * Applies fleet-wide limits at one entry: admits requests by the entry's share, reports demand to each class's
 * allocator, and is itself the allocator of the classes that rendezvous hashing assigns to it. If two entries both
 * act as the allocator of a class, limits are less accurate, but requests are still decided.
 */
export class Limiter implements AsyncDisposable {
	static async create(options: LimiterOptions): Promise<Limiter> {
		const limiter = new Limiter(options);
		const {host, port, security} = options;
		limiter.#listener = await ReportListener.create({
			host, port, security, onReport: report => limiter.#allocator.grant(report, performance.now()),
		});
		return limiter;
	}

	readonly #options: LimiterOptions;
	#listener!: ReportListener;
	readonly #connections: AllocatorConnections;
	readonly #allocator: LeaseAllocator;
	readonly #classes = new Map<string, LimitedClass>();
	readonly #timer: NodeJS.Timeout;
	#reported = 0;

	private constructor(options: LimiterOptions) {
		this.#options = options;
		this.#connections = AllocatorConnections.create(options.security, lease => {
			this.#applyLeases(lease);
		});
		this.#allocator = LeaseAllocator.create(name => this.#limitsOf(name));
		this.#timer = setInterval(() => {
			this.#reportDueClasses();
		}, reportTickMilliseconds);
	}

	/** Numbers of class reports sent and of leases granted so far. */
	get counts(): {readonly reported: number; readonly leased: number} {
		return {reported: this.#reported, leased: this.#allocator.granted};
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
		if (limitedClass.lacksLease(performance.now())) {
			yield * this.#awaitLease(className, limitedClass);
		}

		const first = limitedClass.decide(this.#contextOf(limits), promptTokens, performance.now());
		if (first.type === 'admitted' || !limitedClass.isReportDue(true, performance.now())) {
			return first;
		}

		yield * this.#awaitLease(className, limitedClass);
		return limitedClass.decide(this.#contextOf(limits), promptTokens, performance.now());
	}

	/** Charges the response tokens of an admitted request to the class. */
	spend(className: string, tokens: number): void {
		this.#classes.get(className)?.spend(tokens);
	}

	/** An admitted request has ended, with or without success. */
	finish(className: string): void {
		this.#classes.get(className)?.finish(performance.now());
	}

	async [Symbol.asyncDispose](): Promise<void> {
		clearInterval(this.#timer);
		this.#connections.closeAll();
		await this.#listener[Symbol.asyncDispose]();
	}

	get #self(): string {
		return this.#options.instance ?? this.address;
	}

	#limitedClass(className: string, limits: Limits): LimitedClass {
		const known = this.#classes.get(className);
		if (known) {
			return known;
		}

		const limitedClass = LimitedClass.create(this.#contextOf(limits), performance.now());
		this.#classes.set(className, limitedClass);
		return limitedClass;
	}

	* #awaitLease(className: string, limitedClass: LimitedClass): Body<void> {
		const now = performance.now();
		const leaseArrived = limitedClass.waitForLease(now);
		if (leaseArrived === undefined) {
			return;
		}

		if (limitedClass.isReportDue(true, performance.now())) {
			this.#reportClasses([className], now);
		}

		const {type} = yield * receiveWithin(leaseArrived, firstLeaseTimeoutMilliseconds);
		limitedClass.endWait(leaseArrived, type === 'timeout', performance.now());
	}

	#contextOf(limits: Limits): LimitContext {
		return {limits, fleetPosition: this.#fleetPosition()};
	}

	#fleetPosition(): FleetPosition {
		const names = [...this.#options.entries().keys()].toSorted();
		return {entries: Math.max(names.length, 1), position: Math.max(names.indexOf(this.#self), 0)};
	}

	#reportDueClasses(): void {
		const now = performance.now();
		for (const [name, limitedClass] of this.#classes) {
			if (limitedClass.isIdle(now)) {
				this.#classes.delete(name);
			}
		}

		const due = [...this.#classes].filter(([, limitedClass]) => limitedClass.isReportDue(false, performance.now()));
		this.#reportClasses(due.map(([name]) => name), now);
		this.#allocator.discardExpired(performance.now());
		this.#connections.keepOnly(new Set(this.#options.entries().values()));
	}

	#reportClasses(names: readonly string[], now: number): void {
		const entries = this.#options.entries();
		const byAllocator = new Map<string, LimitReport['classes']>();
		for (const name of names) {
			const demand = this.#classes.get(name)!.takeReport(now);
			const allocator = rankByRendezvous(name, entries.keys())[0] ?? this.#self;
			byAllocator.set(allocator, [...byAllocator.get(allocator) ?? [], {name, ...demand}]);
		}

		for (const [allocator, classes] of byAllocator) {
			this.#reported += classes.length;
			this.#send(allocator, entries.get(allocator), {type: 'limit-report', holder: this.#self, classes});
		}
	}

	#send(allocator: string, address: string | undefined, report: LimitReport): void {
		if (allocator === this.#self || address === undefined) {
			this.#applyLeases(this.#allocator.grant(report, performance.now()));
			return;
		}

		this.#connections.report(address, report);
	}

	#applyLeases(leases: LimitLease): void {
		const now = performance.now();
		const fleetPosition = this.#fleetPosition();
		for (const {name, ...lease} of leases.classes) {
			const limits = this.#limitsOf(name);
			if (limits) {
				this.#classes.get(name)?.applyLease({limits, fleetPosition}, lease, now);
			}
		}
	}

	#limitsOf(className: string): Limits | undefined {
		const [workspace = '', name] = className.split('/');
		return this.#options.catalogue().classOf(workspace, name)?.limits;
	}
}

function isLimited({requestsPerSecond, tokensPerSecond, concurrency}: Limits): boolean {
	return requestsPerSecond !== undefined || tokensPerSecond !== undefined || concurrency !== undefined;
}
