/**
 * Load pattern: in a drill the store is away for a moment and comes back from a copy some seconds old. What was written since is gone, and
 * offsets are given out again. Told by offsets alone, a reader that was away goes on behind records that it never read: a key
 * that was taken away stays in use. Each answer of the store therefore carries its era, which only rises.
 */

/** What an answer said of its era. */
export type EraCheck
	= | {readonly type: 'same'; readonly era: number}
	/** The store has come back from a copy since the last answer. */
		| {readonly type: 'risen'; readonly era: number; readonly before: number}
	/** The answer was made before that: nothing in it counts. */
		| {readonly type: 'outdated'; readonly era: number; readonly said: number}
	/** It says none, or no number; it counts as of the era that is known. */
		| {readonly type: 'unreadable'; readonly era: number; readonly said: string | undefined};

/** The era of a store that has never said one. */
export const firstEra = 0;

/** The newest era that any answer named. */
export type KnownEra = {readonly era: number; readonly isReported: boolean};

export const unknownEra: KnownEra = {era: firstEra, isReported: false};

/** Takes what one answer said. A store that never says an era has just one. */
export function checkEra(known: KnownEra, said: string | undefined): EraCheck {
	const {era, isReported} = known;
	if (said === undefined && !isReported) {
		return {type: 'same', era};
	}

	if (said === undefined || !/^\d{1,15}$/v.test(said)) {
		return {type: 'unreadable', era, said};
	}

	const heard = Number(said);
	if (heard < era) {
		return {type: 'outdated', era, said: heard};
	}

	return heard > era && isReported ? {type: 'risen', era: heard, before: era} : {type: 'same', era: heard};
}

/** What is known after an answer. */
export function updateKnownEra(known: KnownEra, verdict: EraCheck, said: string | undefined): KnownEra {
	switch (verdict.type) {
		case 'same':
		case 'risen': {
			return {era: verdict.era, isReported: known.isReported || said !== undefined};
		}

		case 'outdated':
		case 'unreadable': {
			return known;
		}
	}
}
