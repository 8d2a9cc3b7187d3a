/**
 * Complete runs of requests that have crashed endpoints. Load pattern: a request ends most endpoints that run it, and some survive it. If one
 * complete run cleared it of everything, it would go on crashing the others; if no run counted, a request that many callers send alike would be
 * refused for ten minutes because endpoints failed beside it.
 *
 * Complete runs are therefore weighed against the times at which endpoints crashed. Without any run each endpoint counts, since a request that
 * arrives many times at once may crash several endpoints within moments; with some, endpoints that crash together count as one event, as they
 * do when a rack fails.
 *
 * The state is a set of largest counts by request and instance, so that records may arrive late, repeated and in any order.
 */
import {z} from 'zod';

const id = z.string().min(1).max(256);

/** How often a request has run to its end at an instance since the first crash that counts against it. */
export const runRecordSchema = z.object({fingerprint: id, instance: id, runs: z.number().int().positive()});
export type RunRecord = z.infer<typeof runRecordSchema>;

/** Runs by request and instance. */
export type CountedRuns = ReadonlyMap<string, InstanceRuns>;

export const noCountedRuns: CountedRuns = new Map();

/** Endpoints that crash within this time of the first one crash together. */
const eventMilliseconds = 700;
/** Complete runs that outweigh one event. Requests that share a part end together with their endpoint, so a part meets more crashes that it has not caused. */
const runsPerEvent = {request: 10, part: 1};
/** Runs of one request that an instance counts at most: more than outweigh all that may happen within the time for which crashes count. */
const maxRuns = 2000;
/** An instance tells its count once it has grown by this factor, so that the others know at least half of all runs. */
const toldFactor = 2;

/** Runs of one request, by instance. */
export type InstanceRuns = ReadonlyMap<string, number>;

/** Adds a record; the same state if it says nothing new. */
export function foldRuns(state: CountedRuns, record: RunRecord): CountedRuns {
	const known = state.get(record.fingerprint);
	const folded = foldInstanceRuns(known, record);
	return folded === known || folded === undefined ? state : new Map(state).set(record.fingerprint, folded);
}

/** Adds a record to the runs of its request; the same ones if it says nothing new. */
export function foldInstanceRuns(known: InstanceRuns | undefined, {instance, runs}: RunRecord): InstanceRuns | undefined {
	return runs <= (known?.get(instance) ?? 0) ? known : new Map(known).set(instance, runs);
}

/** All runs of a request that are known. */
export function countRuns(state: CountedRuns, fingerprint: string): number {
	let sum = 0;
	for (const runs of state.get(fingerprint)?.values() ?? []) {
		sum += runs;
	}

	return sum;
}

/** Drops the runs of requests against which nothing counts any more. */
export function pruneRuns(state: CountedRuns, isCounted: (fingerprint: string) => boolean): CountedRuns {
	return new Map([...state].filter(([fingerprint]) => isCounted(fingerprint)));
}

/** How many crashes count against a request or a part, by the times at which endpoints crashed with it and its complete runs. */
export function weighCrashes(times: readonly number[], runs: number, kind: keyof typeof runsPerEvent = 'request'): number {
	if (runs === 0) {
		return times.length;
	}

	const events = countEvents(times);
	return runs >= runsPerEvent[kind] * events ? 0 : events;
}

/** The count of an instance after one more run. */
export function countRun(runs: number): number {
	return Math.min(maxRuns, runs + 1);
}

/** Whether the other instances are to be told of a count, after one that they were told. */
export function isWorthTelling(runs: number, told: number): boolean {
	return runs >= told * toldFactor;
}

function countEvents(times: readonly number[]): number {
	let events = 0;
	let startedAt = -Infinity;
	for (const time of times.toSorted((left, right) => left - right)) {
		if (time - startedAt >= eventMilliseconds) {
			events += 1;
			startedAt = time;
		}
	}

	return events;
}
