import {type ZoneName} from '../../model/index.js';
import {type FleetView} from '../sharing/index.js';
import {type PromptPart} from './prefix-cache.js';
import {type Tuning} from './tuning.js';

/** What one request wants of an endpoint. */
export type Demand = {
	readonly service: string;
	/** 0 is the most urgent. */
	readonly urgency: number;
	/** The range of urgency among the service's requests that are not tight. */
	readonly urgencies: {readonly most: number; readonly least: number};
	readonly targetMilliseconds: number;
	readonly parts: readonly PromptPart[];
	readonly isLatencyCritical: boolean;
	/** The pause that must not be exceeded, where there is one. */
	readonly maxPauseMilliseconds: number | undefined;
	/** The shortest pause that any stream of the service must keep. */
	readonly strictestPauseMilliseconds: number;
	/** How long it has passed over free endpoints for a better one. */
	readonly waitedMilliseconds: number;
	/** Since the request arrived. */
	readonly elapsedMilliseconds: number;
	/** True if it holds back for someone more urgent who waits for the service at another instance. */
	readonly isOutranked: boolean;
};

/** An endpoint that may be used now. */
export type Candidate = {
	readonly id: string;
	readonly zone: ZoneName;
	readonly slots: number;
	readonly isEngine: boolean;
	/** The hash of its id: candidates come in the order of hashes, in which tight streams fill them. */
	readonly hash: number;
};

/** Another engine from which the chosen one takes a part of the prompt. */
export type Fetch = {readonly from: string; readonly tokens: number; readonly milliseconds: number};

/** Send it there now. */
export type Place = {
	readonly type: 'place';
	readonly endpoint: string;
	/** What it has to read, beside what it fetches. */
	readonly prefillTokens: number;
	readonly fetch: Fetch | undefined;
	/** From sending to the first event, or to the answer. */
	readonly expectedMilliseconds: number;
	/** What the endpoint that holds most of the prompt would have had to read. */
	readonly leastPrefillTokens: number;
};

/** None is good enough yet; the best is in about so long. */
export type Wait = {
	readonly type: 'wait';
	readonly endpoint: string;
	readonly milliseconds: number;
	/** True if one is free, but a better one is worth waiting for: others may take the free one. */
	readonly isDeferral: boolean;
};

export type Choice = Place | Wait;

/** When and from where a choice is made. */
export type PlacementContext = {
	readonly zone: ZoneName;
	readonly now: number;
	/** How much of the fleet this instance hears of. */
	readonly view: FleetView;
	/** Until this instance hears what a neighbour has sent somewhere. */
	readonly propagationMilliseconds: number;
	/** At which pace engines pass kept prompts to each other; absent where they don't. */
	readonly fetchTokensPerMillisecond?: number | undefined;
	readonly tuning: Tuning;
};
