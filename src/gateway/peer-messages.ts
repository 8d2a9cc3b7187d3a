import {decodeLoad, type LoadEvent, unflattenParts} from '../policy/dispatch/index.js';
import {type EndpointChange, positionOf} from '../routing/index.js';
import {type Connection, type GatewayMessage} from '../wire/index.js';
import {type BeliefChange, type RoutingState} from './routing-state.js';
import {type KeptParts} from './prompt-cache-reader.js';

/** What ended within this time is told to whoever has read the endpoints lately: longer ago than any such reading. */
const recentMilliseconds = 20_000;

/** What a peer is told of a change of beliefs, if anything. */
export function messageOf(change: BeliefChange): GatewayMessage | undefined {
	switch (change.type) {
		case 'table': {
			return {type: 'routing-version', version: change.input.version};
		}

		case 'endpoints': {
			return {type: 'endpoints', changes: [...change.changes]};
		}

		case 'reborn':
		case 'era': {
			// Each instance sees it in the endpoints' records.
			return undefined;
		}
	}
}

/**
 * What a peer is told at first. Failure: all instances start together, and each tells each neighbour every endpoint. Symptom: small instances
 * are busy with lists that say what they have just read themselves, while callers come back. Who has read lately is told what
 * has ended since then. Who is used on trust alone is not passed on: word of it would be trusted anew, from one instance to the next.
 */
export function initialMessages({tableInput, directory}: RoutingState, {knowsEndpoints, now}: {readonly knowsEndpoints: boolean; readonly now: number}): GatewayMessage[] {
	const told = [...directory.entries.values()].filter(({unconfirmedUntil, endedAt}) => unconfirmedUntil === undefined && (!knowsEndpoints || (endedAt !== undefined && now - endedAt < recentMilliseconds)));
	const changes = told.map(({record, registrations, endedAt}): EndpointChange => endedAt === undefined || record.isLeaving
		? {type: 'registered', ...positionOf(registrations), record}
		: {type: 'removed', ...positionOf(registrations), id: record.id});
	return [
		...(tableInput === undefined ? [] : [{type: 'routing-version', version: tableInput.version} as const]),
		...(changes.length === 0 ? [] : [{type: 'endpoints', changes} as const]),
	];
}

/** Who sent a message, and what it changes here. */
export type Hearing = {
	readonly beliefs: RoutingState;
	readonly connection: Connection;
	readonly instance: string;
	readonly incarnation: string;
	readonly onVersion: (version: number) => void;
	readonly onLoad: (event: LoadEvent) => void;
	readonly onKept: (kept: KeptParts) => void;
};

/** Takes one message of a peer that has said hello. */
export function hear(message: Exclude<GatewayMessage, {type: 'gateway-hello'}>, {beliefs, connection, instance, incarnation, onVersion, onLoad, onKept}: Hearing): void {
	switch (message.type) {
		case 'routing-version': {
			onVersion(message.version);
			return;
		}

		case 'routing-wanted': {
			if (beliefs.tableInput !== undefined) {
				connection.send({type: 'routing', table: beliefs.tableInput});
			}

			return;
		}

		case 'routing': {
			beliefs.applyTable(message.table, `instance ${instance}`);
			return;
		}

		case 'endpoints': {
			beliefs.applyEndpointChanges(message.changes, `instance ${instance}`, performance.now());
			return;
		}

		case 'kept': {
			onKept({endpoint: message.endpoint, parts: unflattenParts(message.parts)});
			return;
		}

		case 'load': {
			const events = decodeLoad(message.rows, incarnation);
			if (events === undefined) {
				connection.close('a peer sent load that can\'t be read');
			}

			for (const event of events ?? []) {
				onLoad(event);
			}
		}
	}
}
