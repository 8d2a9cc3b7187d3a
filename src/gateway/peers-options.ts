import {type ZoneName} from '../model/index.js';
import {type LoadEvent} from '../policy/dispatch/index.js';
import {type FleetView} from '../policy/sharing/index.js';
import {type PartLogger} from '../telemetry/index.js';
import {type Security} from '../wire/index.js';
import {type RoutingState} from './routing-state.js';
import {type KeptParts} from './prompt-cache-reader.js';

/** Who this instance is among the others, and whom it tells what they say. */
export type PeersOptions = {
	readonly instance: string;
	readonly zone: ZoneName;
	/** New at each start of the process. */
	readonly incarnation: string;
	readonly host: string;
	readonly port: number;
	readonly security: Security;
	/** Addresses to try before anyone has announced itself; they may be stale. */
	readonly seeds: readonly string[];
	readonly routingState: RoutingState;
	readonly logger: PartLogger;
	readonly onLoad: (event: LoadEvent) => void;
	/** A peer read what an endpoint holds of prompts. */
	readonly onPromptCache: (kept: KeptParts) => void;
	/** Whether this instance has read the endpoints from the store lately. */
	readonly knowsEndpoints: () => boolean;
	/** A peer has read a newer routing table for long: this instance's own reading may hang. */
	readonly onStaleTable: () => void;
	/** How much of the fleet this instance hears of has changed. */
	readonly onView: (view: FleetView) => void;
};
