/** What disturbs the store beside planned work: faults for a time, and a store that is away over a whole stop. */
import {type FakePlatformStore} from '../../fakes/platform-store.js';
import {type Random} from '../harness/random.js';
import {type Range} from './course-world.js';
import {type StopTroubles} from './stop-troubles.js';
import {between, sleep} from './traffic.js';

const faults = ['refuse', 'reset', 'silent', 'late', 'lose-answer'] as const;
const faultMilliseconds: Range = {low: 300, high: 2500};

export type Span = {readonly from: number; until: number};

export class PlannedStore {
	static create(store: FakePlatformStore, note: (text: string) => void): PlannedStore {
		return new PlannedStore(store, note);
	}

	/** When the store was disturbed. */
	readonly spans: Span[] = [];
	readonly #store: FakePlatformStore;
	readonly #note: (text: string) => void;
	/** Stops over which the store is away. */
	#aways = 0;

	private constructor(store: FakePlatformStore, note: (text: string) => void) {
		this.#store = store;
		this.#note = note;
	}

	/** Disturbs the store for a time, unless it is away. */
	async disturb(random: Random): Promise<void> {
		const kind = random.pick(faults);
		const milliseconds = between(random, faultMilliseconds);
		this.#note(`store ${kind}`);
		await this.#during(async () => {
			if (this.#aways === 0) {
				this.#store.fault = () => kind;
			}

			await sleep(milliseconds);
		});
	}

	/** Does something while the store is away, if it is to be. */
	async whileAway(away: StopTroubles['storeAway'], work: () => Promise<void>): Promise<void> {
		if (away === undefined) {
			await work();
			return;
		}

		this.#aways += 1;
		await this.#during(async () => {
			this.#store.fault = () => away.fault;
			await sleep(away.beforeMilliseconds);
			await work();
			await sleep(away.afterMilliseconds);
			this.#aways -= 1;
		});
	}

	async #during(disturb: () => Promise<void>): Promise<void> {
		const span: Span = {from: performance.now(), until: Infinity};
		this.spans.push(span);
		await disturb();
		if (this.#aways === 0) {
			this.#store.fault = () => undefined;
		}

		span.until = performance.now();
	}
}
