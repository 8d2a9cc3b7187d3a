/**
 * Which turns of an event loop are left to connections that wait to be accepted.
 *
 * Load pattern: many callers open connections at an instance with a small part of a core. Node accepts one connection in a turn, and each turn also
 * begins the requests that it has read. Callers then wait for as many beginnings as there are connections before theirs, in a queue of the kernel
 * where neither deadlines nor urgency nor hang-ups are seen: they leave unread, or are answered after their route's timeout.
 *
 * After a turn that accepted a connection the next ones begin nothing, until one has accepted none or the limit is reached; the limit keeps a flood of
 * connections from holding up every request.
 */

/** Turns without a beginning in a row, at most. */
export const maxAcceptTurns = 16;

/** What the next turn does: accept what waits, or begin a request. */
export type TurnUse = {readonly next: AcceptTurns; readonly type: 'accept' | 'begin'};

/** The accepting turns of one event loop; immutable. */
export class AcceptTurns {
	static create(): AcceptTurns {
		return new AcceptTurns({hasAccepted: false, turns: 0});
	}

	readonly #state: {readonly hasAccepted: boolean; readonly turns: number};

	private constructor(state: {readonly hasAccepted: boolean; readonly turns: number}) {
		this.#state = state;
	}

	/** Whether a connection was accepted since the last turn ended. */
	get hasAccepted(): boolean {
		return this.#state.hasAccepted;
	}

	/** A connection was accepted. */
	accept(): AcceptTurns {
		return new AcceptTurns({...this.#state, hasAccepted: true});
	}

	/** The sockets of a turn were read. */
	endTurn(): TurnUse {
		const {hasAccepted, turns} = this.#state;
		return hasAccepted && turns < maxAcceptTurns
			? {type: 'accept', next: new AcceptTurns({hasAccepted: false, turns: turns + 1})}
			: {type: 'begin', next: AcceptTurns.create()};
	}
}
