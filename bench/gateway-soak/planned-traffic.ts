/** Callers of the planned course: each keeps its connection until the gateway closes it, and draws from a generator of its own. */
import {type WorkerAnswer, type WorkerRequest} from '../../fakes/platform-worker.js';
import {createRandom, type Random} from '../harness/random.js';
import {eventCount, kinds} from './caller.js';
import {type Range} from './course-world.js';
import {PlannedConnection, type PlannedRecord, type PlannedRequest} from './planned-connection.js';
import {leastIdleMilliseconds, lastingRoutes, passingKeys, passingRoutes} from './planned-versions.js';
import {validKey} from './soak-platform.js';
import {sleep} from './traffic.js';

export type PlannedTrafficOptions = {
	readonly seed: number;
	readonly callers: number;
	readonly milliseconds: number;
	/** Gateways to which connections are opened now. */
	readonly inUse: () => readonly number[];
	readonly addressOf: (gateway: number) => {readonly host: string; readonly port: number};
};

/** What a worker does with a request. */
type PlannedAnswer = {readonly workMilliseconds: number; readonly bodyLength: number; readonly breaksOff: boolean};

const deadlines = [4000, 6000, 9000] as const;
/** After its deadline a caller waits this long before it leaves. */
const leaveMilliseconds = 2000;
const connectPauseMilliseconds = 100;
const bodyLength = {low: 8, high: 15_000} as const;
const largeLength = {low: 100_000, high: 400_000} as const;
const ranges = {
	pause: {low: 0, high: 700}, idle: {low: 700, high: leastIdleMilliseconds * 0.8}, early: {low: 300, high: 2000}, head: {low: 50, high: 1500}, body: {low: 200, high: 3000},
	read: {low: 300, high: 1500}, quick: {low: 1, high: 30}, medium: {low: 200, high: 1500}, long: {low: 1500, high: 4500},
} as const satisfies Record<string, Range>;
/** How often, of 1. */
const shares = {early: 0.2, behind: 0.3, headParts: 0.12, bodyLate: 0.15, slowReader: 0.1, large: 0.1, medium: 0.25, long: 0.1, otherKey: 0.1, otherRoute: 0.2, idle: 0.2, brokenOff: 0.04} as const;

export class PlannedTraffic {
	static create(options: PlannedTrafficOptions): PlannedTraffic {
		return new PlannedTraffic(options);
	}

	readonly records: PlannedRecord[] = [];
	readonly strays: string[] = [];
	readonly brokenOff = new Set<string>();
	readonly #answers = new Map<string, PlannedAnswer>();
	readonly #open = new Map<number, number>();
	readonly #options: PlannedTrafficOptions;
	#requests = 0;

	private constructor(options: PlannedTrafficOptions) {
		this.#options = options;
	}

	/** Requests that callers await at a gateway. */
	openAt(gateway: number): number {
		return this.#open.get(gateway) ?? 0;
	}

	answer({id, path}: WorkerRequest): WorkerAnswer | undefined {
		const answer = this.#answers.get(id);
		if (answer === undefined) {
			return undefined;
		}

		const {workMilliseconds, breaksOff} = answer;
		if (path.startsWith('/chart') || path.startsWith('/question')) {
			return {type: 'events', count: eventCount, gapMilliseconds: workMilliseconds / eventCount, ...(breaksOff && {cutAfter: 3})};
		}

		return breaksOff ? {type: 'reset'} : {type: 'whole', body: this.bodyOf(id), afterMilliseconds: workMilliseconds};
	}

	/** The body with which a worker answers a request that is no stream. */
	bodyOf(id: string): string {
		return `answer to ${id}`.padEnd(this.#answers.get(id)?.bodyLength ?? 0, '.');
	}

	/** Sends for a time; resolves once all requests have their answers, or their connections have ended. */
	async run(): Promise<void> {
		const until = performance.now() + this.#options.milliseconds;
		await Promise.all(Array.from({length: this.#options.callers}, async (_, caller) => {
			const random = createRandom((this.#options.seed * 100_000) + caller);
			while (performance.now() < until) {
				await this.#useConnection(random, caller, until);
			}
		}));
	}

	/** Opens a connection and uses it until it is closed. */
	async #useConnection(random: Random, caller: number, until: number): Promise<void> {
		const gateway = random.pick(this.#options.inUse());
		const connection = await PlannedConnection.open(this.#options.addressOf(gateway), gateway);
		if (connection === undefined) {
			await sleep(connectPauseMilliseconds);
			return;
		}

		if (random.uniform() < shares.early) {
			await sleep(between(random, ranges.early));
		}

		while (!connection.isClosed && !connection.isClosing && performance.now() < until) {
			await this.#sendGroup(random, caller, connection);
			await sleep(between(random, random.uniform() < shares.idle ? ranges.idle : ranges.pause));
		}

		this.strays.push(...connection.strays);
		connection.leave();
	}

	/** Sends one request, or several behind each other. */
	async #sendGroup(random: Random, caller: number, connection: PlannedConnection): Promise<void> {
		const count = random.uniform() < shares.behind ? 2 + random.below(3) : 1;
		const requests = Array.from({length: count}, () => this.#draw(random, caller));
		const {gateway} = connection;
		this.#open.set(gateway, this.openAt(gateway) + count);
		const leaving = setTimeout(() => {
			connection.leave();
		}, Math.max(...requests.map(({deadlineMilliseconds}) => deadlineMilliseconds)) + leaveMilliseconds);
		this.records.push(...await Promise.all(requests.map(async request => connection.send(request))));
		clearTimeout(leaving);
		this.#open.set(gateway, this.openAt(gateway) - count);
	}

	#draw(random: Random, caller: number): PlannedRequest {
		this.#requests += 1;
		const id = `planned-${caller}-${this.#requests}`;
		const isOther = random.uniform() < shares.otherRoute;
		const route = isOther ? random.pick(passingRoutes) : random.pick(lastingRoutes);
		const kind = kinds.find(one => one === route) ?? 'lookup';
		const isParted = random.uniform() < shares.headParts;
		const isBodyLate = random.uniform() < shares.bodyLate && kind !== 'lookup';
		const work = random.uniform();
		const isLarge = random.uniform() < shares.large && (kind === 'lookup' || kind === 'release');
		const breaksOff = this.#options.seed % 2 === 0 && random.uniform() < shares.brokenOff;
		const range = work < shares.long ? ranges.long : (work < shares.long + shares.medium ? ranges.medium : ranges.quick);
		this.#answers.set(id, {workMilliseconds: between(random, range), bodyLength: isLarge ? Math.round(between(random, largeLength)) : 0, breaksOff});
		if (breaksOff) {
			this.brokenOff.add(id);
		}

		return {
			id, kind, route, key: random.uniform() < shares.otherKey ? random.pick(passingKeys) : validKey, deadlineMilliseconds: random.pick(deadlines),
			body: 'artwork!'.padEnd(Math.round(between(random, bodyLength)), '.'),
			headPauseMilliseconds: isParted ? between(random, ranges.head) : 0, bodyPauseMilliseconds: isBodyLate ? between(random, ranges.body) : 0,
			readPauseMilliseconds: random.uniform() < shares.slowReader ? between(random, ranges.read) : 0,
		};
	}
}

function between(random: Random, {low, high}: Range): number {
	return low + (random.uniform() * (high - low));
}
