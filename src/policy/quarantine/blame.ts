/**
 * Which requests, and which parts of prompts, crashes are blamed on. Load pattern: requests that share nothing but one part of their prompts crash
 * each endpoint that runs them. Judged as whole requests each of them is new, and they crash one endpoint after the other. Sound requests share
 * their other parts, and end with them in the same batch: if all that was there were blamed, the first part of most prompts would be refused.
 *
 * What separates the cause from its neighbours is that it never runs to its end, and that it is named by the crashes that the others are named by,
 * and by more. Crashes that such a cause explains do not count against what runs, nor against a request that fewer, or a
 * part that far fewer crashes name.
 */
import {isPart} from './prompt-part.js';

/** An endpoint crashed, or may have, while what these fingerprints stand for was there. */
export type NamedCrash = {readonly crash: string; readonly time: number; readonly fingerprints: readonly string[]};

/** Crashes by fingerprint. */
export type CrashIndex = {
	readonly byFingerprint: ReadonlyMap<string, readonly NamedCrash[]>;
	/** Fingerprints of enough crashes to be blamed: requests first, then parts, of each those of most crashes first. */
	readonly blamable: ReadonlySet<string>;
};

/** What is blamed and has never run, and the crashes that it explains. */
export type Explanation = {
	/** Crashes of each blamed request, and of all of them. */
	readonly requests: ReadonlyArray<ReadonlySet<string>>;
	readonly byRequests: ReadonlySet<string>;
	/** Crashes of blamed parts, with the number of crashes that name the part of most. */
	readonly byParts: ReadonlyMap<string, number>;
};

/**
 * Crashes that quarantine a request. Requests run beside each other, and a request that is sent again after a crash may meet a second one by chance;
 * with each further crash chance explains it less.
 */
const requestThreshold = 3;
/** Crashes that quarantine a part: more than one request meets with all its attempts and those of its caller's retry. */
const partThreshold = 5;
/** A part is explained by a request that brings it, or by another part, although so many more crashes name it: endpoints end for other reasons, too. */
const strayCrashes = 1;
/**
 * A part explains those crashes of another one that has not run either only if it has this many times its crashes. Two parts that crash endpoints at
 * the same time are named by much the same crashes; if one hid the other, that one would go on until it had been seen alone often enough.
 */
const explainingFactor = 2;

/** How many crashes quarantine what a fingerprint stands for. */
export function crashThresholdOf(fingerprint: string): number {
	return isPart(fingerprint) ? partThreshold : requestThreshold;
}

/** Orders crashes by what may have caused them. */
export function indexCrashes(crashes: Iterable<NamedCrash>): CrashIndex {
	const byFingerprint = new Map<string, NamedCrash[]>();
	for (const crash of crashes) {
		for (const fingerprint of crash.fingerprints) {
			const named = byFingerprint.get(fingerprint);
			if (named === undefined) {
				byFingerprint.set(fingerprint, [crash]);
			} else {
				named.push(crash);
			}
		}
	}

	const count = (fingerprint: string): number => byFingerprint.get(fingerprint)!.length;
	const blamable = [...byFingerprint.keys()]
		.filter(fingerprint => count(fingerprint) >= crashThresholdOf(fingerprint))
		.toSorted((left, right) => Number(isPart(left)) - Number(isPart(right)) || count(right) - count(left));
	return {byFingerprint, blamable: new Set(blamable)};
}

/** Finds what explains crashes, given how often what a fingerprint stands for has run to its end. */
export function explainCrashes(index: CrashIndex, runsOf: (fingerprint: string) => number): Explanation {
	const requests: Array<ReadonlySet<string>> = [];
	const byRequests = new Set<string>();
	const byParts = new Map<string, number>();
	for (const fingerprint of [...index.blamable].filter(one => runsOf(one) === 0)) {
		const crashes = crashesAgainst(index, {requests, byRequests, byParts}, {fingerprint, runs: 0});
		if (crashes.length < crashThresholdOf(fingerprint)) {
			continue;
		}

		if (!isPart(fingerprint)) {
			const named = new Set(crashes.map(({crash}) => crash));
			requests.push(named);
			for (const crash of named) {
				byRequests.add(crash);
			}

			continue;
		}

		const named = index.byFingerprint.get(fingerprint)!;
		for (const {crash} of named) {
			byParts.set(crash, Math.max(named.length, byParts.get(crash) ?? 0));
		}
	}

	return {requests, byRequests, byParts};
}

/** The crashes that count against a fingerprint, without those that something else explains. */
export function crashesAgainst({byFingerprint}: CrashIndex, {requests, byRequests, byParts}: Explanation, {fingerprint, runs}: {fingerprint: string; runs: number}): readonly NamedCrash[] {
	const named = byFingerprint.get(fingerprint) ?? [];
	if (runs > 0) {
		return named.filter(({crash}) => !byParts.has(crash) && !byRequests.has(crash));
	}

	if (!isPart(fingerprint)) {
		return named.filter(({crash}) => (byParts.get(crash) ?? 0) <= named.length);
	}

	// A request that comes again and again brings its parts each time; other requests with them may be sound.
	const isOfRequest = requests.some(crashes => named.filter(({crash}) => !crashes.has(crash)).length <= strayCrashes);
	const isOfPart = named.filter(({crash}) => (byParts.get(crash) ?? 0) < named.length * explainingFactor).length <= strayCrashes;
	return isOfRequest || isOfPart ? [] : named;
}
