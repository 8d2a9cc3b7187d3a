import {initialStatements, type EndpointStatements, type ResponseStatements, stepStatements, type StatementsAction, type StatementsEvent} from '../policy/statements/index.js';
import {type EndpointRecord} from '../routing/index.js';
import {type PartLogger} from '../telemetry/index.js';
import {type RoutingState} from './routing-state.js';

export type StatementRegistryOptions = {readonly routingState: RoutingState; readonly logger: PartLogger};

/** A response of an endpoint as far as its statements go. */
export type StatingResponse = ResponseStatements & {readonly sentAt: number; readonly isComplete: boolean};

/** What each endpoint has stated about itself in its responses to this instance. */
export class StatementRegistry {
	static create(options: StatementRegistryOptions): StatementRegistry {
		return new StatementRegistry(options);
	}

	readonly #options: StatementRegistryOptions;
	readonly #states = new Map<string, EndpointStatements>();
	/** Endpoints with a malformed statement that has been logged. */
	readonly #loggedMalformed = new Set<string>();
	/** Requests sent to each endpoint that states a rate limit, since it does. */
	readonly #sent = new Map<string, number>();

	private constructor(options: StatementRegistryOptions) {
		this.#options = options;
		options.routingState.onChange(change => {
			if (change.type === 'reborn') {
				for (const id of change.ids) {
					this.#forget(id);
				}
			}
		});
	}

	/** Number of endpoints with a rate limit in force. */
	get rateLimitedCount(): number {
		return this.#states.size;
	}

	/**
	 * Takes what a response says about the incarnation that the request was sent to. A response of an earlier incarnation that
	 * arrives after the next one has registered says nothing about the next one.
	 */
	recordResponse(record: EndpointRecord, {statements, malformed, ...response}: StatingResponse, now: number): void {
		const current = this.#options.routingState.directory.entries.get(record.id)?.record;
		if (current === undefined || current.bornAt !== record.bornAt) {
			return;
		}

		this.#logMalformed(record, malformed);
		if (statements.length > 0 || this.#states.has(record.id)) {
			this.#step(record, {type: 'response', statements, malformed, ...response}, now);
		}
	}

	/** Records that a request is sent to the endpoint. */
	recordSent({id}: EndpointRecord): void {
		if (this.#states.has(id)) {
			this.#sent.set(id, (this.#sent.get(id) ?? 0) + 1);
		}
	}

	/** Drops what is known of endpoints that the directory no longer contains. */
	prune(): void {
		for (const id of this.#states.keys()) {
			if (!this.#options.routingState.directory.entries.has(id)) {
				this.#forget(id);
			}
		}
	}

	#step(record: EndpointRecord, event: StatementsEvent, now: number): void {
		const {state, actions} = stepStatements(this.#states.get(record.id) ?? initialStatements, event, now);
		this.#states.set(record.id, state);
		for (const action of actions) {
			this.#log(record, action);
		}

		if (state.rateLimit === undefined) {
			this.#forget(record.id);
		}
	}

	#log({id, service}: EndpointRecord, action: StatementsAction): void {
		const sent = this.#sent.get(id) ?? 0;
		switch (action.type) {
			case 'stated': {
				const {statement: {requestsPerSecond}, before} = action;
				this.#options.logger.info('Endpoint states a rate limit.', {endpoint: id, service, requestsPerSecond, before: before?.requestsPerSecond, sent});
				return;
			}

			case 'withdrawn': {
				this.#options.logger.info('Endpoint states no rate limit any more.', {endpoint: id, service, before: action.statement.requestsPerSecond, sent, milliseconds: Math.round(action.milliseconds)});
			}
		}
	}

	#logMalformed({id, service}: EndpointRecord, malformed: readonly string[]): void {
		if (malformed.length > 0 && !this.#loggedMalformed.has(id)) {
			this.#loggedMalformed.add(id);
			this.#options.logger.warn('Ignored a malformed statement of an endpoint.', {endpoint: id, service, malformed});
		}
	}

	#forget(id: string): void {
		this.#states.delete(id);
		this.#loggedMalformed.delete(id);
		this.#sent.delete(id);
	}
}
