/**
 * Crashes that are not certain yet. Load pattern: endpoints fall silent under a request that comes several times a second, and it takes
 * seconds until their registrations end. If only certain crashes counted, the request would crash further endpoints all that time.
 *
 * The state is a set of newest statements by crash and request, so that they may arrive late, repeated and in any order.
 */
import {z} from 'zod';
import {type NamedCrash} from './blame.js';
import {maxNamed} from './records.js';

/** Whether an endpoint may have crashed with these requests. Times are milliseconds of the writer's clock. */
export const pendingRecordSchema = z.object({
	type: z.enum(['pending', 'dismissed']),
	crash: z.string().min(1).max(256),
	fingerprints: z.array(z.string().min(1).max(256)).max(maxNamed),
	time: z.number(),
});
export type PendingRecord = z.infer<typeof pendingRecordSchema>;

type PendingState = {readonly type: PendingRecord['type']; readonly time: number};

/** The newest statement for each crash and request. */
export type PendingCrashes = ReadonlyMap<string, ReadonlyMap<string, PendingState>>;

export const noPendingCrashes: PendingCrashes = new Map();

/** How long a pending crash counts; longer than a crashed endpoint stays registered. */
export const pendingMilliseconds = 10_000;
/** Differences of time that arise while instances pass a statement on; without this, a statement would be new at each of them, without end. */
const echoMilliseconds = 1000;
/** Pending crashes that are kept at most: more than endpoints fall silent within the time for which they count. */
const maxPendingCrashes = 1000;

/** Adds a record; the same state if it says nothing new. A dismissal counts unless the endpoint is suspected again later. */
export function foldPending(state: PendingCrashes, {type, crash, fingerprints, time}: PendingRecord): PendingCrashes {
	const before = state.get(crash) ?? new Map<string, PendingState>();
	const added = fingerprints.filter(fingerprint => isNewer({type, time}, before.get(fingerprint)));
	if (added.length === 0 || (!state.has(crash) && state.size >= maxPendingCrashes)) {
		return state;
	}

	return new Map(state).set(crash, new Map([...before, ...added.map(fingerprint => [fingerprint, {type, time}] as const)]));
}

/** Pending crashes that count against a request at a time, each as a record of its own. */
export function pendingRecordsOf(state: PendingCrashes, fingerprint: string, now: number): PendingRecord[] {
	return [...state].flatMap(([crash, requests]) => {
		const found = requests.get(fingerprint);
		return found?.type === 'pending' && now - found.time < pendingMilliseconds ? [{type: 'pending', crash, fingerprints: [fingerprint], time: found.time}] : [];
	});
}

/** Crashes that are pending at a time, with what may have caused them. */
export function pendingCrashes(state: PendingCrashes, now: number): NamedCrash[] {
	return [...state].flatMap(([crash, requests]) => {
		const pending = [...requests].filter(([, found]) => found.type === 'pending' && now - found.time < pendingMilliseconds);
		return pending.length === 0 ? [] : [{crash, time: Math.min(...pending.map(([, {time}]) => time)), fingerprints: pending.map(([fingerprint]) => fingerprint)}];
	});
}

/** Drops statements that no longer count. */
export function prunePending(state: PendingCrashes, now: number): PendingCrashes {
	const kept = [...state].filter(([, requests]) => [...requests.values()].some(({time}) => now - time < pendingMilliseconds));
	return kept.length === state.size ? state : new Map(kept);
}

function isNewer({type, time}: PendingState, known: PendingState | undefined): boolean {
	if (known === undefined) {
		return true;
	}

	return type === 'dismissed' && known.type === 'pending' ? time >= known.time : time > known.time + echoMilliseconds;
}
