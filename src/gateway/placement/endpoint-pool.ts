import {availability, type Candidate, createEndpointHealth, type EndpointHealth, type HealthEvent, inHashOrder, type LoadTracker, stepEndpointHealth, trialTurnMilliseconds} from '../../policy/dispatch/index.js';
import {type EndpointEntry, type EndpointRecord, EndpointStatus, buildOf, endpointStatusOf, hasRestarted, incarnationOf} from '../../routing/index.js';
import {type PartLogger} from '../../telemetry/index.js';
import {type RoutingState} from '../table/index.js';
import {type StatementRegistry} from '../endpoints/index.js';
import {type PlacementRequest} from './decision.js';

/** Weight of a response in the moving average of a service's failure share, which spans about the last hundred responses. */
const failureShareWeight = 0.01;

/** An endpoint of a service with what placement needs of it. */
export type PlacementEndpoint = {readonly candidate: Candidate; readonly entry: EndpointEntry; readonly record: EndpointRecord};

/** An endpoint that may not be sent to before a time, because it has said so. */
export type HeldEndpoint = {readonly endpoint: PlacementEndpoint; readonly until: number};

/** Endpoints that a request may be sent to now, and of those that are held back the one that is free first. */
export type AvailableEndpoints = {readonly trial: PlacementEndpoint | undefined; readonly usable: readonly PlacementEndpoint[]; readonly held: HeldEndpoint | undefined};

type SortedEndpoints = {
	/** Endpoints that may be sent to, by health; `stating` are healthy ones with a statement in force, `ending` those that leave or are removed. */
	readonly lists: Readonly<Record<'open' | 'stating' | 'trial' | 'suspended' | 'ending', PlacementEndpoint[]>>;
	held: HeldEndpoint | undefined;
	hasReady: boolean;
	/** True if a healthy endpoint is held back. */
	isOpenHeld: boolean;
};

/** What another instance has told of a request that it sent to an endpoint. */
export type OthersSign = {readonly type: 'sent-by-other' | 'answered-other'} | {readonly type: 'silent'; readonly sentAt: number};

export type EndpointPoolOptions = {
	/** Name of this instance, and of the others that may send to the same endpoints. */
	readonly instance: string;
	readonly instances: () => readonly string[];
	readonly routingState: RoutingState;
	readonly logger: PartLogger;
	readonly loadTracker: LoadTracker;
	readonly statements: StatementRegistry;
};

/** Endpoints of each service with their health, which is derived from the responses that this instance received or missed. */
export class EndpointPool {
	static create(options: EndpointPoolOptions): EndpointPool {
		return new EndpointPool(options);
	}

	readonly #options: EndpointPoolOptions;
	readonly #health = new Map<string, EndpointHealth>();
	readonly #failureShares = new Map<string, number>();
	readonly #endpoints = new Map<string, readonly PlacementEndpoint[]>();
	readonly #candidates = new Map<string, readonly Candidate[]>();

	private constructor(options: EndpointPoolOptions) {
		this.#options = options;
		options.routingState.onChange(change => {
			this.#endpoints.clear();
			this.#candidates.clear();
			for (const {id: endpoint} of change.type === 'reborn' ? change.restarts : []) {
				this.#health.delete(endpoint);
				options.loadTracker.step({type: 'endpoint-restarted', endpoint}, performance.now());
			}
		});
	}

	/**
	 * Ready and healthy endpoints; if there are none, those due for a trial, then suspended ones. Endpoints that are draining or
	 * removed are used only if the service has no ready endpoint at all, not even one that this request has already been sent to.
	 * They are included because an instance receives the announcement that an endpoint is draining late. An endpoint that has stated
	 * that it wants no request now is not among them; suspended ones do not take the place of a healthy one.
	 */
	available(request: PlacementRequest, now: number): AvailableEndpoints {
		const {lists, held, hasReady, isOpenHeld} = this.#sort(request, now);
		// Those with a statement come last: the order decides which engines latency-critical streams share, and must not change with each request.
		const open = [...lists.open, ...lists.stating];
		const usable = [open, lists.trial, isOpenHeld ? [] : lists.suspended, hasReady ? [] : lists.ending].find(list => list.length > 0) ?? [];
		return {trial: request.isIdempotent && request.hasAttempt !== true ? lists.trial[0] : undefined, usable, held};
	}

