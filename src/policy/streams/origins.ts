/**
 * Which build (software version) of an endpoint began each stream. Load pattern: endpoints of several builds serve one service side by side while
 * they are replaced, streams break off with their endpoints, and callers take them up at other instances. What two builds write does not fit
 * together, so a stream that goes on must go on at the build that began it.
 *
 * A stream of which two builds are told is contradictory: its id was used twice, and it goes on nowhere.
 */
import {z} from 'zod';

const text = z.string().max(512);

/** The build that began a stream; `key` identifies the stream. */
export const streamOriginSchema = z.object({key: text.min(1), build: text});
export type StreamOrigin = z.infer<typeof streamOriginSchema>;

/** What is known of the build of a stream. */
export type OriginFinding = {readonly type: 'known'; readonly build: string} | {readonly type: 'unknown' | 'contradictory'};

type Known = {readonly builds: readonly string[]; readonly at: number};

/** Streams by key; the one that began first comes first. Times are milliseconds of the monotonic clock. */
export type StreamOrigins = Map<string, Known>;

/** A stream is taken up before its caller's deadline ends, which is well within this time. */
export const originMilliseconds = 60_000;
/** Streams that are remembered: those of a minute at a busy instance, and the copies that it keeps for others. */
const maxOrigins = 20_000;

/** Adds to the given streams what is known of one; false if it was known already. */
export function addOrigin(origins: StreamOrigins, {key, build}: StreamOrigin, now: number): boolean {
	const known = findCurrent(origins, key, now);
	if (known?.builds.includes(build) === true) {
		return false;
	}

	origins.delete(key);
	origins.set(key, {builds: [...known?.builds ?? [], build], at: now});
	removeOldest(origins, now);
	return true;
}

export function findOrigin(origins: StreamOrigins, key: string, now: number): OriginFinding {
	const {builds = []} = findCurrent(origins, key, now) ?? {};
	const [build] = builds;
	if (build === undefined) {
		return {type: 'unknown'};
	}

	return builds.length === 1 ? {type: 'known', build} : {type: 'contradictory'};
}

function findCurrent(origins: StreamOrigins, key: string, now: number): Known | undefined {
	const known = origins.get(key);
	return known !== undefined && now - known.at < originMilliseconds ? known : undefined;
}

function removeOldest(origins: StreamOrigins, now: number): void {
	for (const [key, {at}] of origins) {
		if (origins.size <= maxOrigins && now - at < originMilliseconds) {
			return;
		}

		origins.delete(key);
	}
}
