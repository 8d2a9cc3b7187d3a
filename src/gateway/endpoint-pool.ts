import {availability, type Candidate, createEndpointHealth, type EndpointHealth, type HealthEvent, inHashOrder, type LoadTracker, stepEndpointHealth} from '../policy/dispatch/index.js';
import {type EndpointEntry, type EndpointRecord, EndpointStatus, endpointStatusOf} from '../routing/index.js';
import {type PartLogger} from '../telemetry/index.js';
import {type RoutingState} from './routing-state.js';
import {type PlacementRequest} from './decision.js';

/** A service's usual share of errors, from about its last hundred answers. */
const usualWeight = 0.01;

/** An endpoint of a service with what placement needs of it. */
export type Known = {readonly candidate: Candidate; readonly entry: EndpointEntry; readonly record: EndpointRecord};

/** Where one request may go now. */
export type Usable = {readonly trial: Known | undefined; readonly usable: readonly Known[]};

export type EndpointBookOptions = {readonly beliefs: RoutingState; readonly logger: PartLogger; readonly load: LoadTracker};

/** The endpoints of each service as placement sees them, and their health as this instance's own answers show it. */
export class EndpointBook {
	static create(options: EndpointBookOptions): EndpointBook {
		return new EndpointBook(options);
	}

	readonly #options: EndpointBookOptions;
	readonly #health = new Map<string, EndpointHealth>();
	readonly #usualFailures = new Map<string, number>();
	readonly #known = new Map<string, readonly Known[]>();
	readonly #candidates = new Map<string, readonly Candidate[]>();

	private constructor(options: EndpointBookOptions) {
		this.#options = options;
		options.beliefs.onChange(change => {
			this.#known.clear();
			this.#candidates.clear();
			for (const endpoint of change.type === 'reborn' ? change.ids : []) {
				this.#health.delete(endpoint);
				options.load.step({type: 'endpoint-restarted', endpoint}, performance.now());
			}
		});
	}

	/**
	 * Ready and healthy ones; what is suspended only where nothing else is left. What is on its way out is a
	 * resort only where the service has no other endpoint at all, be it one that this request has been at:
	 * word of a leaving comes late.
	 */
	usable(ticket: PlacementRequest, now: number): Usable {
		const lists = {open: [] as Known[], trial: [] as Known[], suspended: [] as Known[], ending: [] as Known[]};
		let hasReady = false;
		for (const known of this.#knownOf(ticket.demand.service)) {
			const standing = endpointStatusOf(known.entry, now);
			hasReady ||= standing === EndpointStatus.ready;
			if (standing === EndpointStatus.gone || ticket.excluded.has(known.record.id)) {
				continue;
			}

			const health = this.#health.get(known.record.id);
			lists[standing === EndpointStatus.ready ? (health === undefined ? 'open' : availability(health, now)) : 'ending'].push(known);
		}

		const usable = [lists.open, lists.trial, lists.suspended, hasReady ? [] : lists.ending].find(list => list.length > 0) ?? [];
		return {trial: ticket.isIdempotent ? lists.trial[0] : undefined, usable};
	}

	/** All of a service's endpoints: what a foreseen wait goes by, asked for each that waits in each try of the line. */
	candidatesOf(service: string): readonly Candidate[] {
		const held = this.#candidates.get(service) ?? this.#knownOf(service).map(({candidate}) => candidate);
		this.#candidates.set(service, held);
		return held;
	}

	/** What an answer, or its lack, says of an endpoint. */
	report(record: EndpointRecord, outcome: 'answered' | 'failed' | 'unreachable'): void {
		const usual = this.#usualFailures.get(record.service) ?? 0;
		if (outcome !== 'unreachable') {
			this.#usualFailures.set(record.service, usual + (((outcome === 'failed' ? 1 : 0) - usual) * usualWeight));
		}

		this.#judge(record, outcome === 'failed' ? {type: 'failed', usualShare: usual} : {type: outcome});
	}

	/** A request goes there; where its recovery is to be seen, this is the one that shows it. */
	noteSent(record: EndpointRecord, now: number): void {
		if (availability(this.#health.get(record.id) ?? createEndpointHealth(), now) === 'trial') {
			this.#judge(record, {type: 'trial'});
		}
	}

	/** Whether a service has an endpoint in good health beside this one and those excluded. */
	hasAnother(service: string, excluded: ReadonlySet<string>, record: EndpointRecord): boolean {
		const now = performance.now();
		return [...this.#options.beliefs.directory.entries.values()].some(entry => entry.record.service === service
			&& entry.record.id !== record.id
			&& !excluded.has(entry.record.id)
			&& endpointStatusOf(entry, now) === EndpointStatus.ready
			&& availability(this.#health.get(entry.record.id) ?? createEndpointHealth(), now) === 'open');
	}

	/** A service's endpoints, worked out once for each change of what is believed. */
	#knownOf(service: string): readonly Known[] {
		const held = this.#known.get(service);
		if (held !== undefined) {
			return held;
		}

		const {beliefs, load} = this.#options;
		const memoryTokens = beliefs.table?.service(service)?.engine?.memoryTokens;
		const entries = [...beliefs.directory.entries.values()].filter(({record}) => record.service === service);
		const candidates = inHashOrder(entries.map(({record}) => ({id: record.id, zone: record.zone, slots: record.slots, isEngine: memoryTokens !== undefined})));
		const byId = new Map(entries.map(entry => [entry.record.id, entry]));
		const known = candidates.map(candidate => {
			const entry = byId.get(candidate.id)!;
			load.setCacheCapacity(candidate.id, memoryTokens ?? 0);
			return {candidate, entry, record: entry.record};
		});
		this.#known.set(service, known);
		return known;
	}

	#judge(record: EndpointRecord, event: HealthEvent): void {
		const now = performance.now();
		const before = this.#health.get(record.id) ?? createEndpointHealth();
		const after = stepEndpointHealth(before, event, now);
		this.#health.set(record.id, after);
		if (availability(before, now) !== 'suspended' && availability(after, now) === 'suspended' && event.type !== 'trial') {
			this.#options.logger.warn('Endpoint suspended.', {
				endpoint: record.id, service: record.service, cause: event.type, failureShare: round(after.failureShare), milliseconds: round(after.suspendedUntil - now),
			});
		} else if (before.suspendedUntil !== -Infinity && after.suspendedUntil === -Infinity) {
			this.#options.logger.info('Endpoint back in use.', {endpoint: record.id, service: record.service});
		}
	}
}

function round(value: number): number {
	return Math.round(value * 1000) / 1000;
}
