/**
 * Which builds may have begun a stream of a service that its caller takes up now.
 *
 * Load pattern: endpoints of one build have just been replaced by those of another when all instances are lost at once. The instances that start see
 * only the registrations of the new build, and callers take up streams that the earlier one began: what two builds write would be joined, with
 * nothing in the answer to show it. What instances have stored says which builds served before a start, for as long as streams may go on.
 */
import {originMilliseconds} from './origins.js';

/** A build's endpoint, and when its registration ended on the monotonic clock, if it has. */
export type ServedBuild = {readonly build: string; readonly endedAt: number | undefined};

/** What an instance knows of the builds of one service. Times are milliseconds of the monotonic clock. */
export type KnownBuilds = {
	/** Endpoints that are registered, or were since this instance started. */
	readonly served: readonly ServedBuild[];
	/**
	 * What was stored when this instance started, empty at the first start of all. Undefined while that is not read, and where nothing was stored: the
	 * instances that saw the builds before may have been lost before one of them had stored them.
	 */
	readonly stored: readonly string[] | undefined;
	readonly startedAt: number;
};

/** Builds that may have begun a stream, in the order of their names; undefined while that is not known. */
export function possibleBuilds({served, stored, startedAt}: KnownBuilds, now: number): ReadonlySet<string> | undefined {
	const recent = recentBuilds(served, now);
	if (now - startedAt >= originMilliseconds) {
		return sortedOnce(recent);
	}

	return stored && sortedOnce([...recent, ...stored]);
}

/** Builds that an instance that starts now has to know of. */
export function buildsToStore({served, stored = [], startedAt}: KnownBuilds, now: number): ReadonlySet<string> {
	return sortedOnce(now - startedAt >= originMilliseconds ? recentBuilds(served, now) : [...recentBuilds(served, now), ...stored]);
}

/**
 * Whether the builds of a service are to be stored, with what is stored now. A single one is, too: without it, an instance that starts cannot tell
 * whether the build that it sees has replaced another one while all instances were lost.
 */
export function isWorthStoring(builds: ReadonlySet<string>, stored: readonly string[] | undefined): boolean {
	return builds.size > 0 && (stored === undefined || JSON.stringify([...builds]) !== JSON.stringify([...sortedOnce(stored)]));
}

function recentBuilds(served: readonly ServedBuild[], now: number): string[] {
	return served.filter(({endedAt = Infinity}) => now - endedAt < originMilliseconds).map(({build}) => build);
}

function sortedOnce(builds: readonly string[]): ReadonlySet<string> {
	return new Set(builds.toSorted((left, right) => left < right ? -1 : 1));
}
