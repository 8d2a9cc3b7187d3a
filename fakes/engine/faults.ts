import {z} from 'zod';
import {serverFaultShape} from '../server.js';

const count = z.number().int().nonnegative().default(0);

/** Faults of an engine. Counts say how many of the next events or streams get the fault. */
export const engineFaultsSchema = z.strictObject({
	...serverFaultShape,
	/** Crashes after this many more tokens; 0 means never. */
	crashAfterTokens: count,
	/** A request whose prompt contains this text crashes the engine when it starts; empty means none does. */
	poison: z.string().default(''),
	/** Time from a crash to the restart; 0 means the engine stays down until `start`. */
	restartMilliseconds: z.number().nonnegative().default(0),
	slowFactor: z.number().positive().default(1),
	/** Accepts requests and produces no tokens. */
	frozen: z.boolean().default(false),
	/** An event is written to another running request's stream instead of its own. */
	crossEvents: count,
	/** An event of an already finished request precedes the right one. */
	lateEvents: count,
	duplicateEvents: count,
	/** An event with an unknown request id precedes the right one. */
	foreignEvents: count,
	dropEvents: count,
	/** Ends the response cleanly in its middle, without `[DONE]`. */
	truncateStreams: count,
	/** Refuses with 429 before the request runs. */
	refuseRequests: count,
	/** Reported by `/load` instead of the real load. */
	wrongLoad: z.strictObject({running: z.number(), waiting: z.number(), memoryUsed: z.number(), stepMilliseconds: z.number()}).optional(),
	loadLagMilliseconds: z.number().nonnegative().default(200),
});
export type EngineFaults = z.infer<typeof engineFaultsSchema>;
