/** Callers of the planned course: each keeps its connection until the gateway closes it, and draws from a generator of its own. */
import {type WorkerAnswer, type WorkerRequest} from '../../fakes/platform-worker.js';
import {createRandom, type Random} from '../harness/random.js';
import {eventCount} from './caller.js';
import {type Range} from './course-world.js';
import {PlannedConnection, type PlannedRecord, type PlannedRequest} from './planned-connection.js';
import {type DrawRequest, drawPlanned} from './planned-requests.js';
import {leastIdleMilliseconds} from './planned-versions.js';
import {between, sleep} from './traffic.js';

export type PlannedTrafficOptions = {
	readonly seed: number;
	readonly callers: number;
	readonly milliseconds: number;
	/** Gateways to which connections are opened now. */
	readonly inUse: () => readonly number[];
	readonly addressOf: (gateway: number) => {readonly host: string; readonly port: number};
	/** How a request and its answer are drawn; without it, as those of the course planned. */
	readonly draw?: DrawRequest;
	/** Whether callers keep a connection until the gateway has closed it, though they have been told that it closes. */
	readonly keepsUntilClosed?: boolean;
	/** How often, of 1, requests are sent behind each other. */
	readonly behindShare?: number;
};

/** A connection that is opened now, and when its first requests are sent, drawn in a way of their own. */
export type LateCall = {readonly gateway: number; readonly milliseconds: number; readonly draw: DrawRequest};

/** After its deadline a caller waits this long before it leaves. */
const leaveMilliseconds = 2000;
const connectPauseMilliseconds = 100;
/** Pauses of a caller: between its groups of requests, and before the first one of a connection. */
const ranges = {pause: {low: 0, high: 700}, idle: {low: 700, high: leastIdleMilliseconds * 0.8}, early: {low: 300, high: 2000}} as const satisfies Record<string, Range>;
/** How often, of 1. */
const shares = {early: 0.2, behind: 0.3, idle: 0.2} as const;

export class PlannedTraffic {
	static create(options: PlannedTrafficOptions): PlannedTraffic {
		return new PlannedTraffic(options);
	}

	readonly records: PlannedRecord[] = [];
	readonly strays: string[] = [];
	readonly brokenOff = new Set<string>();
	readonly #answers = new Map<string, WorkerAnswer>();
	readonly #open = new Map<number, number>();
	readonly #kept: PlannedConnection[] = [];
	readonly #late: Array<Promise<void>> = [];
	readonly #options: PlannedTrafficOptions;
	#requests = 0;

	private constructor(options: PlannedTrafficOptions) {
		this.#options = options;
	}

	/** Requests that callers await at a gateway. */
	openAt(gateway: number): number {
		return this.#open.get(gateway) ?? 0;
	}

	answer({id}: WorkerRequest): WorkerAnswer | undefined {
		return this.#answers.get(id);
	}

	/** The body with which a worker answers a request that is no stream. */
	bodyOf(id: string): string {
		const answer = this.#answers.get(id);
		return answer?.type === 'whole' ? answer.body : `answer to ${id}`;
	}

	/** How many events the stream of a request has. */
	eventsOf(id: string): number {
		const answer = this.#answers.get(id);
		return answer?.type === 'events' ? answer.count : eventCount;
	}

	/** Opens a connection now and sends its first requests later, unless it is closed by then. */
	callLater(random: Random, caller: number, call: LateCall): void {
		this.#late.push(this.#callLater(random, caller, call));
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
		await Promise.all(this.#late);
		for (const connection of this.#kept) {
			this.#leave(connection);
		}
	}

	async #callLater(random: Random, caller: number, {gateway, milliseconds, draw}: LateCall): Promise<void> {
		const connection = await PlannedConnection.open(this.#options.addressOf(gateway), gateway);
		if (connection === undefined) {
			return;
		}

		await sleep(milliseconds);
		if (!connection.isClosed) {
			await this.#sendGroup(random, caller, connection, draw);
		}

		this.#leave(connection);
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

		if (this.#options.keepsUntilClosed && !connection.isClosed) {
			this.#kept.push(connection);
			return;
		}

		this.#leave(connection);
	}

	#leave(connection: PlannedConnection): void {
		this.strays.push(...connection.strays);
		connection.leave();
	}

	/** Sends one request, or several behind each other. */
	async #sendGroup(random: Random, caller: number, connection: PlannedConnection, draw = this.#options.draw ?? drawPlanned): Promise<void> {
		const count = random.uniform() < (this.#options.behindShare ?? shares.behind) ? 2 + random.below(3) : 1;
		const requests = Array.from({length: count}, () => this.#draw(random, caller, draw));
		const {gateway} = connection;
		this.#open.set(gateway, this.openAt(gateway) + count);
		const leaving = setTimeout(() => {
			connection.leave();
		}, Math.max(...requests.map(({deadlineMilliseconds}) => deadlineMilliseconds)) + leaveMilliseconds);
		this.records.push(...await Promise.all(requests.map(async request => connection.send(request))));
		clearTimeout(leaving);
		this.#open.set(gateway, this.openAt(gateway) - count);
	}

	#draw(random: Random, caller: number, draw: DrawRequest): PlannedRequest {
		this.#requests += 1;
		const id = `planned-${caller}-${this.#requests}`;
		const {request, answer, breaksOff} = draw(random, id, this.#options.seed);
		this.#answers.set(id, answer);
		if (breaksOff) {
			this.brokenOff.add(id);
		}

		return request;
	}
}
