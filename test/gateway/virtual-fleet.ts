import {createRandom, type Random} from '../../bench/harness/random.js';
import {RoutingState, type Decision, demandOf, Dispatcher, placementRequestOf} from '../../src/gateway/index.js';
import {type InstanceId, type WorkspaceName, type ZoneName} from '../../src/model/index.js';
import {defaultTuning, type LoadEvent, type PromptPart, propagationMilliseconds} from '../../src/policy/dispatch/index.js';
import {type EndpointRecord, type Route, RouteKind, type RoutingTable, type RoutingTableInput, type Workspace} from '../../src/routing/index.js';
import {requestCodec} from '../../platform/request-codec.js';
import {type Processor, type VirtualTime} from './virtual-time.js';

/** One kind of stream: its route, and what it asks of an engine. */
export type Kind = {
	readonly name: string;
	readonly urgency: number;
	readonly targetMilliseconds: number;
	readonly pauseMilliseconds: number;
	readonly timeoutMilliseconds: number;
	/** Tokens of the beginning that many requests share, how many such beginnings there are, and tokens of its own. */
	readonly sharedTokens: number;
	readonly beginnings: number;
	readonly ownTokens: number;
	readonly answerMilliseconds: number;
	/** Events of the answer; they cost the instance that passes them on. */
	readonly events?: number;
};

export type FleetOptions = {
	readonly time: VirtualTime;
	readonly kinds: readonly Kind[];
	readonly instances: number;
	readonly engines: number;
	readonly slots: number;
	readonly tokensPerMillisecond: number;
	/** Urgencies of the workspaces; each request is of one of them, in turn. */
	readonly workspaces: ReadonlyArray<number | undefined>;
	readonly seed: number;
	/** What an instance's processor spends, in milliseconds; without it nothing takes any time there. */
	readonly costs?: Costs;
};

/** Milliseconds of an instance's processor. */
export type Costs = {
	/** From the first byte of a request to its whole body. */
	readonly arrival: number;
	/** Sending it to an endpoint, and its end. */
	readonly sending: number;
	/** Passing one event on. */
	readonly event: number;
	/** A look at one endpoint for one request. */
	readonly look: number;
	/** One word of load from another instance. */
	readonly load: number;
};

const noCosts: Costs = {arrival: 0, sending: 0, event: 0, look: 0, load: 0};

/** What became of one request. */
export type Asked = {
	readonly kind: string;
	readonly instance: number;
	readonly at: number;
	readonly workspaceUrgency: number | undefined;
	decision: Decision | undefined;
	placedAt: number | undefined;
	firstEventAt: number | undefined;
};

const zone = 'z' as ZoneName;
const quiet = {debug: () => undefined, info: () => undefined, warn: () => undefined, error: () => undefined};
const service = 'models';
const memoryTokens = 600_000;
const leastMilliseconds = 15;
/** What a prompt costs an engine beside its reading. */
const overheadMilliseconds = 1;

type Run = {readonly prefillTokens: number; readonly urgency: number; readonly answerMilliseconds: number; readonly onFirstEvent: () => void; readonly onEnd: () => void};

/** Admits so many at once, the most urgent first, and reads the prompts of those admitted one after the other. */
class Engine {
	readonly options: FleetOptions;
	readonly #waiting: Run[] = [];
	readonly #unread: Run[] = [];
	#running = 0;
	#isReading = false;

	constructor(options: FleetOptions) {
		this.options = options;
	}

	take(run: Run): void {
		this.#waiting.push(run);
		this.#waiting.sort((left, right) => left.urgency - right.urgency);
		this.#admit();
	}

	#admit(): void {
		while (this.#running < this.options.slots && this.#waiting.length > 0) {
			this.#running += 1;
			this.#unread.push(this.#waiting.shift()!);
		}

		this.#read();
	}

	#read(): void {
		const run = this.#isReading ? undefined : this.#unread.shift();
		if (run === undefined) {
			return;
		}

		const {time, tokensPerMillisecond} = this.options;
		this.#isReading = true;
		time.after((run.prefillTokens / tokensPerMillisecond) + overheadMilliseconds, () => {
			this.#isReading = false;
			run.onFirstEvent();
			time.after(run.answerMilliseconds, () => {
				this.#running -= 1;
				run.onEnd();
				this.#admit();
			});
			this.#read();
		});
	}
}

/** Several dispatchers before the same engines, in virtual time; each hears of the others' load as late as real ones do. */
export class VirtualFleet implements Disposable {
	static create(options: FleetOptions): VirtualFleet {
		return new VirtualFleet(options);
	}

