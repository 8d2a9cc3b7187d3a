import {z} from 'zod';
import {serverFaultShape} from '../server.js';

const count = z.number().int().nonnegative().default(0);

/** Faults of an engine. Counts say how many of the next events or streams show the fault. */
export const engineFaultsSchema = z.strictObject({
	...serverFaultShape,
	/** Crashes after so many more tokens; 0 means never. */
	crashAfterTokens: count,
	/** A request whose body holds this text crashes the engine as it starts; empty means none does. */
	poison: z.string().default(''),
	/** After a crash the engine comes back so much later; 0 means it stays down until `start`. */
	restartMilliseconds: z.number().nonnegative().default(0),
	slowFactor: z.number().positive().default(1),
	/** Takes requests and produces nothing. */
	frozen: z.boolean().default(false),
	/** An event goes to another running request in place of its own. */
	crossEvents: count,
	/** An event of a request that ended earlier comes before the due one. */
	lateEvents: count,
	duplicateEvents: count,
	/** An event with an id that nobody asked for comes before the due one. */
	foreignEvents: count,
	dropEvents: count,
	/** Ends the answer cleanly in its middle, without `[DONE]`. */
	truncateStreams: count,
	/** Refuses with 429 before the request runs. */
	refuseRequests: count,
	/** Shown by `/load` in place of the truth. */
	wrongLoad: z.strictObject({running: z.number(), waiting: z.number(), memoryUsed: z.number(), stepMilliseconds: z.number()}).optional(),
	loadLagMilliseconds: z.number().nonnegative().default(200),
});
export type EngineFaults = z.infer<typeof engineFaultsSchema>;
