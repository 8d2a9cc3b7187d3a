import {createRandom, type Random} from '../../bench/harness/random.js';
import {type RateLimitReport, RoutingState, type Decision, demandOf, Dispatcher, IntakeGate, type LatenessSettings, LoopLateness, placementRequestOf} from '../../src/gateway/index.js';
import {type InstanceId, type WorkspaceName, type ZoneName} from '../../src/model/index.js';
import {defaultTuning, type LoadEvent, type PromptPart, propagationMilliseconds, type Tuning} from '../../src/policy/dispatch/index.js';
import {type IntakeRequest} from '../../src/policy/lateness/index.js';
import {type EndpointRecord, type Route, RouteKind, type RoutingTable, type RoutingTableInput, type Workspace} from '../../src/routing/index.js';
import {requestCodec} from '../../platform/request-codec.js';
import {Engine, type EngineOptions, type EngineRun} from './virtual-engine.js';
import {MemoryEngine, type MemoryRun, type Waste} from './memory-engine.js';
import {type Processor, type VirtualTime} from './virtual-time.js';

/** A kind of streaming request: settings of its route, and its cost at an engine. */
export type RequestKind = {
	readonly name: string;
	readonly urgency: number;
	readonly targetMilliseconds: number;
	readonly maxPauseMilliseconds: number;
	readonly timeoutMilliseconds: number;
	/** Tokens of the prefix that many requests share, number of such prefixes, and tokens of the request's own part. */
	readonly sharedTokens: number;
	readonly sharedPrefixes: number;
	readonly ownTokens: number;
	readonly responseMilliseconds: number;
	/** Tokens of a response; 20 if absent. */
	readonly outputTokens?: number;
	/** Events of the response; forwarding them costs the instance processor time. */
	readonly events?: number;
};

export type FleetOptions = EngineOptions & {
	readonly kinds: readonly RequestKind[];
	readonly instances: number;
	readonly engines: number;
	/** Speed of an engine at a time, as a multiple of the others'; if absent, all are alike. */
	readonly speedOf?: (engine: number, now: number) => number;
	/** Weights of placement that differ from the defaults. */
	readonly tuning?: Partial<Tuning>;
	/** Instances, from the first on, that have processor time to learn the engines' speeds; all, if absent. */
	readonly learners?: number;
	/** Time until another instance has a report; if absent, that of real instances. */
	readonly reportMilliseconds?: number;
	/** Urgencies of the workspaces. Requests are assigned to workspaces in turn. */
	readonly workspaceUrgencies: ReadonlyArray<number | undefined>;
	readonly seed: number;
	/** Requests a second that some of the engines state that they take, by the engine's number. */
	readonly rateLimits?: ReadonlyMap<number, number>;
	/** Memory of an engine, which its runs then share; if absent, all that its slots hold has room. */
	readonly memoryTokens?: number;
	/** Processor time of an instance; if absent, nothing takes processor time. */
	readonly costs?: ProcessorCosts;
	/** How many times as long each instance takes for everything; 1 if absent. */
	readonly slowness?: readonly number[];
	readonly lateLoop?: LatenessSettings;
	/** Whether a refused caller comes back once, at another instance. */
	readonly callersComeBack?: boolean;
};

/** Processor time of an instance for each operation, in milliseconds. */
export type ProcessorCosts = {
	/** Receiving a request, from its first byte to the end of its body. */
	readonly arrival: number;
	/** Sending a request to an endpoint, and completing it. */
	readonly attempt: number;
	/** Forwarding one event. */
	readonly event: number;
	/** Checking one endpoint in a placement search. */
	readonly endpointCheck: number;
	/** Applying one load report of another instance. */
	readonly loadReport: number;
};

const noCosts: ProcessorCosts = {arrival: 0, attempt: 0, event: 0, endpointCheck: 0, loadReport: 0};

/** Progress and result of one request. */
export type RequestRecord = {
	readonly kind: string;
	readonly instance: number;
	readonly arrivedAt: number;
	readonly workspaceUrgency: number | undefined;
	decision: Decision | undefined;
	placedAt: number | undefined;
	firstEventAt: number | undefined;
	endedAt: number | undefined;
	engine: string | undefined;
	longestPauseMilliseconds: number;
	/** When its instance forwarded the first event. */
	answeredAt: number | undefined;
	/** When the caller's first try was sent, if this is its second one. */
	readonly firstTriedAt: number;
	readonly isSecondTry: boolean;
	/** True once the caller came back after a refusal. */
	hasComeBack: boolean;
};

