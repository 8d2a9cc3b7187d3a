import {type PlacementContext, propagationMilliseconds} from '../../policy/dispatch/index.js';
import {type TransferParameters} from '../../routing/index.js';

/** One megabit per second, in bits per millisecond. */
const bitsPerMillisecondPerMegabit = 1000;
const bitsPerByte = 8;

export type ContextInput = Omit<PlacementContext, 'propagationMilliseconds' | 'fetchTokensPerMillisecond'> & {
	/** Absent if engines do not transfer cached prompt parts to each other. */
	readonly transfer: TransferParameters | undefined;
};

/** The conditions under which a placement for a request of a service is chosen. */
export function createPlacementContext({transfer, zone, now, view, tuning}: ContextInput): PlacementContext {
	return {
		zone,
		now,
		view,
		tuning,
		propagationMilliseconds: propagationMilliseconds(view.links),
		fetchTokensPerMillisecond: transfer === undefined ? undefined : transfer.megabitsPerSecond * bitsPerMillisecondPerMegabit / bitsPerByte / transfer.bytesPerToken,
	};
}
