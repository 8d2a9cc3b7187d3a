import {admissionOf, type Admission, askIntervalMilliseconds, initialStatements, statementsInForce, type EndpointStatement, type EndpointStatements, type RateLimitStatement, type ResponseStatements, stepStatements, type StatementsAction, type StatementsEvent} from '../../policy/statements/index.js';
import {type EndpointRecord} from '../../routing/index.js';
import {type PartLogger} from '../../telemetry/index.js';
import {type RoutingState} from '../table/index.js';

/** What a response to an instance has shown about the rate limit of one incarnation of an endpoint. */
export type RateLimitReport = {readonly endpoint: string; readonly bornAt: number | undefined; readonly rateLimit: RateLimitStatement | undefined; readonly observedAt: number};

/** One incarnation of an endpoint. */
export type EndpointIncarnation = {readonly endpoint: string; readonly bornAt: number | undefined};

/** The share that one instance has of an endpoint's rate limit. */
export type LentShare = EndpointIncarnation & {readonly requestsPerSecond: number};

export type StatementRegistryOptions = {
	readonly routingState: RoutingState;
	readonly logger: PartLogger;
	readonly random: () => number;
	/** Name of this instance, and of the others that may send to the same endpoints. */
	readonly instance: string;
	readonly instances: () => readonly string[];
	/** Called with what is to be sent to the other instances. */
	readonly onReport: (report: RateLimitReport) => void;
	/** Called with the endpoints whose shares of the other instances are wanted. */
	readonly onSharesWanted: (endpoints: readonly EndpointIncarnation[], now: number) => void;
};

/** A response of an endpoint as far as its statements go. */
export type StatingResponse = ResponseStatements & {readonly sentAt: number; readonly canWithdraw: boolean};

/** An endpoint that may not be sent to for this time, and the statement that says so. */
export type HeldByStatement = {readonly endpoint: string; readonly by: EndpointStatement['type']; readonly milliseconds: number};

/** An endpoint that has stated nothing is forgotten after this time; until then an older report of another instance is recognized as old. */
const silentMilliseconds = 10_000;

type Entry = {readonly state: EndpointStatements; readonly record: EndpointRecord; readonly sent: number};

/** What each endpoint states about itself, as responses to this instance and other instances say. */
export class StatementRegistry {
	static create(options: StatementRegistryOptions): StatementRegistry {
		return new StatementRegistry(options);
	}

	readonly #options: StatementRegistryOptions;
	readonly #entries = new Map<string, Entry>();
	/** When the other instances were last asked for their shares, by service. */
	readonly #askedAt = new Map<string, number>();
	/** Endpoints with a malformed statement that has been logged. */
	readonly #loggedMalformed = new Set<string>();

	private constructor(options: StatementRegistryOptions) {
		this.#options = options;
		options.routingState.onChange(change => {
			if (change.type === 'reborn') {
				for (const {id} of change.restarts) {
					this.#forget(id);
				}
			}
		});
	}

	/** Number of endpoints with a statement of this kind in force. */
	countOf(type: EndpointStatement['type'], now: number): number {
		return [...this.#entries.values()].filter(({state}) => statementsInForce(state, now).includes(type)).length;
	}

	/** Whether a request may be sent to the endpoint now. */
	admission(id: string, now: number): Admission {
		const entry = this.#entries.get(id);
		return entry === undefined ? {type: 'open'} : admissionOf(entry.state, now);
	}

	/** Endpoints of a service that may not be sent to now, for the log. */
	held(service: string, now: number): readonly HeldByStatement[] {
		return [...this.#entries.values()].filter(({record}) => record.service === service).flatMap(({record, state}) => {
			const admission = admissionOf(state, now);
			return admission.type === 'open' ? [] : [{endpoint: record.id, by: admission.by, milliseconds: Math.round(admission.until - now)}];
		});
	}

	/** True if the endpoint has stated something that is in force. */
	hasStatement(id: string, now: number): boolean {
		const entry = this.#entries.get(id);
		return entry !== undefined && statementsInForce(entry.state, now).length > 0;
	}

	/**
	 * Takes what a response says about the incarnation that the request was sent to. A response of an earlier incarnation that
	 * arrives after the next one has registered says nothing about the next one.
	 */
	recordResponse(record: EndpointRecord, response: StatingResponse, now: number): void {
		if (this.#currentRecord(record.id, record.bornAt) === undefined) {
			this.#logStale(record, response);
			return;
		}

		this.#logMalformed(record, response.malformed);
		if (response.statements.length > 0 || this.#entries.has(record.id)) {
			this.#step(record, {type: 'response', ...response}, now);
		}
	}

	/** Applies what another instance reports. */
	recordReport({endpoint, bornAt, rateLimit, observedAt}: RateLimitReport, now: number): void {
		const record = this.#currentRecord(endpoint, bornAt);
		if (record !== undefined) {
			this.#step(record, {type: 'reported', rateLimit, observedAt}, now);
		}
	}

	/** Records that a request is sent to the endpoint. */
	recordSent({id}: EndpointRecord, now: number): void {
		const entry = this.#entries.get(id);
		if (entry !== undefined) {
			this.#step(entry.record, {type: 'sent'}, now);
		}
	}

	/** Adapts the shares of rate limits to the instances that there are now. */
	handleFleetChange(now: number): void {
		for (const {record} of this.#entries.values()) {
			this.#step(record, {type: 'fleet-changed'}, now);
		}
	}

