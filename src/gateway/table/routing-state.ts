import {EndpointDirectory, type EndpointChange, type EndpointEntry, type EndpointRecord, hasRestarted, isLaterIncarnation, positionOf, RoutingTable, type RoutingTableInput} from '../../routing/index.js';
import {type Restart} from '../../policy/incarnations/index.js';
import {type PartLogger} from '../../telemetry/index.js';

/** A change of the routing state; updates without an effect are not reported. */
export type RoutingStateChange
	= | {readonly type: 'table'; readonly input: RoutingTableInput}
		| {readonly type: 'endpoints'; readonly changes: readonly EndpointChange[]}
	/** Endpoints that have restarted under their ids. */
		| {readonly type: 'reborn'; readonly restarts: readonly Restart[]}
	/**
	 * The store was restored from a backup (its era, the generation number of its log, has risen), and endpoints that it lacks
	 * are kept as unconfirmed.
	 */
		| {readonly type: 'era'; readonly era: number};

/** Source of an update: the store, a response of the endpoint itself, or another instance. */
export type UpdateSource = 'store' | 'response' | `instance ${string}`;

/** Limit for the endpoints that one log line names. */
const maxLoggedEndpoints = 20;

type Listener = (change: RoutingStateChange, source: UpdateSource) => void;

/**
 * The newest routing table and endpoints that this process has received from any source. Table versions, eras, positions in
 * the store's log and revisions never decrease here. Otherwise an older version from a slow read or a peer could replace a newer one
 * that is already in force, and a key that was revoked would work again.
 */
export class RoutingState {
	static create(logger: PartLogger): RoutingState {
		return new RoutingState(logger);
	}

	readonly #logger: PartLogger;
	readonly #listeners: Listener[] = [];
	#table: RoutingTable | undefined;
	#tableInput: RoutingTableInput | undefined;
	#directory = EndpointDirectory.create();

	private constructor(logger: PartLogger) {
		this.#logger = logger;
	}

	get table(): RoutingTable | undefined {
		return this.#table;
	}

	get tableInput(): RoutingTableInput | undefined {
		return this.#tableInput;
	}

	get directory(): EndpointDirectory {
		return this.#directory;
	}

	onChange(listener: Listener): void {
		this.#listeners.push(listener);
	}

	applyTable(input: RoutingTableInput, source: UpdateSource): void {
		const before = this.#table?.version;
		if (before !== undefined && input.version < before) {
			this.#logger.info('Ignored an older routing table.', {version: input.version, inForce: before, source});
			return;
		}

		if (before === input.version) {
			return;
		}

		this.#table = RoutingTable.create(input);
		this.#tableInput = input;
		this.#logger.info('Routing table in force.', {version: input.version, before, source, routes: input.routes.length, workspaces: this.#table.workspaceCount});
		this.#notify({type: 'table', input}, source);
	}

	applyEndpointChanges(changes: readonly EndpointChange[], source: UpdateSource, now: number): void {
		const before = this.#directory;
		this.#directory = before.apply(changes, now);
		this.#publishChanges(before, changes, source);
		this.#publishEra(before, source, now);
	}

	/**
	 * Applies a snapshot of the store, read in an era: endpoints that it lacks have ended, or are kept as unconfirmed if the
	 * store was restored from a backup. Returns the number of unconfirmed endpoints.
	 */
	applyEndpointSnapshot(changes: readonly EndpointChange[], era: number, now: number): number {
		const before = this.#directory;
		const ids = new Set(changes.flatMap(change => change.type === 'registered' ? [change.record.id] : []));
		this.#directory = before.apply(changes, now).applySnapshot(ids, era, now);
		this.#publishChanges(before, [...changes, ...endedBySnapshot(before, this.#directory)], 'store');
		this.#publishEra(before, 'store', now);
		return this.#directory.unconfirmed(now).length;
	}

