import {type CachedResponse} from '../../policy/claims/index.js';

/** A model's answer as the events that its caller got. */
export type EventAnswer = {readonly events: readonly string[]; readonly usage: string | undefined};

export function keepEvents(answer: EventAnswer): CachedResponse {
	return {status: 200, headers: {}, body: new TextEncoder().encode(JSON.stringify(answer))};
}

export function eventsOf(kept: CachedResponse): EventAnswer {
	return JSON.parse(new TextDecoder().decode(kept.body)) as EventAnswer;
}