	readonly asked: Asked[] = [];
	readonly dispatchers: readonly Dispatcher[];
	readonly #options: FleetOptions;
	readonly #random: Random;
	readonly #beliefs: readonly RoutingState[];
	readonly #engines = new Map<string, Engine>();
	readonly #processors: readonly Processor[];
	readonly #costs: Costs;

	private constructor(options: FleetOptions) {
		this.#options = options;
		this.#random = createRandom(options.seed);
		this.#costs = options.costs ?? noCosts;
		this.#processors = Array.from({length: options.instances}, () => ({freeAt: 0}));
		const records = Array.from({length: options.engines}, (_, number): EndpointRecord => ({
			id: `engine-${number}`, service, address: '127.0.0.1:1', zone, isLeaving: false, slots: options.slots, revision: 1,
		}));
		for (const {id} of records) {
			this.#engines.set(id, new Engine(options));
		}

		this.#beliefs = Array.from({length: options.instances}, () => RoutingState.create(quiet));
		this.dispatchers = this.#beliefs.map((beliefs, number) => {
			beliefs.applyEndpointChanges(records.map((record, offset) => ({type: 'registered', era: 0, offset, record})), 'store', performance.now());
			const dispatcher = Dispatcher.create({
				incarnation: `i${number}` as InstanceId, zone, routingState: beliefs, logger: quiet, allowance: {ratio: 0.1, slack: 10, windowMilliseconds: 10_000},
				random: () => this.#random.uniform(), tuning: defaultTuning,
				onLoad: event => {
					this.#tell(number, event);
				},
			});
			dispatcher.view = {links: options.instances - 1, instances: options.instances};
			this.#chargeLooks(dispatcher);
			return dispatcher;
		});
		this.publish(1, options.workspaces);
	}

	[Symbol.dispose](): void {
		for (const dispatcher of this.dispatchers) {
			dispatcher[Symbol.dispose]();
		}
	}

	/** A new routing table with workspaces of these urgencies, known to all at once. */
	publish(version: number, workspaces: ReadonlyArray<number | undefined>): void {
		const table: RoutingTableInput = {
			version,
			routes: this.#options.kinds.map(kind => toRoute(kind)),
			services: [{name: service, largestConnections: 100, engine: {slots: this.#options.slots, memoryTokens, tokensPerEvent: 4}}],
			workspaces: workspaces.map((urgency, number) => ({name: `w${number}` as WorkspaceName, keys: [`k${number}`], urgency})),
			limits: {headerBytes: 1, bodyBytes: 1, headerMilliseconds: 1, idleMilliseconds: 1},
		};
		for (const beliefs of this.#beliefs) {
			beliefs.applyTable(table, 'store');
		}
	}

	/** Requests of a kind arrive at an instance for a while, at random but so many a second on average. */
	arrive(kindName: string, instance: number, {perSecond, forMilliseconds}: {perSecond: number; forMilliseconds: number}): void {
		this.#atRandom({perSecond, forMilliseconds}, () => {
			this.ask(kindName, instance);
		});
	}

	/** Requests of other services: all they do here is to take processor time. */
	burden(instance: number, {perSecond, forMilliseconds}: {perSecond: number; forMilliseconds: number}): void {
		this.#atRandom({perSecond, forMilliseconds}, () => {
			this.#onProcessor(instance, this.#costs.arrival + this.#costs.sending, () => undefined);
		});
	}

	ask(kindName: string, instance: number): Asked {
		const {time, kinds} = this.#options;
		const beliefs = this.#beliefs[instance]!;
		const dispatcher = this.dispatchers[instance]!;
		const table = beliefs.table!;
		const kind = kinds.find(({name}) => name === kindName)!;
		const route = table.routes.find(({name}) => name === kindName)!;
		const workspace = this.#workspace(beliefs, this.asked.length);
		const asked: Asked = {kind: kindName, instance, at: time.now, workspaceUrgency: workspace?.urgency, decision: undefined, placedAt: undefined, firstEventAt: undefined};
		const number = this.asked.push(asked);
		this.#onProcessor(instance, this.#costs.arrival, () => {
			this.#submit(asked, {number, kind, dispatcher, table, route, workspace});
		});
		return asked;
	}

	/** Those of a kind that arrived in a span and were refused, and all of them. */
	count(kind: string, {from, to, instance}: {from: number; to: number; instance?: number}): {refused: number; placed: number; asked: number} {
		const own = this.asked.filter(one => one.kind === kind && one.at >= from && one.at < to && (instance === undefined || one.instance === instance));
		return {
			refused: own.filter(({decision}) => decision?.type === 'refused').length,
			placed: own.filter(({decision}) => decision?.type === 'placed').length,
			asked: own.length,
		};
	}

	#atRandom({perSecond, forMilliseconds}: {perSecond: number; forMilliseconds: number}, act: () => void): void {
		for (let at = this.#random.exponential(1000 / perSecond); at < forMilliseconds; at += this.#random.exponential(1000 / perSecond)) {
			this.#options.time.after(at, act);
		}
	}

	#submit(asked: Asked, {number, kind, dispatcher, table, route, workspace}: {number: number; kind: Kind; dispatcher: Dispatcher; table: RoutingTable; route: Route; workspace: Workspace | undefined}): void {
		const {time} = this.#options;
		const facts = {id: String(number), deadlineMilliseconds: route.timeoutMilliseconds, key: undefined, parts: this.#parts(kind, number), outputTokens: 20};
		const demand = demandOf({facts, table, route, service, workspace, arrivedAt: asked.at});
		dispatcher.submit({
			...placementRequestOf({facts, table, route, service, workspace, arrivedAt: asked.at}, demand),
			id: facts.id,
			lastStartAt: asked.at + Math.min(route.timeoutMilliseconds - leastMilliseconds, requestCodec.patienceMilliseconds(route)),
			excluded: new Set(),
			isIdempotent: true,
			onDecision: decision => {
				asked.decision = decision;
				if (decision.type === 'placed') {
					asked.placedAt = time.now;
					this.#send(asked, kind, {dispatcher, decision, urgency: route.urgency});
				}
			},
		});
	}

	#send(asked: Asked, {events = 1, answerMilliseconds}: Kind, {dispatcher, decision, urgency}: {dispatcher: Dispatcher; decision: Extract<Decision, {type: 'placed'}>; urgency: number}): void {
		const {time} = this.#options;
		const {runId, prefillTokens, record} = decision;
		time.spend(this.#costs.sending);
		const run: Run = {
			prefillTokens, urgency, answerMilliseconds,
			onFirstEvent: () => {
				asked.firstEventAt = time.now;
				this.#onProcessor(asked.instance, this.#costs.event, () => {
					dispatcher.recordFirstEvent(runId);
				});
				this.#passOn(asked.instance, events - 1, answerMilliseconds / events);
			},
			onEnd: () => {
				this.#onProcessor(asked.instance, 0, () => {
					dispatcher.recordEnd(runId);
				});
			},
		};
		if (this.#options.costs === undefined) {
			this.#engines.get(record.id)!.take(run);
		} else {
			time.outside(() => {
				this.#engines.get(record.id)!.take(run);
			});
		}
	}

	#passOn(instance: number, events: number, gapMilliseconds: number): void {
		if (events <= 0 || this.#costs.event === 0) {
			return;
		}

		this.#options.time.after(gapMilliseconds, () => {
			this.#onProcessor(instance, this.#costs.event, () => undefined);
			this.#passOn(instance, events - 1, gapMilliseconds);
		});
	}

	/** Acts on an instance's processor, after it has spent so much there. */
	#onProcessor(instance: number, milliseconds: number, act: () => void): void {
		const {time} = this.#options;
		if (this.#options.costs === undefined) {
			act();
			return;
		}

		time.on(this.#processors[instance]!, () => {
			time.spend(milliseconds);
			act();
		});
	}

	#chargeLooks({loadTracker: book}: Dispatcher): void {
		const {time} = this.#options;
		const load = book.load.bind(book);
		book.load = (endpoint, now) => {
			time.spend(this.#costs.look);
			return load(endpoint, now);
		};
	}

	#workspace(beliefs: RoutingState, number: number): Workspace | undefined {
		const workspaces = beliefs.tableInput?.workspaces ?? [];
		return workspaces[number % Math.max(1, workspaces.length)];
	}

	#parts({sharedTokens, beginnings, ownTokens, name}: Kind, number: number): PromptPart[] {
		const base = this.#options.kinds.findIndex(kind => kind.name === name) * 1000;
		return [{id: base + this.#random.below(beginnings), tokens: sharedTokens}, {id: 1_000_000 + number, tokens: ownTokens}];
	}

	#tell(sender: number, event: LoadEvent): void {
		this.#options.time.after(propagationMilliseconds(this.#options.instances - 1), () => {
			for (const [number, dispatcher] of this.dispatchers.entries()) {
				if (number !== sender) {
					this.#onProcessor(number, this.#costs.load, () => {
						dispatcher.applyLoad(event);
					});
				}
			}
		});
	}
}

function toRoute({name, urgency, targetMilliseconds, pauseMilliseconds, timeoutMilliseconds}: Kind): Route {
	return {
		name, host: 'h', pathPrefix: `/${name}/`, kind: RouteKind.stream, resumable: false, shares: [{service, weight: 1}], timeoutMilliseconds, targetMilliseconds,
		urgency, largestAttempts: 1, isPublic: false, longestPauseMilliseconds: pauseMilliseconds,
	};
}
