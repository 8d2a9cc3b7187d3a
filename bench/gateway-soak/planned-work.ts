/** Everything that RULES.md and DEPLOY.md call planned, in series that overlap; each series draws from a generator of its own. */
import {createRandom, type Random} from '../harness/random.js';
import {type CourseOptions, type CourseWorld, type Range} from './course-world.js';
import {type PlannedVersions} from './planned-versions.js';
import {PlannedStore, type Span} from './planned-store.js';
import {type EndpointWork, type LeftWorker, PlannedWorkers} from './planned-workers.js';
import {portsPerGateway} from './run-seed.js';
import {enterTurn, type LongTurn, textOfTroubles, TroubleDraws, type TroubleShares} from './stop-troubles.js';
import {between, sleep} from './traffic.js';

/** Gateways that may be added. */
export const spareGateways = 2;
/** So many stay at least where an instance is removed with none in its place. */
const fewestInstances = 2;
const readyPauseMilliseconds = 1000;

const pauses = {
	stop: {low: 300, high: 3000}, signal: {low: 0, high: 2500}, down: {low: 0, high: 1500}, early: {low: 0, high: 1500}, readyAgain: {low: 0, high: 3000},
	reload: {low: 200, high: 2500}, half: {low: 50, high: 2500}, version: {low: 300, high: 2500}, storm: {low: 330, high: 330}, worker: {low: 500, high: 2500},
	store: {low: 2000, high: 8000},
} as const satisfies Record<string, Range>;
const stormVersions = 8;
/** How often, of 1. */
const shares = {twoAtOnce: 0.2, busiest: 0.3, otherSignal: 0.7, removed: 0.15, stoppedEarly: 0.3, storm: 0.3} as const;
/** Signals within a stop, which change nothing. */
const laterSignals = ['SIGTERM', 'SIGTERM', 'SIGHUP', 'SIGINT'] as const;

export type PlannedWorkOptions = {
	readonly world: CourseWorld;
	readonly versions: PlannedVersions;
	readonly course: CourseOptions;
	readonly milliseconds: number;
	/** Requests that callers await at a gateway. */
	readonly openAt: (gateway: number) => number;
	/** What endpoints do meanwhile, in series of their own; without it, they leave and are replaced in one series. */
	readonly endpoints?: {readonly series: number; readonly work: EndpointWork};
	/** How often, of 1, all gateways are stopped at once. */
	readonly allAtOnceShare?: number;
	/** How often stops meet a long turn of the event loop, or a store that is away; without it, never. */
	readonly troubleShares?: TroubleShares;
	/** Called before a stop, and how long before its signal. */
	readonly beforeStop?: (gateway: number, milliseconds: number) => void;
};

export class PlannedWork {
	static create(options: PlannedWorkOptions): PlannedWork {
		return new PlannedWork(options);
	}

	/** Gateways to which callers open connections. */
	readonly inUse: Set<number>;
	/** Of each stop, whether the gateway was still asked for requests 4 s later. */
	readonly #readyLater: boolean[] = [];
	readonly #options: PlannedWorkOptions;
	readonly #stopping = new Set<number>();
	readonly #workers: EndpointWork;
	readonly #until: number;
	readonly #troubles: TroubleDraws;
	readonly #store: PlannedStore;

