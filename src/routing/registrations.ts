import {isAfterPosition, type LogPosition} from '../model/index.js';

/** The newest place in one era at which an incarnation was registered, and the highest revision there. */
export type Registered = LogPosition & {readonly revision: number};

/** Where an incarnation was registered, one for each era, the oldest first; never empty. */
export type Registrations = readonly Registered[];

/** Eras that are remembered of one incarnation: the store comes back from a copy in drills, not by the minute. */
const mostEras = 3;

/** With one more record of the incarnation; the same object if it says nothing new. */
export function addRegistered(registrations: Registrations, {era, offset, revision}: Registered): Registrations {
	const held = registrations.find(one => one.era === era);
	if (held !== undefined && held.offset >= offset && held.revision >= revision) {
		return registrations;
	}

	const merged = {era, offset: Math.max(offset, held?.offset ?? offset), revision: Math.max(revision, held?.revision ?? revision)};
	return [...registrations.filter(one => one.era !== era), merged].toSorted((left, right) => left.era - right.era).slice(-mostEras);
}

/** The newest place of all. */
export function newestPlace(registrations: Registrations): LogPosition {
	return registrations.at(-1)!;
}

/**
 * Whether an incarnation is registered although its record was removed somewhere. In the removal's own era a later record says so.
 *
 * Failure: an endpoint's record was removed, the store comes back from a copy that still has it, and it counts as registered again.
 * Symptom: requests go to an endpoint that has ended. A later era brings it back only by a revision that the endpoint can't have written
 * before the removal.
 */
export function outlivesRemoval(registrations: Registrations, removal: LogPosition): boolean {
	const before = Math.max(-Infinity, ...registrations.filter(({era}) => era <= removal.era).map(({revision}) => revision));
	return registrations.some(registered => registered.era === removal.era
		? isAfterPosition(registered, removal)
		: registered.era > removal.era && registered.revision > before);
}
