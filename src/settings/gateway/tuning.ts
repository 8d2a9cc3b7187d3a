import {z} from 'zod';
import {defaultTuning, type Tuning} from '../../policy/dispatch/index.js';

const cost = z.number().nonnegative();
const tuningSchema = z.strictObject({
	fetches: z.boolean(), fetchShare: cost, ordersBacklogs: z.boolean(), heedsLines: z.boolean(), heedsMemory: z.boolean(),
	roomMilliseconds: cost, tightFill: z.number().positive().max(1), learnsEngines: z.boolean(), outsideMilliseconds: cost,
	weighsKept: z.boolean(), spreadsPrefixes: z.boolean(),
}).partial();

/** What the settings of a deployment ask placement to weigh. */
export type PlacementSettings = {
	/** Room in the memory of engines, and which prompt parts they still keep. */
	readonly weighsMemory: boolean;
	/** Speeds of the engines of one service, where these are uneven. */
	readonly weighsSpeeds: boolean;
};

/** The placement weights of a deployment with these settings. */
export function tuningOf({weighsMemory, weighsSpeeds}: PlacementSettings): Tuning {
	return {
		...defaultTuning, heedsMemory: weighsMemory, weighsKept: weighsMemory, spreadsPrefixes: weighsMemory,
		learnsEngines: weighsSpeeds ? defaultTuning.learnsEngines : false,
	};
}

/** Parses placement weights from JSON; missing fields keep these defaults. For benchmarks only. Throws an error that describes invalid JSON or fields. */
export function parseTuning(text: string | undefined, defaults: Tuning = defaultTuning): Tuning {
	if (text === undefined) {
		return defaults;
	}

	try {
		return {...defaults, ...tuningSchema.parse(JSON.parse(text))};
	} catch (error) {
		throw new Error(`CASSIAFLOW_TUNING is not a JSON object of weights: ${error instanceof z.ZodError ? z.prettifyError(error) : String(error)}`, {cause: error});
	}
}
