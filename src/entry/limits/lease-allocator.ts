import {createAllocator, grantLease, type AllocatorState, type Limits} from '../../policy/limits/index.js';
import {type LimitLease, type LimitReport} from './allocator-connection.js';

/** The leases that this entry grants as the allocator of classes. Times are those of `performance.now()`. */
export class LeaseAllocator {
	/** `limitsOf` returns the limits of a class, or undefined if the class is not in this entry's catalogue. */
	static create(limitsOf: (className: string) => Limits | undefined): LeaseAllocator {
		return new LeaseAllocator(limitsOf);
	}

	/** Number of leases granted so far. */
	granted = 0;
	readonly #limitsOf: (className: string) => Limits | undefined;
	/** The grants by class. */
	readonly #allocators = new Map<string, AllocatorState>();

	private constructor(limitsOf: (className: string) => Limits | undefined) {
		this.#limitsOf = limitsOf;
	}

	/** Grants leases in response to a report. A class that is not in this entry's catalogue gets none. */
	grant(report: LimitReport, now: number): LimitLease {
		const classes = report.classes.flatMap(({name, ...demand}) => {
			const limits = this.#limitsOf(name);
			if (!limits) {
				return [];
			}

			const {state, lease} = grantLease(this.#allocators.get(name) ?? createAllocator(), {holder: report.holder, demand, limits}, now);
			this.#allocators.set(name, state);
			return [{name, ...lease}];
		});
		this.granted += classes.length;
		return {type: 'limit-lease', classes};
	}

	/** Discards the state of classes without current leases, which would otherwise grow without bound as classes come and go. */
	discardExpired(now: number): void {
		for (const [name, state] of this.#allocators) {
			if ([...state.values()].every(({until}) => until <= now)) {
				this.#allocators.delete(name);
			}
		}
	}
}
