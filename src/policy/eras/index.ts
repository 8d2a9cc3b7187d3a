/**
 * Load pattern: in a recovery drill the store is unavailable for a short time and is then restored from a backup that is some seconds
 * old. What was written since the backup is lost, and its offsets are assigned again. With offsets alone, a reader that missed the restore
 * would continue after records that it never read, and for example a revoked key would stay in use. Each response of the store therefore
 * carries its era: the store's generation number, which rises with each restore and never falls.
 */

/** What the era of one response means for the known era. */
export type EraCheck
	= | {readonly type: 'same'; readonly era: number}
	/** The store was restored from a backup since the last response. */
		| {readonly type: 'risen'; readonly era: number; readonly before: number}
	/** The response was created before the latest known restore, and has to be discarded. */
		| {readonly type: 'outdated'; readonly era: number; readonly said: number}
	/** The response names no era, or no valid number; it is treated as one of the known era. */
		| {readonly type: 'unreadable'; readonly era: number; readonly said: string | undefined};

/** The era of a store that has never named one. */
export const initialEra = 0;

/** The newest era that any response named. */
export type KnownEra = {readonly era: number; readonly isReported: boolean};

/** The known era before the first response. */
export const unknownEra: KnownEra = {era: initialEra, isReported: false};

/** Compares the era that one response reported with the known one. A store that never names an era has only one. */
export function checkEra(known: KnownEra, reported: string | undefined): EraCheck {
	const {era, isReported} = known;
	if (reported === undefined && !isReported) {
		return {type: 'same', era};
	}

	if (reported === undefined || !/^\d{1,15}$/v.test(reported)) {
		return {type: 'unreadable', era, said: reported};
	}

	const parsed = Number(reported);
	if (parsed < era) {
		return {type: 'outdated', era, said: parsed};
	}

	return parsed > era && isReported ? {type: 'risen', era: parsed, before: era} : {type: 'same', era: parsed};
}

/** The known era after a response. */
export function updateKnownEra(known: KnownEra, check: EraCheck, reported: string | undefined): KnownEra {
	switch (check.type) {
		case 'same':
		case 'risen': {
			return {era: check.era, isReported: known.isReported || reported !== undefined};
		}

		case 'outdated':
		case 'unreadable': {
			return known;
		}
	}
}
