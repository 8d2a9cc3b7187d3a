/**
 * The instances that may be serving, as one of them knows. Load pattern: an allowance of all instances together, such as that of
 * retries, is divided among them. A division by the instances that are linked fails when they lose each other: each of those that are cut
 * off counts itself alone and takes all of the allowance, at the very time at which requests fail everywhere.
 *
 * An instance therefore counts until it has certainly ended or is most probably gone. Its announcement or a link shows that it may serve. A
 * lost link shows nothing, since the network may have failed. A withdrawn announcement shows that it shuts down, and it counts
 * for the time that this takes. Counting an instance that has ended costs the others a small part of their shares.
 */

/** What was last known of an instance; times are milliseconds of the monotonic clock. */
export type InstanceSign
	= | {readonly type: 'announced'}
		| {readonly type: 'linked'}
	/** Its link was lost, or it does not respond to dials. */
		| {readonly type: 'lost'; readonly at: number}
		| {readonly type: 'withdrawn'; readonly at: number};

/** The last sign of each other instance, by name. */
export type PossibleInstances = ReadonlyMap<string, InstanceSign>;

/** `unlinked`: its link has ended because the two are no longer neighbours. */
export type InstanceEvent = {readonly type: InstanceSign['type'] | 'unlinked'; readonly instance: string};

/** An instance that was lost for this time is gone: regions lose each other for minutes, and a share must not be taken twice meanwhile. */
const goneMilliseconds = 60 * 60_000;

export const noPossibleInstances: PossibleInstances = new Map();

export function stepPossibleInstances(state: PossibleInstances, {type, instance}: InstanceEvent, now: number): PossibleInstances {
	const next = nextSign(state.get(instance), type, now);
	return next === undefined ? state : new Map(state).set(instance, next);
}

/** The sign after an event, or undefined if nothing changes. */
function nextSign(before: InstanceSign | undefined, type: InstanceEvent['type'], now: number): InstanceSign | undefined {
	switch (type) {
		case 'announced': {
			// An announcement stays in the store after its instance has ended without withdrawing it.
			return before === undefined || before.type === 'withdrawn' ? {type} : undefined;
		}

		case 'linked': {
			return {type};
		}

		case 'unlinked': {
			return before?.type === 'linked' ? {type: 'announced'} : undefined;
		}

		case 'lost': {
			return before === undefined || before.type === 'lost' || before.type === 'withdrawn' ? undefined : {type, at: now};
		}

		case 'withdrawn': {
			return {type, at: now};
		}
	}
}

/** The number of instances that may be serving, this one included; one that shuts down serves for `shutdownMilliseconds` more. */
export function countPossibleInstances(state: PossibleInstances, shutdownMilliseconds: number, now: number): number {
	return 1 + [...state.values()].filter(sign => mayServe(sign, shutdownMilliseconds, now)).length;
}

/** The state without the instances that have shut down. */
export function prunePossibleInstances(state: PossibleInstances, shutdownMilliseconds: number, now: number): PossibleInstances {
	return new Map([...state].filter(([, sign]) => sign.type === 'lost' || mayServe(sign, shutdownMilliseconds, now)));
}

function mayServe(sign: InstanceSign, shutdownMilliseconds: number, now: number): boolean {
	switch (sign.type) {
		case 'announced':
		case 'linked': {
			return true;
		}

		case 'lost': {
			return now - sign.at < goneMilliseconds;
		}

		case 'withdrawn': {
			return now - sign.at < shutdownMilliseconds;
		}
	}
}