	/**
	 * All endpoints of a service, on which the estimated wait is based. Cached, since each scan asks for them for each queued
	 * request.
	 */
	candidatesOf(service: string): readonly Candidate[] {
		const cached = this.#candidates.get(service) ?? this.#endpointsOf(service).map(({candidate}) => candidate);
		this.#candidates.set(service, cached);
		return cached;
	}

	/** Share of the engines' memory that running requests hold or will hold, of each service with engines. */
	heldMemoryShares(now: number): ReadonlyMap<string, number> {
		const {routingState, loadTracker} = this.#options;
		return new Map((routingState.tableInput?.services ?? []).flatMap(({name, engine}) => {
			const candidates = engine === undefined ? [] : this.candidatesOf(name);
			const heldTokens = candidates.reduce((sum, {id}) => sum + loadTracker.load(id, now).heldTokens, 0);
			return candidates.length === 0 ? [] : [[name, heldTokens / candidates.length / engine!.memoryTokens] as const];
		}));
	}

	/** Updates an endpoint's health after a response, or after none was received. What an earlier incarnation shows says nothing about the next one. */
	report(record: EndpointRecord, outcome: 'answered' | 'failed' | 'unreachable'): void {
		const usualFailureShare = this.#failureShares.get(record.service) ?? 0;
		if (outcome !== 'unreachable') {
			this.#failureShares.set(record.service, usualFailureShare + (((outcome === 'failed' ? 1 : 0) - usualFailureShare) * failureShareWeight));
		}

		if (!this.#hasRestartedSince(record)) {
			this.#updateHealth(record, outcome === 'failed' ? {type: 'failed', usualShare: usualFailureShare} : {type: outcome});
		}
	}

