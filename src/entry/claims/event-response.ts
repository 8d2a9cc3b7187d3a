import {type CachedResponse} from '../../policy/claims/index.js';

/** A model's response as the events that its caller received. */
export type EventResponse = {readonly events: readonly string[]; readonly usage: string | undefined};

export function encodeEvents(response: EventResponse): CachedResponse {
	return {status: 200, headers: {}, body: new TextEncoder().encode(JSON.stringify(response))};
}

export function decodeEvents(cached: CachedResponse): EventResponse {
	return JSON.parse(new TextDecoder().decode(cached.body)) as EventResponse;
}
