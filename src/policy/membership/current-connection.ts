import {type Phase} from './phase.js';

/**
 * Which of several connections to one endpoint gets its new requests. Load pattern: the side of an endpoint (its sidecar process) is replaced at
 * another address while long streams run at the earlier one, which drains or still serves. If the newer connection ended the earlier one, all these
 * streams would break off although they go on; if each state report chose its own connection, requests would go back and forth. So no
 * connection is ended by another one: the newest that serves gets what is new, the others keep what they have begun, and each ends by what
 * it sees itself.
 */

/** A connection to an endpoint, by the last phase that its side has announced; none before the first announcement, which follows at once. */
export type ConnectionView = {readonly phase: Phase | undefined};

/** The connection for new requests, of those to one endpoint in the order of their establishment; `undefined` if there is none. */
export function chooseConnection<View extends ConnectionView>(views: readonly View[]): View | undefined {
	return views.findLast(({phase}) => phase === undefined || phase === 'serving') ?? views.at(-1);
}