	/** Updates an endpoint's health after what another instance has told of its request there. */
	reportOther(id: string, sign: OthersSign): void {
		const record = this.#options.routingState.directory.entries.get(id)?.record;
		if (record === undefined) {
			return;
		}

		const {instance, instances} = this.#options;
		this.#updateHealth(record, sign.type === 'silent'
			? {type: 'silent-to-other', sentAt: sign.sentAt, turnMilliseconds: trialTurnMilliseconds(id, instance, instances())}
			: {type: sign.type});
	}

	/** Records that a request is sent there; for an endpoint in recovery, this request is its trial. */
	recordAttempt(record: EndpointRecord, now: number): void {
		if (this.#availability(record.id, now) === 'trial') {
			this.#updateHealth(record, {type: 'trial'});
		}
	}

	/** Whether a service has a healthy endpoint of a build, if one is given, other than this one and the excluded ones. */
	hasAnother(service: string, {excluded, build}: Pick<PlacementRequest, 'excluded' | 'build'>, record: EndpointRecord): boolean {
		const now = performance.now();
		return [...this.#options.routingState.directory.entries.values()].some(entry => entry.record.service === service
			&& (entry.record.id !== record.id || this.#hasRestartedSince(record))
			&& !isExcluded(entry.record, excluded)
			&& hasBuild(entry.record, build)
			&& endpointStatusOf(entry, now) === EndpointStatus.ready
			&& this.#availability(entry.record.id, now) === 'open'
			&& this.#options.statements.admission(entry.record.id, now).type === 'open');
	}

	/** Whether a service has a registered endpoint, whatever its health. */
	hasReady(service: string, now: number): boolean {
		return this.#endpointsOf(service).some(({entry}) => endpointStatusOf(entry, now) === EndpointStatus.ready);
	}

	/** Whether an endpoint is in use: neither suspended nor in recovery. */
	isOpen({id}: EndpointRecord, now: number): boolean {
		return this.#availability(id, now) === 'open';
	}

	/** Whether the incarnation of a record is registered: it has not announced that it leaves, was not removed, and no other one has taken its place. */
	isRegistered(record: EndpointRecord): boolean {
		const entry = this.#options.routingState.directory.entries.get(record.id);
		return entry !== undefined && entry.endedAt === undefined && !this.#hasRestartedSince(record);
	}

	#sort(request: PlacementRequest, now: number): SortedEndpoints {
		const sorted: SortedEndpoints = {lists: {open: [], stating: [], trial: [], suspended: [], ending: []}, held: undefined, hasReady: false, isOpenHeld: false};
		for (const endpoint of this.#endpointsOf(request.demand.service)) {
			const status = endpointStatusOf(endpoint.entry, now);
			sorted.hasReady ||= status === EndpointStatus.ready;
			if (status !== EndpointStatus.gone && !isExcluded(endpoint.record, request.excluded) && hasBuild(endpoint.record, request.build)) {
				this.#add(sorted, endpoint, {isReady: status === EndpointStatus.ready, now});
			}
		}

		return sorted;
	}

	#add(sorted: SortedEndpoints, endpoint: PlacementEndpoint, {isReady, now}: {isReady: boolean; now: number}): void {
		const {id} = endpoint.record;
		const {statements} = this.#options;
		const kind = isReady ? this.#availability(id, now) : 'ending';
		const admission = statements.admission(id, now);
		if (admission.type === 'open') {
			sorted.lists[kind === 'open' && statements.hasStatement(id, now) ? 'stating' : kind].push(endpoint);
		} else if (kind !== 'ending') {
			sorted.isOpenHeld ||= kind === 'open';
			sorted.held = admission.until < (sorted.held?.until ?? Infinity) ? {endpoint, until: admission.until} : sorted.held;
		}
	}

	/** Whether another incarnation has taken the place of a record's; one that states its start for the first time has not. */
	#hasRestartedSince(record: EndpointRecord): boolean {
		const current = this.#options.routingState.directory.entries.get(record.id)?.record;
		return current !== undefined && hasRestarted(record, current);
	}

	#availability(id: string, now: number): ReturnType<typeof availability> {
		const health = this.#health.get(id);
		return health === undefined ? 'open' : availability(health, now);
	}

	/** Endpoints of a service, cached until the routing state changes. */
	#endpointsOf(service: string): readonly PlacementEndpoint[] {
		const cached = this.#endpoints.get(service);
		if (cached !== undefined) {
			return cached;
		}

		const {routingState, loadTracker} = this.#options;
		const memoryTokens = routingState.table?.service(service)?.engine?.memoryTokens;
		const entries = [...routingState.directory.entries.values()].filter(({record}) => record.service === service);
		const candidates = inHashOrder(entries.map(({record}) => ({id: record.id, zone: record.zone, slots: record.slots, isEngine: memoryTokens !== undefined, memoryTokens})));
		const byId = new Map(entries.map(entry => [entry.record.id, entry]));
		const endpoints = candidates.map(candidate => {
			const entry = byId.get(candidate.id)!;
			loadTracker.setCacheCapacity(candidate.id, memoryTokens ?? 0);
			return {candidate, entry, record: entry.record};
		});
		this.#endpoints.set(service, endpoints);
		return endpoints;
	}

	#updateHealth(record: EndpointRecord, event: HealthEvent): void {
		const now = performance.now();
		const before = this.#health.get(record.id) ?? createEndpointHealth();
		const after = stepEndpointHealth(before, event, now);
		if (after === before) {
			return;
		}

		this.#health.set(record.id, after);
		if (availability(before, now) !== 'suspended' && availability(after, now) === 'suspended' && event.type !== 'trial' && event.type !== 'sent-by-other') {
			this.#options.logger.warn('Endpoint suspended.', {
				endpoint: record.id, service: record.service, cause: event.type, failureShare: round(after.failureShare), milliseconds: round(after.suspendedUntil - now),
			});
		} else if (before.suspendedUntil !== -Infinity && after.suspendedUntil === -Infinity) {
			this.#options.logger.info('Endpoint back in use.', {endpoint: record.id, service: record.service});
		}
	}
}

/** Whether a request was already sent to this incarnation of an endpoint, or to the endpoint before it had stated its start. */
function isExcluded(record: EndpointRecord, excluded: ReadonlySet<string>): boolean {
	return excluded.size > 0 && (excluded.has(incarnationOf(record)) || excluded.has(record.id));
}

function hasBuild(record: EndpointRecord, build: string | undefined): boolean {
	return build === undefined || buildOf(record) === build;
}

function round(value: number): number {
	return Math.round(value * 1000) / 1000;
}
