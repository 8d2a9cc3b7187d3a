import {z} from 'zod';
import {type LoadEvent, type Run} from './load.js';

/** Longer names than this come from nobody that keeps the protocol. */
const longestName = 256;
const mostParts = 64;

/**
 * Load as it travels between instances, checked on arrival. It is by far the most frequent message, so
 * it is checked by hand: the library's own object schemas cost several times as much for each event.
 */
export const loadEventSchema = z.custom<LoadEvent>(value => isLoadEvent(value), 'not a load event');

function isLoadEvent(value: unknown): boolean {
	const event = value as Partial<Record<string, unknown>> | undefined;
	switch (event?.type) {
		case 'placed': {
			return isRun(event.run as Partial<Run> | undefined);
		}

		case 'first-event': {
			return isName(event.id) && typeof event.isMeasured === 'boolean';
		}

		case 'ended': {
			return isName(event.id);
		}

		case 'owner-lost': {
			return isName(event.owner);
		}

		case 'endpoint-restarted': {
			return isName(event.endpoint);
		}

		default: {
			return false;
		}
	}
}

function isRun(run: Partial<Run> | undefined): boolean {
	return run !== undefined && isName(run.id) && isName(run.owner) && isName(run.endpoint) && isName(run.service)
		&& isCount(run.unreadTokens) && typeof run.isTight === 'boolean'
		&& Array.isArray(run.parts) && run.parts.length <= mostParts && run.parts.every(part => isName((part as {id?: unknown}).id) && isCount((part as {tokens?: unknown}).tokens));
}

function isName(value: unknown): boolean {
	return typeof value === 'string' && value.length > 0 && value.length <= longestName;
}

function isCount(value: unknown): boolean {
	return typeof value === 'number' && value >= 0;
}
