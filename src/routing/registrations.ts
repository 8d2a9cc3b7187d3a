import {isAfterPosition, type LogPosition} from '../model/index.js';

/** The newest position in one era at which an incarnation was registered, and its highest revision in that era. */
export type Registration = LogPosition & {readonly revision: number};

/** The registrations of an incarnation, one for each era, the oldest first; never empty. */
export type Registrations = readonly Registration[];

/**
 * Number of eras kept for one incarnation. A few are enough, since the store is restored from a backup only in drills, not
 * every few minutes.
 */
const maxEras = 3;

/** The registrations after one more record of the incarnation; the same object if the record adds nothing. */
export function addRegistration(registrations: Registrations, {era, offset, revision}: Registration): Registrations {
	const existing = registrations.find(one => one.era === era);
	if (existing !== undefined && existing.offset >= offset && existing.revision >= revision) {
		return registrations;
	}

	const merged = {era, offset: Math.max(offset, existing?.offset ?? offset), revision: Math.max(revision, existing?.revision ?? revision)};
	return [...registrations.filter(one => one.era !== era), merged].toSorted((left, right) => left.era - right.era).slice(-maxEras);
}

/** The newest position over all eras. */
export function newestPosition(registrations: Registrations): LogPosition {
	return registrations.at(-1)!;
}

/**
 * Whether an incarnation is registered in spite of a removal of its record. In the era of the removal, it is if a later record exists.
 *
 * In a later era, the store may have been restored from a backup that still has the removed record; if this counted as a registration,
 * requests would go to an endpoint that has ended. A later era therefore counts only with a revision that the endpoint can't have written
 * before the removal.
 */
export function isRegisteredAfterRemoval(registrations: Registrations, tombstone: LogPosition): boolean {
	const maxRevisionBefore = Math.max(-Infinity, ...registrations.filter(({era}) => era <= tombstone.era).map(({revision}) => revision));
	return registrations.some(registration => registration.era === tombstone.era
		? isAfterPosition(registration, tombstone)
		: registration.era > tombstone.era && registration.revision > maxRevisionBefore);
}
