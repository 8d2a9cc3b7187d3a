import {EndpointDirectory, type EndpointChange, isYounger, RoutingTable, type RoutingTableInput} from '../routing/index.js';
import {type PartLogger} from '../telemetry/index.js';

/** What the process newly believes; only news, never a repetition. */
export type BeliefChange
	= | {readonly type: 'table'; readonly input: RoutingTableInput}
		| {readonly type: 'endpoints'; readonly changes: readonly EndpointChange[]}
	/** Endpoints that have started again under their ids. */
		| {readonly type: 'reborn'; readonly ids: readonly string[]};

/** Who told: the store or another instance. */
export type BeliefSource = 'store' | `instance ${string}`;

type Listener = (change: BeliefChange, source: BeliefSource) => void;

/**
 * The newest routing table and endpoints that anyone has told this process of. Failure: a slow reader
 * or a peer brings an older version after a newer one was used. Symptom: a key that was taken away
 * works again. Versions, offsets and revisions only move forward here, whoever tells.
 */
export class Beliefs {
	static create(logger: PartLogger): Beliefs {
		return new Beliefs(logger);
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

	offerTable(input: RoutingTableInput, source: BeliefSource): void {
		if (this.#table !== undefined && input.version <= this.#table.version) {
			return;
		}

		const before = this.#table?.version;
		this.#table = RoutingTable.create(input);
		this.#input = input;
		this.#logger.info('Routing table in force.', {version: input.version, before, source, routes: input.routes.length, workspaces: this.#table.workspaceCount});
		this.#tell({type: 'table', input}, source);
	}

	offerEndpoints(changes: readonly EndpointChange[], source: BeliefSource, now: number): void {
		const before = this.#directory;
		this.#directory = before.apply(changes, now);
		this.#announce(before, changes, source);
	}

	/** A whole reading of the store: what it no longer names has ended. */
	offerAllEndpoints(changes: readonly EndpointChange[], source: BeliefSource, now: number): void {
		const before = this.#directory;
		const ids = new Set(changes.flatMap(change => change.type === 'registered' ? [change.record.id] : []));
		this.#directory = before.apply(changes, now).retain(ids, now);
		this.#announce(before, [...changes, ...missing(before, ids)], source);
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

	#isReborn(before: EndpointDirectory, id: string): boolean {
		const held = before.entries.get(id);
		const next = this.#directory.entries.get(id);
		return held !== undefined && next !== undefined && isYounger(next.record, held.record);
	}

	#isNews(before: EndpointDirectory, change: EndpointChange): boolean {
		const held = before.entries.get(idOf(change));
		const next = this.#directory.entries.get(idOf(change));
		return next !== undefined && (held === undefined || (held.endedAt === undefined) !== (next.endedAt === undefined) || isYounger(next.record, held.record));
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

function missing(directory: EndpointDirectory, ids: ReadonlySet<string>): EndpointChange[] {
	return [...directory.entries.values()]
		.filter(({record, endedAt}) => endedAt === undefined && !ids.has(record.id))
		.map(({record, offset}) => ({type: 'removed', offset, id: record.id}));
}