	/** Records that a request waits since no endpoint of its service may be sent to, and asks the other instances for their shares if it is time. */
	recordShort(service: string, now: number): void {
		const limited = [...this.#entries.values()].filter(({record, state}) => record.service === service && state.rateLimit !== undefined).map(({record}) => record);
		for (const record of limited) {
			this.#step(record, {type: 'short'}, now);
		}

		if (limited.length > 0 && now - (this.#askedAt.get(service) ?? -Infinity) >= askIntervalMilliseconds) {
			this.#askedAt.set(service, now);
			this.#options.onSharesWanted(limited.map(({id, bornAt}) => ({endpoint: id, bornAt})), now);
		}
	}

	/** Lends an instance those of the shares it asks for that are not needed here. */
	lendShares(by: string, endpoints: readonly EndpointIncarnation[], now: number): readonly LentShare[] {
		return endpoints.flatMap(({endpoint, bornAt}) => {
			const record = this.#entries.has(endpoint) ? this.#currentRecord(endpoint, bornAt) : undefined;
			const actions = record === undefined ? [] : this.#step(record, {type: 'asked', by}, now);
			return actions.flatMap(action => action.type === 'lend' ? [{endpoint, bornAt, requestsPerSecond: action.requestsPerSecond}] : []);
		});
	}

	/** Takes shares that another instance has lent. */
	recordLentShares(lender: string, shares: readonly LentShare[], {until, now}: {until: number; now: number}): void {
		for (const {endpoint, bornAt, requestsPerSecond} of shares) {
			const record = this.#entries.has(endpoint) ? this.#currentRecord(endpoint, bornAt) : undefined;
			if (record !== undefined && until > now) {
				this.#step(record, {type: 'lent', lender, requestsPerSecond, until}, now);
			}
		}
	}

	/** Ends what an instance has lent that is gone or has started again. */
	forgetLender(lender: string, now: number): void {
		for (const {record} of this.#entries.values()) {
			this.#step(record, {type: 'lender-lost', lender}, now);
		}
	}

	/** Drops endpoints that the directory no longer contains, and those that have long stated nothing. */
	prune(now: number): void {
		for (const [id, {state}] of this.#entries) {
			if (!this.#options.routingState.directory.entries.has(id) || (statementsInForce(state, now).length === 0 && now - state.rateLimitObservedAt > silentMilliseconds)) {
				this.#forget(id);
			}
		}

		for (const id of this.#loggedMalformed) {
			if (!this.#options.routingState.directory.entries.has(id)) {
				this.#loggedMalformed.delete(id);
			}
		}
	}

	/** The record of the endpoint if this incarnation is the newest one. */
	#currentRecord(id: string, bornAt: number | undefined): EndpointRecord | undefined {
		const record = this.#options.routingState.directory.entries.get(id)?.record;
		return record?.bornAt === bornAt ? record : undefined;
	}

	#step(record: EndpointRecord, event: StatementsEvent, now: number): readonly StatementsAction[] {
		const {instance, instances, random} = this.#options;
		const {state: before, sent} = this.#entries.get(record.id) ?? {state: initialStatements, sent: 0};
		const {state, actions} = stepStatements(before, event, {now, fleet: {endpoint: record.id, instance, instances: instances()}, draw: random()});
		this.#entries.set(record.id, {state, record, sent: sent + (event.type === 'sent' ? 1 : 0)});
		for (const action of actions) {
			this.#perform(record, action, {sent, now, isReported: event.type === 'reported'});
		}

		return actions;
	}

	#perform(record: EndpointRecord, action: StatementsAction, {sent, now, isReported}: {sent: number; now: number; isReported: boolean}): void {
		const {logger, onReport, routingState} = this.#options;
		const {id, service, bornAt} = record;
		switch (action.type) {
			case 'limited': {
				const {requestsPerSecond, before, share} = action;
				logger.info('Endpoint states a rate limit.', {endpoint: id, service, requestsPerSecond, before, share, isReported, sent});
				return;
			}

			case 'unlimited': {
				logger.info('Endpoint states no rate limit any more.', {endpoint: id, service, before: action.before, isReported, sent, milliseconds: Math.round(action.milliseconds)});
				return;
			}

			case 'leaving': {
				logger.info('Endpoint states that it leaves.', {endpoint: id, service});
				routingState.markLeaving(record, now);
				return;
			}

			case 'backing-off': {
				logger.info('Endpoint asks for a backoff.', {endpoint: id, service, milliseconds: Math.round(action.milliseconds), isLonger: action.isLonger});
				return;
			}

			case 'lend': {
				if (!action.isRenewal) {
					logger.info('Lent the share of an endpoint\'s rate limit.', {endpoint: id, service, to: action.to, requestsPerSecond: action.requestsPerSecond});
				}

				return;
			}

			case 'report': {
				onReport({endpoint: id, bornAt, rateLimit: action.rateLimit, observedAt: now});
			}
		}
	}

	#logStale({id, service, bornAt}: EndpointRecord, {statements}: StatingResponse): void {
		if (statements.length > 0) {
			this.#options.logger.info('Ignored statements of an earlier incarnation of an endpoint.', {endpoint: id, service, bornAt, statements});
		}
	}

	#logMalformed({id, service}: EndpointRecord, malformed: readonly string[]): void {
		if (malformed.length > 0 && !this.#loggedMalformed.has(id)) {
			this.#loggedMalformed.add(id);
			this.#options.logger.warn('Ignored a malformed statement of an endpoint.', {endpoint: id, service, malformed});
		}
	}

	#forget(id: string): void {
		this.#entries.delete(id);
	}
}
