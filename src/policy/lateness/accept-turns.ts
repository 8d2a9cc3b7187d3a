/**
 * Which turns of an event loop are left to connections that wait to be accepted.
 *
 * Load pattern: many callers open connections at an instance with a small part of a core. Node accepts one connection in a turn, and each turn also
 * begins the requests that it has read. Callers then wait for as many beginnings as there are connections before theirs, in a queue of the kernel
 * where neither deadlines nor urgency nor hang-ups are seen: they leave unread, or are answered after their route's timeout.
 *
 * After a turn that accepted a connection the next ones begin nothing, until one has accepted none or a limit is reached. While more come than the
 * instance can begin, that queue never empties: without a second limit, on the connections for each beginning, the processor would go to connections
 * and refusals, and the more callers came, the fewer would be served.
 */

/** Turns without a beginning in a row, at most. */
export const maxAcceptTurns = 16;
/** Connections that are accepted for each beginning in the long run: reading and refusing a request takes about a quarter of serving it, so that half of the time remains. */
export const acceptsPerBeginning = 4;
/** Connections that are accepted beyond that in a burst, as when callers of a lost instance come at once. */
const burstAccepts = 128;

/** What the next turn does: accept what waits, or begin a request. */
export type TurnUse = {readonly next: AcceptTurns; readonly type: 'accept' | 'begin'};

type AcceptState = {readonly hasAccepted: boolean; readonly turns: number; readonly credit: number};

/** The accepting turns of one event loop; immutable. */
export class AcceptTurns {
	static create(): AcceptTurns {
		return new AcceptTurns({hasAccepted: false, turns: 0, credit: burstAccepts});
	}

	readonly #state: AcceptState;

	private constructor(state: AcceptState) {
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

	/** The sockets of a turn were read. Where no request waits, accepting holds up none and is not counted. */
	endTurn(isWaiting = true): TurnUse {
		const {hasAccepted, turns} = this.#state;
		if (!isWaiting) {
			return {type: hasAccepted ? 'accept' : 'begin', next: new AcceptTurns({hasAccepted: false, turns: 0, credit: this.#state.credit})};
		}

		const credit = this.#state.credit - (hasAccepted ? 1 : 0);
		return hasAccepted && turns < maxAcceptTurns && credit > 0
			? {type: 'accept', next: new AcceptTurns({hasAccepted: false, turns: turns + 1, credit})}
			: {type: 'begin', next: new AcceptTurns({hasAccepted: false, turns: 0, credit: Math.min(burstAccepts, credit + acceptsPerBeginning)})};
	}
}