	/**
	 * Ends an endpoint that has stated itself that it leaves; the other instances learn it like any change. Its record in the store says so
	 * later, and not at all while the store is down.
	 */
	markLeaving({id, bornAt}: EndpointRecord, now: number): void {
		const entry = this.#directory.entries.get(id);
		if (entry !== undefined && entry.record.bornAt === bornAt && !entry.record.isLeaving) {
			this.applyEndpointChanges([{type: 'registered', ...positionOf(entry.registrations), record: {...entry.record, isLeaving: true}}], 'response', now);
		}
	}

	prune(now: number): void {
		this.#directory = this.#directory.prune(now);
	}

	#publishChanges(before: EndpointDirectory, changes: readonly EndpointChange[], source: UpdateSource): void {
		const effective = changes.filter(change => this.#isEffective(before, change));
		for (const change of effective) {
			const entry = this.#directory.entries.get(endpointIdOf(change));
			this.#logger.info(entry?.endedAt === undefined ? 'Endpoint registered.' : 'Endpoint ended.', {
				endpoint: endpointIdOf(change), service: entry?.record.service, isLeaving: entry?.record.isLeaving, offset: change.offset, source,
			});
		}

		if (effective.length > 0) {
			this.#notify({type: 'endpoints', changes: effective}, source);
		}

		const restarts = [...new Set(effective.map(change => endpointIdOf(change)))].flatMap(id => this.#restartOf(before, id));
		if (restarts.length > 0) {
			this.#logger.info('Endpoints restarted.', {endpoints: restarts.map(({id}) => id), source});
			this.#notify({type: 'reborn', restarts}, source);
		}
	}

	#publishEra(before: EndpointDirectory, source: UpdateSource, now: number): void {
		const {era} = this.#directory;
		if (era <= before.era) {
			return;
		}

		const unconfirmed = this.#directory.unconfirmed(now).map(({record}) => record.id);
		this.#logger.info('Endpoints belong to a newer era of the store.', {era, before: before.era, source, onTrust: unconfirmed.length, endpoints: unconfirmed.slice(0, maxLoggedEndpoints)});
		this.#notify({type: 'era', era}, source);
	}

	/** What is known of the restart of an endpoint, if it has restarted since. */
	#restartOf(before: EndpointDirectory, id: string): readonly Restart[] {
		const previous = before.entries.get(id)?.record;
		const next = this.#directory.entries.get(id)?.record;
		return previous !== undefined && next !== undefined && hasRestarted(previous, next)
			? [{id, hadAnnouncedLeaving: previous.isLeaving, address: next.address, isAtSameAddress: previous.address === next.address}]
			: [];
	}

	#isEffective(before: EndpointDirectory, change: EndpointChange): boolean {
		const previous = before.entries.get(endpointIdOf(change));
		const next = this.#directory.entries.get(endpointIdOf(change));
		return next !== undefined && (
			previous === undefined || (previous.endedAt === undefined) !== (next.endedAt === undefined) || isLaterIncarnation(next.record, previous.record) || isRegisteredInNewerEra(previous, next)
		);
	}

	#notify(change: RoutingStateChange, source: UpdateSource): void {
		for (const listener of this.#listeners) {
			listener(change, source);
		}
	}
}

function endpointIdOf(change: EndpointChange): string {
	return change.type === 'registered' ? change.record.id : change.id;
}

/** Removals of the endpoints that a snapshot has ended. */
function endedBySnapshot(before: EndpointDirectory, after: EndpointDirectory): EndpointChange[] {
	return [...after.entries.values()]
		.filter(({record, endedAt}) => endedAt !== undefined && before.entries.get(record.id)?.endedAt === undefined)
		.map(({record, registrations}) => ({type: 'removed', ...positionOf(registrations), id: record.id}));
}

/** Whether the endpoint is registered in a newer era than before. */
function isRegisteredInNewerEra(previous: EndpointEntry, next: EndpointEntry): boolean {
	return positionOf(next.registrations).era > positionOf(previous.registrations).era;
}