	private constructor(options: PlannedWorkOptions) {
		this.#options = options;
		this.inUse = new Set(options.world.gateways.keys());
		this.#workers = options.endpoints?.work ?? PlannedWorkers.create(options.world.platform, text => {
			this.#note(text);
		});
		this.#until = performance.now() + options.milliseconds;
		this.#troubles = TroubleDraws.create(options.course.seed, options.troubleShares);
		this.#store = PlannedStore.create(options.world.platform.store, text => {
			this.#note(text);
		});
	}

	/** When the store was disturbed. */
	get storeSpans(): readonly Span[] {
		return this.#store.spans;
	}

	get leftWorkers(): readonly LeftWorker[] {
		return this.#workers.left;
	}

	/** DRAIN: "Two or more machines, and over a quarter of those that were ready when SIGTERM came, still run and count as ready 4 s later". */
	get stillReady(): string[] {
		const count = this.#readyLater.filter(Boolean).length;
		return count >= 2 && count > this.#readyLater.length / 4 ? [`DRAIN: ${count} of ${this.#readyLater.length} gateways count as ready 4 s after SIGTERM`] : [];
	}

	/** Runs all series; resolves once the last planned work is over. */
	async run(): Promise<void> {
		const {course: {gateways}} = this.#options;
		const stopSeries = Math.max(2, Math.floor(gateways / 10));
		await Promise.all([
			...Array.from({length: stopSeries}, async (_, number) => this.#series(10 + number, pauses.stop, async random => this.#stopSome(random))),
			this.#series(1, pauses.version, async random => this.#publish(random)),
			this.#series(2, pauses.reload, async random => this.#reload(random)),
			...Array.from({length: this.#options.endpoints?.series ?? 1}, async (_, number) => this.#series(3 + (number * 20), pauses.worker, async random => this.#workers.replaceOne(random))),
			this.#series(4, pauses.store, async random => this.#store.disturb(random)),
		]);
		await this.#workers.settled();
	}

	/** Adds an instance, unless none is left to add. */
	async addInstance(): Promise<void> {
		const {world, course: {gateways, firstPort, program}} = this.#options;
		const added = world.gateways.length;
		if (added >= gateways + spareGateways) {
			return;
		}

		this.#note(`added ${added}`);
		await world.addGateway(`gateway-${added}`, firstPort + (added * portsPerGateway), program);
		this.inUse.add(added);
	}

	/** Stops an instance for good, unless few are left. */
	async removeInstance(random: Random): Promise<void> {
		const index = random.pick([...this.inUse]);
		if (this.inUse.size <= fewestInstances || this.#stopping.has(index)) {
			return;
		}

		this.#note(`removed ${index}`);
		this.#stopping.add(index);
		this.inUse.delete(index);
		await this.#options.world.gateways[index]!.stop();
	}

	/** Repeats one kind of work after pauses. */
	async #series(number: number, pause: Range, work: (random: Random) => Promise<void>): Promise<void> {
		const random = createRandom((this.#options.course.seed * 1000) + number);
		while (performance.now() < this.#until) {
			await sleep(between(random, pause));
			if (performance.now() < this.#until) {
				await work(random);
			}
		}
	}

	async #stopSome(random: Random): Promise<void> {
		const {allAtOnceShare} = this.#options;
		if (allAtOnceShare !== undefined && random.uniform() < allAtOnceShare) {
			this.#note('term all');
			await Promise.all([...this.inUse].map(async index => this.#stop(index, random)));
			return;
		}

		const first = this.#chooseGateway(random);
		const others = random.uniform() < shares.twoAtOnce ? [(first + 1) % this.#options.course.gateways] : [];
		await Promise.all([first, ...others].map(async index => this.#stop(index, random)));
	}

	#chooseGateway(random: Random): number {
		const candidates = [...this.inUse];
		return random.uniform() < shares.busiest ? candidates.toSorted((left, right) => this.#options.openAt(right) - this.#options.openAt(left))[0]! : random.pick(candidates);
	}

	/** Stops a gateway, with further signals; one that another series stops gets the signal only. */
	async #stop(index: number, random: Random): Promise<void> {
		const gateway = this.#options.world.gateways[index]!;
		const draws = {signalAfter: between(random, pauses.signal), later: random.uniform() < shares.otherSignal ? random.pick(laterSignals) : undefined, down: between(random, pauses.down), isRemoved: random.uniform() < shares.removed, isEarly: random.uniform() < shares.stoppedEarly, early: between(random, pauses.early)};
		const text = `term ${index}${draws.later === undefined ? '' : ` then ${draws.later} ${Math.round(draws.signalAfter)}`}`;
		if (this.#stopping.has(index)) {
			this.#note(text);
			gateway.signal('SIGTERM');
			return;
		}

		const troubles = this.#troubles.next(index);
		this.#note(`${text}${textOfTroubles(troubles)}`);
		this.#stopping.add(index);
		const wasReady = await gateway.isReady();
		await this.#store.whileAway(troubles.storeAway, async () => {
			this.#options.beforeStop?.(index, troubles.firstTurn?.beforeMilliseconds ?? 0);
			const {isOver} = await enterTurn(gateway, troubles.firstTurn);
			const besides = Promise.all([isOver, this.#signalLater(index, draws.signalAfter, {signal: draws.later, turn: troubles.laterTurn}), this.#watchReadiness(index, wasReady)]);
			await gateway.stop();
			await besides;
		});
		await sleep(draws.down);
		if (draws.isRemoved && await this.#replaceInstance(index)) {
			return;
		}

		await gateway.start();
		if (draws.isEarly) {
			this.#note(`term ${index} ${Math.round(draws.early)} after its start`);
			await sleep(draws.early);
			await gateway.stop();
			await gateway.start();
		}

		this.#stopping.delete(index);
		await sleep(between(random, pauses.readyAgain));
	}

	async #signalLater(index: number, milliseconds: number, {signal, turn}: {readonly signal: NodeJS.Signals | undefined; readonly turn: LongTurn | undefined}): Promise<void> {
		const gateway = this.#options.world.gateways[index]!;
		const {pid} = gateway;
		await sleep(milliseconds);
		if (signal !== undefined && gateway.pid === pid) {
			const {isOver} = await enterTurn(gateway, turn);
			gateway.signal(signal);
			await isOver;
		}
	}

	/** Asks each second whether a gateway that stops is ready: "two questions in a row without a 200 take a machine out". */
	async #watchReadiness(index: number, wasReady: boolean): Promise<void> {
		const gateway = this.#options.world.gateways[index]!;
		const life = gateway.lives.at(-1)!;
		let missed = 0;
		for (let asked = 0; asked < 4 && missed < 2 && life.end === undefined; asked++) {
			await sleep(readyPauseMilliseconds);
			missed = await gateway.isReady() ? 0 : missed + 1;
		}

		if (wasReady) {
			this.#readyLater.push(missed < 2 && life.end === undefined);
		}
	}

	/** Adds a gateway at a new address in the place of one that stays away; returns false if none is left to add. */
	async #replaceInstance(index: number): Promise<boolean> {
		const {world, course: {gateways}} = this.#options;
		if (world.gateways.length >= gateways + spareGateways) {
			return false;
		}

		this.#note(`removed ${index}`);
		this.inUse.delete(index);
		await this.addInstance();
		return true;
	}

	async #publish(random: Random): Promise<void> {
		if (random.uniform() >= shares.storm) {
			this.#options.versions.publishNext();
			return;
		}

		this.#note('storm');
		for (let count = 0; count < stormVersions; count++) {
			this.#options.versions.publishNext();
			await sleep(between(random, pauses.storm));
		}
	}

	/** Changes a settings file with and without a signal, or half of it at first, or signals without a change. */
	async #reload(random: Random): Promise<void> {
		const index = random.pick([...this.inUse]);
		const kind = random.pick(['changed', 'silent', 'half', 'same'] as const);
		const half = between(random, pauses.half);
		const settings = {retrySlack: 10 + random.below(50)};
		const gateway = this.#options.world.gateways[index]!;
		// A process that has not come to its first module yet is ended by the signal (KNOWN-RED.txt, issue 35), and then no port is open.
		if (!await gateway.isReady()) {
			return;
		}

		this.#note(`reload ${index} ${kind}`);
		switch (kind) {
			case 'same': {
				gateway.signal('SIGHUP');
				return;
			}

			case 'silent': {
				gateway.changeSettings(settings);
				return;
			}

			case 'changed': {
				gateway.changeSettings(settings);
				gateway.signal('SIGHUP');
				return;
			}

			case 'half': {
				const {pid} = gateway;
				gateway.changeSettings(settings, {isHalfWritten: true});
				gateway.signal('SIGHUP');
				await sleep(half);
				gateway.changeSettings(settings);
				if (gateway.pid === pid && await gateway.isReady()) {
					gateway.signal('SIGHUP');
				}
			}
		}
	}

	#note(text: string): void {
		const at = this.#options.milliseconds - (this.#until - performance.now());
		this.#options.world.injected.push(`${text} at ${Math.round(at)}`);
	}
}