const zone = 'z' as ZoneName;
const silentLogger = {debug: () => undefined, info: () => undefined, warn: () => undefined, error: () => undefined};
const service = 'models';
const defaultMemoryTokens = 600_000;
const defaultOutputTokens = 20;
const minRunMilliseconds = 15;
/** An instance takes the pace of an endpoint over at least this time of a stream. */
const paceMilliseconds = 100;
/** Several dispatchers that share engines, in virtual time. Each receives the others' load reports with the propagation delay of real instances. */
export class VirtualFleet implements Disposable {
	static create(options: FleetOptions): VirtualFleet {
		return new VirtualFleet(options);
	}

	readonly requests: RequestRecord[] = [];
	/** What engines with a limited memory have done in vain. */
	readonly waste: Waste = {preempted: 0, readAgainTokens: 0};
	readonly dispatchers: readonly Dispatcher[];
	readonly #options: FleetOptions;
	readonly #random: Random;
	readonly #routingStates: readonly RoutingState[];
	readonly #engines = new Map<string, Engine | MemoryEngine>();
	readonly #instanceNames: readonly string[];
	readonly #processors: readonly Processor[];
	readonly #costs: ProcessorCosts;
	readonly #lateness: LoopLateness[] = [];
	readonly #gates: IntakeGate[] = [];

