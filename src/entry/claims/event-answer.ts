import {type KeptAnswer} from '../../policy/claims/index.js';

/** A model's answer as the events that its caller got. */
export type EventAnswer = {readonly events: readonly string[]; readonly usage: string | undefined};

export function keepEvents(answer: EventAnswer): KeptAnswer {
	return {status: 200, headers: {}, body: new TextEncoder().encode(JSON.stringify(answer))};
}

export function eventsOf(kept: KeptAnswer): EventAnswer {
	return JSON.parse(new TextDecoder().decode(kept.body)) as EventAnswer;
}
