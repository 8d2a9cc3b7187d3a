import {EndpointDirectory, type EndpointChange, type EndpointEntry, isLaterIncarnation, positionOf, RoutingTable, type RoutingTableInput} from '../routing/index.js';
import {type PartLogger} from '../telemetry/index.js';

/** What the process newly believes; only news, never a repetition. */
export type BeliefChange
	= | {readonly type: 'table'; readonly input: RoutingTableInput}
		| {readonly type: 'endpoints'; readonly changes: readonly EndpointChange[]}
	/** Endpoints that have started again under their ids. */
		| {readonly type: 'reborn'; readonly ids: readonly string[]}
	/** The store has come back from a copy, and what it lacks is on trust. */
		| {readonly type: 'era'; readonly era: number};

/** Who told: the store or another instance. */
export type BeliefSource = 'store' | `instance ${string}`;

/** Endpoints that one line names at most. */
const mostNamed = 20;

type Listener = (change: BeliefChange, source: BeliefSource) => void;

/**
 * The newest routing table and endpoints that anyone has told this process of. Failure: a slow reader
 * or a peer brings an older version after a newer one was used. Symptom: a key that was taken away
 * works again. Versions, eras, places in the store's log and revisions only move forward here, whoever tells.
 */
export class RoutingState {
	static create(logger: PartLogger): RoutingState {
		return new RoutingState(logger);
	}

	readonly #logger: PartLogger;
	readonly #listeners: Listener[] = [];
	#table: RoutingTable | undefined;
	#input: RoutingTableInput | undefined;
	#directory = EndpointDirectory.create();

	private constructor(logger: PartLogger) {
		this.#logger = logger;
	}

	get table(): RoutingTable | undefined {
		return this.#table;
	}

	get tableInput(): RoutingTableInput | undefined {
		return this.#input;
	}

	get directory(): EndpointDirectory {
		return this.#directory;
	}

	onChange(listener: Listener): void {
		this.#listeners.push(listener);
	}

	applyTable(input: RoutingTableInput, source: BeliefSource): void {
		const before = this.#table?.version;
		if (before !== undefined && input.version < before) {
			this.#logger.info('Older routing table passed over.', {version: input.version, inForce: before, source});
			return;
		}

		if (before === input.version) {
			return;
		}

		this.#table = RoutingTable.create(input);
		this.#input = input;
		this.#logger.info('Routing table in force.', {version: input.version, before, source, routes: input.routes.length, workspaces: this.#table.workspaceCount});
		this.#tell({type: 'table', input}, source);
	}

	applyEndpointChanges(changes: readonly EndpointChange[], source: BeliefSource, now: number): void {
		const before = this.#directory;
		this.#directory = before.apply(changes, now);
		this.#announce(before, changes, source);
		this.#tellEra(before, source, now);
	}

	/**
	 * A whole reading of the store, made in an era: what it no longer names has ended, or is kept on trust where the store has come back from
	 * a copy. Returns how many are.
	 */
	offerAllEndpoints(changes: readonly EndpointChange[], era: number, now: number): number {
		const before = this.#directory;
		const ids = new Set(changes.flatMap(change => change.type === 'registered' ? [change.record.id] : []));
		this.#directory = before.apply(changes, now).applySnapshot(ids, era, now);
		this.#announce(before, [...changes, ...ended(before, this.#directory)], 'store');
		this.#tellEra(before, 'store', now);
		return this.#directory.unconfirmed(now).length;
	}

	prune(now: number): void {
		this.#directory = this.#directory.prune(now);
	}

	#announce(before: EndpointDirectory, changes: readonly EndpointChange[], source: BeliefSource): void {
		const news = changes.filter(change => this.#isNews(before, change));
		for (const change of news) {
			const entry = this.#directory.entries.get(idOf(change));
			this.#logger.info(entry?.endedAt === undefined ? 'Endpoint registered.' : 'Endpoint ended.', {
				endpoint: idOf(change), service: entry?.record.service, isLeaving: entry?.record.isLeaving, offset: change.offset, source,
			});
		}

		if (news.length > 0) {
			this.#tell({type: 'endpoints', changes: news}, source);
		}

		const reborn = [...new Set(news.map(change => idOf(change)))].filter(id => this.#isReborn(before, id));
		if (reborn.length > 0) {
			this.#logger.info('Endpoints started again under their ids.', {endpoints: reborn, source});
			this.#tell({type: 'reborn', ids: reborn}, source);
		}
	}

	#tellEra(before: EndpointDirectory, source: BeliefSource, now: number): void {
		const {era} = this.#directory;
		if (era <= before.era) {
			return;
		}

		const onTrust = this.#directory.unconfirmed(now).map(({record}) => record.id);
		this.#logger.info('Endpoints of a newer era.', {era, before: before.era, source, onTrust: onTrust.length, endpoints: onTrust.slice(0, mostNamed)});
		this.#tell({type: 'era', era}, source);
	}

	#isReborn(before: EndpointDirectory, id: string): boolean {
		const held = before.entries.get(id);
		const next = this.#directory.entries.get(id);
		return held !== undefined && next !== undefined && isLaterIncarnation(next.record, held.record);
	}

	#isNews(before: EndpointDirectory, change: EndpointChange): boolean {
		const held = before.entries.get(idOf(change));
		const next = this.#directory.entries.get(idOf(change));
		return next !== undefined && (held === undefined || (held.endedAt === undefined) !== (next.endedAt === undefined) || isLaterIncarnation(next.record, held.record) || isNamedAgain(held, next));
	}

	#tell(change: BeliefChange, source: BeliefSource): void {
		for (const listener of this.#listeners) {
			listener(change, source);
		}
	}
}

function idOf(change: EndpointChange): string {
	return change.type === 'registered' ? change.record.id : change.id;
}

/** Those that a whole reading has ended. */
function ended(before: EndpointDirectory, after: EndpointDirectory): EndpointChange[] {
	return [...after.entries.values()]
		.filter(({record, endedAt}) => endedAt !== undefined && before.entries.get(record.id)?.endedAt === undefined)
		.map(({record, registrations}) => ({type: 'removed', ...positionOf(registrations), id: record.id}));
}

/** True if it is registered in a newer era than before. */
function isNamedAgain(held: EndpointEntry, next: EndpointEntry): boolean {
	return positionOf(next.registrations).era > positionOf(held.registrations).era;
}
