import {type FakeEngine, FakePath} from '../../fakes/index.js';
import {type CallResult} from '../harness/caller.js';
import {LocalFleet, type LocalEndpoint, type LocalEntry} from '../harness/local-fleet.js';
import {type Random} from '../harness/random.js';
import {OffsetWatch, type GroundTruth, type Violation} from './checker.js';

export const soakModel = 'soak-7b';
/** A prompt that contains this text crashes every engine that starts it. */
export const poisonText = 'POISON';

const zones = ['zone-a', 'zone-b', 'zone-c'];
const entryCount = 3;
const endpointCount = 4;
const engineRestartMilliseconds = 400;
const watchMilliseconds = 50;

/** The processes of one run, the network paths between them, and what the checker needs about them. */
export class World implements AsyncDisposable {
	static async create(random: Random): Promise<World> {
		const paths = new Map<string, FakePath>();
		const fleet = await LocalFleet.create({
			entries: entryCount,
			endpoints: endpointCount,
			zones,
			models: [soakModel],
			random: () => random.uniform(),
			logLevel: 'fatal',
			costs: {stepMilliseconds: 2, stepMillisecondsPerRequest: 0.1},
			async route(endpoint, address) {
				await paths.get(endpoint)?.[Symbol.asyncDispose]();
				const path = await FakePath.create(address);
				paths.set(endpoint, path);
				return path.address;
			},
		});
		const world = new World(fleet, paths);
		for (const {engine} of fleet.endpoints) {
			world.addEngine(engine);
		}

		return world;
	}

	readonly fleet: LocalFleet;
	readonly paths: Map<string, FakePath>;
	/** All engines of the run, stopped ones included, since their runs still count. */
	readonly engines = new Set<FakeEngine>();
	readonly crashedEntries = new Map<string, number>();
	readonly violations: Violation[] = [];
	readonly offsets = OffsetWatch.create();
	/** When the log's last fault ended, infinite during one. The time of a change counts only if the log works throughout. */
	logFaultyUntil = 0;
	nextEndpoint = endpointCount;
	/** Processes that a fault is taking down or restarting; other such faults skip them. */
	readonly inTransition = new Set<Record<string, unknown>>();
	slowestChangeMilliseconds = 0;
	readonly #watch: NodeJS.Timeout;

	private constructor(fleet: LocalFleet, paths: Map<string, FakePath>) {
		this.fleet = fleet;
		this.paths = paths;
		this.#watch = setInterval(() => {
			this.#observeOffsets();
		}, watchMilliseconds);
	}

	get groundTruth(): GroundTruth {
		const sum = (count: (engine: FakeEngine) => number): number => [...this.engines].reduce((total, engine) => total + count(engine), 0);
		return {
			runsOfPrompt: prompt => sum(engine => engine.runsByPrompt.get(`user: ${prompt}`) ?? 0),
			runsOfKey: key => sum(engine => engine.runsByKey.get(key) ?? 0),
			crashesByPrompt: this.#crashesByPrompt(),
			crashedEntries: this.crashedEntries,
		};
	}

	get tokensProduced(): number {
		return [...this.engines].reduce((total, engine) => total + engine.tokensProduced, 0);
	}

	get resumeMismatches(): number {
		return [...this.engines].reduce((total, engine) => total + engine.resumeMismatches, 0);
	}

	addEngine(engine: FakeEngine): void {
		this.engines.add(engine);
		engine.faults.poison = poisonText;
		engine.faults.restartMilliseconds = engineRestartMilliseconds;
	}

	entry(target: number): LocalEntry {
		return this.fleet.entries[target % this.fleet.entries.length]!;
	}

	/** Chooses an entry as the platform's load balancer does: a ready one if there is any. */
	pickEntry(target: number): LocalEntry {
		const ready = this.fleet.entries.filter(({entry}) => entry.isReady);
		return ready.length === 0 ? this.entry(target) : ready[target % ready.length]!;
	}

	endpoint(target: number): LocalEndpoint {
		return this.fleet.endpoints[target % this.fleet.endpoints.length]!;
	}

	path(target: number): FakePath {
		return this.paths.get(this.endpoint(target).name)!;
	}

	/** Ends every fault and restarts the engines. */
	async heal(): Promise<void> {
		for (const path of this.paths.values()) {
			path.heal();
		}

		const {log, members} = this.fleet;
		Object.assign(log.faults, {mode: 'up', delayMilliseconds: 0, appendsPerSecond: 0, loseAnswers: 0, duplicateAppends: 0});
		Object.assign(members.faults, {mode: 'up', delayMilliseconds: 0, lagMilliseconds: 0, hidden: [], phantoms: []});
		for (const {engine} of this.fleet.endpoints) {
			Object.assign(engine.faults, {mode: 'up', frozen: false, slowFactor: 1, crashAfterTokens: 0, refuseRequests: 0});
			await engine.start();
		}
	}

	async [Symbol.asyncDispose](): Promise<void> {
		clearInterval(this.#watch);
		await this.fleet[Symbol.asyncDispose]();
		for (const path of this.paths.values()) {
			await path[Symbol.asyncDispose]();
		}
	}

	#crashesByPrompt(): Map<string, number> {
		const total = new Map<string, number>();
		for (const engine of this.engines) {
			for (const [prompt, crashes] of engine.crashesByPrompt) {
				total.set(prompt, (total.get(prompt) ?? 0) + crashes);
			}
		}

		return total;
	}

	#observeOffsets(): void {
		for (const {instance, follower} of this.fleet.entries) {
			this.offsets.observe(instance, follower.current().offset, performance.now());
		}
	}
}

/** The outcome of one call, for the log of a run. */
export type CallOutcome = Pick<CallResult, 'outcome' | 'verdict' | 'code'>;