	private constructor(options: FleetOptions) {
		this.#options = options;
		this.#random = createRandom(options.seed);
		this.#costs = options.costs ?? noCosts;
		this.#instanceNames = Array.from({length: options.instances}, (_, number) => `i${number}`);
		this.#processors = Array.from({length: options.instances}, () => ({freeAt: 0}));
		const records = Array.from({length: options.engines}, (_, number): EndpointRecord => ({
			id: `engine-${number}`, service, address: '127.0.0.1:1', zone, isLeaving: false, slots: options.slots, revision: 1,
		}));
		for (const [number, {id}] of records.entries()) {
			const {memoryTokens} = options;
			this.#engines.set(id, memoryTokens === undefined ? new Engine(options, () => options.speedOf?.(number, options.time.now) ?? 1) : new MemoryEngine({...options, memoryTokens, waste: this.waste}));
		}

		this.#routingStates = Array.from({length: options.instances}, () => RoutingState.create(silentLogger));
		this.dispatchers = this.#routingStates.map((routingState, number) => {
			routingState.applyEndpointChanges(records.map((record, offset) => ({type: 'registered', era: 0, offset, record})), 'store', performance.now());
			const dispatcher = Dispatcher.create({
				incarnation: `i${number}` as InstanceId, zone, routingState, logger: silentLogger, allowance: {ratio: 0.1, slack: 10, windowMilliseconds: 10_000}, slackSharing: () => ({type: 'unknown'}),
				random: () => this.#random.uniform(), tuning: {...defaultTuning, ...options.tuning},
				instance: `i${number}`, instances: () => this.#instanceNames,
				onRateLimitReport: news => {
					this.#broadcastReport(number, news);
				},
				onSharesWanted: () => undefined,
				onLoad: event => {
					this.#broadcastLoad(number, event);
				},
			});
			dispatcher.view = {links: options.instances - 1, instances: options.instances};
			this.#chargeEndpointChecks(dispatcher, options.slowness?.[number] ?? 1);
			dispatcher.loadTracker.paces.mayLearn = () => number < (options.learners ?? options.instances);
			return dispatcher;
		});
		this.publishTable(1, options.workspaceUrgencies);
		for (const [number, processor] of options.lateLoop === undefined ? [] : this.#processors.entries()) {
			options.time.runOnProcessor(processor, () => {
				this.#lateness[number] = LoopLateness.create(options.lateLoop);
				this.#gates[number] = IntakeGate.create({
					lateness: this.#lateness[number], random: () => this.#random.uniform(), hasOthers: () => options.instances > 1,
					nextTurn(task) {
						options.time.runOnProcessor(processor, task);
					},
				});
			});
		}
	}

	[Symbol.dispose](): void {
		for (const disposable of [...this.dispatchers, ...this.#lateness]) {
			disposable[Symbol.dispose]();
		}
	}

	/** Puts a new routing table with workspaces of these urgencies in force at all instances at once. */
	publishTable(version: number, workspaces: ReadonlyArray<number | undefined>): void {
		const table: RoutingTableInput = {
			version,
			routes: this.#options.kinds.map(kind => toRoute(kind)),
			services: [{name: service, largestConnections: 100, engine: {slots: this.#options.slots, memoryTokens: this.#options.memoryTokens ?? defaultMemoryTokens, tokensPerEvent: 4}}],
			workspaces: workspaces.map((urgency, number) => ({name: `w${number}` as WorkspaceName, keys: [`k${number}`], urgency})),
			limits: {headerBytes: 1, bodyBytes: 1, headerMilliseconds: 1, idleMilliseconds: 1},
		};
		for (const routingState of this.#routingStates) {
			routingState.applyTable(table, 'store');
		}
	}

	/** Registers an endpoint anew under its id, with this start time. */
	restart(id: string, bornAt: number): void {
		for (const routingState of this.#routingStates) {
			const {record} = routingState.directory.entries.get(id)!;
			routingState.applyEndpointChanges([{type: 'registered', era: 0, offset: this.#options.engines, record: {...record, bornAt}}], 'store', performance.now());
		}
	}

	/** Schedules arrivals of a kind of request at an instance: at random times, with this average rate. */
	scheduleArrivals(kindName: string, instance: number, {perSecond, forMilliseconds}: {perSecond: number; forMilliseconds: number}): void {
		this.#scheduleAtRandom({perSecond, forMilliseconds}, () => {
			this.send(kindName, instance);
		});
	}

	/** Schedules requests of other services, which only take processor time here. */
	scheduleOtherTraffic(instance: number, {perSecond, forMilliseconds}: {perSecond: number; forMilliseconds: number}): void {
		this.#scheduleAtRandom({perSecond, forMilliseconds}, () => {
			this.#runOnProcessor(instance, this.#costs.arrival + this.#costs.attempt, () => undefined);
		});
	}

	send(kindName: string, instance: number, firstTriedAt?: number): RequestRecord {
		const {time, kinds} = this.#options;
		const routingState = this.#routingStates[instance]!;
		const dispatcher = this.dispatchers[instance]!;
		const table = routingState.table!;
		const kind = kinds.find(({name}) => name === kindName)!;
		const route = table.routes.find(({name}) => name === kindName)!;
		const workspace = this.#workspace(routingState, this.requests.length);
		const request: RequestRecord = {
			kind: kindName, instance, arrivedAt: time.now, workspaceUrgency: workspace?.urgency, decision: undefined, placedAt: undefined, firstEventAt: undefined, answeredAt: undefined,
			firstTriedAt: firstTriedAt ?? time.now, isSecondTry: firstTriedAt !== undefined, hasComeBack: false, endedAt: undefined, engine: undefined, longestPauseMilliseconds: 0,
		};
		const number = this.requests.push(request);
		this.#runOnProcessor(instance, this.#costs.arrival, () => {
			this.#admit(request, route, () => {
				this.#submit(request, {number, kind, dispatcher, table, route, workspace});
			});
		});
		return request;
	}

	/** Requests of a kind that were answered within its target, and of those sent in the span, counted from each caller's first try. */
	inTime(kindName: string, {from, to}: {from: number; to: number}): {inTime: number; served: number; total: number} {
		const {targetMilliseconds} = this.#options.kinds.find(({name}) => name === kindName)!;
		const own = this.requests.filter(({kind, firstTriedAt, hasComeBack}) => kind === kindName && firstTriedAt >= from && firstTriedAt < to && !hasComeBack);
		const served = own.filter(({answeredAt}) => answeredAt !== undefined);
		return {inTime: served.filter(({answeredAt, firstTriedAt}) => answeredAt! - firstTriedAt <= targetMilliseconds).length, served: served.length, total: own.length};
	}

	/** Counts the requests of a kind that arrived in a span: those refused, those placed, and all. */
	count(kind: string, {from, to, instance}: {from: number; to: number; instance?: number}): {refused: number; placed: number; total: number} {
		const own = this.requests.filter(one => one.kind === kind && one.arrivedAt >= from && one.arrivedAt < to && (instance === undefined || one.instance === instance));
		return {
			refused: own.filter(({decision}) => decision?.type === 'refused').length,
			placed: own.filter(({decision}) => decision?.type === 'placed').length,
			total: own.length,
		};
	}

	/** Passes a request through its instance's intake, if the instance's loop is late. */
	#admit(request: RequestRecord, route: Route, begin: () => void): void {
		const gate = this.#gates[request.instance];
		if (gate?.isClosed !== true) {
			begin();
			return;
		}

		const givenMilliseconds = route.timeoutMilliseconds - (request.arrivedAt - request.firstTriedAt);
		const intakeRequest: IntakeRequest = {
			id: String(this.requests.indexOf(request)), route: route.name, urgency: {route: route.urgency, workspace: request.workspaceUrgency}, targetMilliseconds: route.targetMilliseconds,
			arrivedAt: this.#lateness[request.instance]!.arrivalOf(request), lastStartAt: request.arrivedAt + Math.min(givenMilliseconds, requestCodec.patienceMilliseconds(route)), givenMilliseconds,
		};
		const refusal = gate.refusalOf(intakeRequest);
		if (refusal !== undefined) {
			this.#comeBack(request, refusal.retryAfterMilliseconds);
			return;
		}

		gate.pass(intakeRequest, outcome => {
			if (outcome.type === 'begin') {
				begin();
			} else {
				this.#comeBack(request, outcome.retryAfterMilliseconds);
			}
		});
	}

	/** A refused caller's next try reaches another instance. */
	#comeBack(request: RequestRecord, retryAfterMilliseconds: number): void {
		const {time, instances, callersComeBack} = this.#options;
		if (callersComeBack !== true || request.isSecondTry) {
			return;
		}

		request.hasComeBack = true;
		time.runOffProcessor(() => {
			time.after(retryAfterMilliseconds, () => {
				this.send(request.kind, (request.instance + 1 + this.#random.below(instances - 1)) % instances, request.firstTriedAt);
			});
		});
	}

	#scheduleAtRandom({perSecond, forMilliseconds}: {perSecond: number; forMilliseconds: number}, task: () => void): void {
		for (let at = this.#random.exponential(1000 / perSecond); at < forMilliseconds; at += this.#random.exponential(1000 / perSecond)) {
			this.#options.time.after(at, task);
		}
	}

	#submit(
		request: RequestRecord,
		{number, kind, dispatcher, table, route, workspace}: {number: number; kind: RequestKind; dispatcher: Dispatcher; table: RoutingTable; route: Route; workspace: Workspace | undefined},
	): void {
		const {time} = this.#options;
		const facts = {id: String(number), deadlineMilliseconds: route.timeoutMilliseconds, key: undefined, parts: this.#parts(kind, number), outputTokens: kind.outputTokens ?? defaultOutputTokens, sharedParts: [], resumption: undefined};
		const demand = demandOf({facts, table, route, service, workspace, arrivedAt: request.arrivedAt});
		dispatcher.submit({
			...placementRequestOf({facts, table, route, service, workspace, arrivedAt: request.arrivedAt}, demand),
			id: facts.id,
			lastStartAt: request.arrivedAt + Math.min(route.timeoutMilliseconds - minRunMilliseconds, requestCodec.patienceMilliseconds(route)),
			excluded: new Set(),
			build: undefined,
			isIdempotent: true,
			onDecision: decision => {
				request.decision = decision;
				if (decision.type === 'refused') {
					this.#comeBack(request, decision.retryAfterMilliseconds);
				}

				if (decision.type === 'placed') {
					request.placedAt = time.now;
					this.#startAttempt(request, kind, {dispatcher, decision, urgency: route.urgency, parts: demand.parts});
				}
			},
		});
	}

	#startAttempt(
		request: RequestRecord, {events = 1, responseMilliseconds, maxPauseMilliseconds, outputTokens = defaultOutputTokens}: RequestKind,
		{dispatcher, decision, urgency, parts}: {dispatcher: Dispatcher; decision: Extract<Decision, {type: 'placed'}>; urgency: number; parts: readonly PromptPart[]},
	): void {
		const {time} = this.#options;
		const {runId, prefillTokens, record} = decision;
		time.spend(this.#costs.attempt * (this.#options.slowness?.[request.instance] ?? 1));
		let pace = {at: 0, events: 0};
		let lastEventAt = 0;
		request.engine = record.id;
		const run: EngineRun & MemoryRun = {
			prefillTokens, urgency, parts, outputTokens, responseMilliseconds, events,
			onFirstEvent: () => {
				request.firstEventAt = time.now;
				lastEventAt = time.now;
				pace = {at: time.now, events: 0};
				this.#hearStatements(dispatcher, record, request.placedAt ?? 0);
				this.#runOnProcessor(request.instance, this.#costs.event, () => {
					request.answeredAt = time.now;
					dispatcher.recordFirstEvent(runId);
				});
				this.#forwardEvents(request.instance, events - 1, responseMilliseconds / events);
			},
			onEvent() {
				request.longestPauseMilliseconds = Math.max(request.longestPauseMilliseconds, time.now - lastEventAt);
				lastEventAt = time.now;
				pace.events += 1;
				if (time.now - pace.at >= paceMilliseconds) {
					dispatcher.recordPace(runId, {events: pace.events, milliseconds: time.now - pace.at});
					pace = {at: time.now, events: 0};
				}
			},
			onEnd: () => {
				request.endedAt = time.now;
				this.#runOnProcessor(request.instance, 0, () => {
					if (maxPauseMilliseconds === Math.min(...this.#options.kinds.map(kind => kind.maxPauseMilliseconds))) {
						dispatcher.latePauses.record(service, {pauseMilliseconds: request.longestPauseMilliseconds, lagMilliseconds: 0, maxPauseMilliseconds});
					}

					dispatcher.recordEnd(runId);
				});
			},
		};
		if (this.#options.costs === undefined) {
			this.#engines.get(record.id)!.enqueue(run);
		} else {
			time.runOffProcessor(() => {
				this.#engines.get(record.id)!.enqueue(run);
			});
		}
	}

	#hearStatements(dispatcher: Dispatcher, record: EndpointRecord, sentAt: number): void {
		const {rateLimits, time} = this.#options;
		const requestsPerSecond = rateLimits?.get(Number(record.id.split('-')[1]));
		dispatcher.statements.recordResponse(record, {
			statements: requestsPerSecond === undefined ? [] : [{type: 'rate-limit', requestsPerSecond}], malformed: [], sentAt, canWithdraw: true,
		}, time.now);
	}

	#forwardEvents(instance: number, events: number, gapMilliseconds: number): void {
		if (events <= 0 || this.#costs.event === 0) {
			return;
		}

		this.#options.time.after(gapMilliseconds, () => {
			this.#runOnProcessor(instance, this.#costs.event, () => undefined);
			this.#forwardEvents(instance, events - 1, gapMilliseconds);
		});
	}

	/** Runs a task on an instance's processor after spending this time there. */
	#runOnProcessor(instance: number, milliseconds: number, task: () => void): void {
		const {time} = this.#options;
		if (this.#options.costs === undefined) {
			task();
			return;
		}

		time.runOnProcessor(this.#processors[instance]!, () => {
			time.spend(milliseconds * (this.#options.slowness?.[instance] ?? 1));
			task();
		});
	}

	#chargeEndpointChecks({loadTracker}: Dispatcher, slowness: number): void {
		const {time} = this.#options;
		const load = loadTracker.load.bind(loadTracker);
		loadTracker.load = (endpoint, now) => {
			time.spend(this.#costs.endpointCheck * slowness);
			return load(endpoint, now);
		};
	}

	#workspace(routingState: RoutingState, number: number): Workspace | undefined {
		const workspaces = routingState.tableInput?.workspaces ?? [];
		return workspaces[number % Math.max(1, workspaces.length)];
	}

	#parts({sharedTokens, sharedPrefixes, ownTokens, name}: RequestKind, number: number): PromptPart[] {
		const base = this.#options.kinds.findIndex(kind => kind.name === name) * 1000;
		return [{id: base + this.#random.below(sharedPrefixes), tokens: sharedTokens}, {id: 1_000_000 + number, tokens: ownTokens}];
	}

	#broadcastReport(sender: number, news: RateLimitReport): void {
		this.#options.time.after(propagationMilliseconds(this.#options.instances - 1), () => {
			for (const [number, dispatcher] of this.dispatchers.entries()) {
				if (number !== sender) {
					dispatcher.statements.recordReport(news, this.#options.time.now);
				}
			}
		});
	}

	#broadcastLoad(sender: number, event: LoadEvent): void {
		this.#options.time.after(this.#options.reportMilliseconds ?? propagationMilliseconds(this.#options.instances - 1), () => {
			for (const [number, dispatcher] of this.dispatchers.entries()) {
				if (number !== sender) {
					this.#runOnProcessor(number, this.#costs.loadReport, () => {
						dispatcher.applyLoad(event);
					});
				}
			}
		});
	}
}

function toRoute({name, urgency, targetMilliseconds, maxPauseMilliseconds, timeoutMilliseconds}: RequestKind): Route {
	return {
		name, host: 'h', pathPrefix: `/${name}/`, kind: RouteKind.stream, resumable: false, shares: [{service, weight: 1}], timeoutMilliseconds, targetMilliseconds,
		urgency, largestAttempts: 1, isPublic: false, longestPauseMilliseconds: maxPauseMilliseconds,
	};
}
