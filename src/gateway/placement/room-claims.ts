import {type LoadEvent, type MemoryShortage, type RoomClaim} from '../../policy/dispatch/index.js';
import {type PlacementRequest} from './decision.js';

/** A request claims room once it has waited for it for this share of its time; room for it comes within the rest. */
const claimShare = 1 / 8;

/**
 * Only a request that needs more than this many mean runs hold has a claim: another one gets the room of the next runs
 * that end, and an engine that runs empty for it would serve nobody meanwhile.
 */
const largeRuns = 2;

type Claim = RoomClaim & {readonly requestId: string};

export type RoomClaimsOptions = {
	readonly owner: string;
	readonly nextRunId: () => string;
	/** What a run of an engine holds, on average. */
	readonly meanRunTokens: (endpoint: string) => number;
	/** Takes load events of this instance, which other instances are told of, too. */
	readonly publish: (event: LoadEvent) => void;
};

/**
 * Room that the large request which has waited longest keeps for itself. Load pattern: small requests always find room in the
 * memory that becomes free, at every instance, so that a large one would wait for ever. It is told of as a run that
 * holds its memory before it begins: no instance then fills that engine further, except for more urgent streams, until
 * what runs there has left enough. One claim at a time, so that no more than one engine runs empty for it.
 */
export class RoomClaims {
	static create(options: RoomClaimsOptions): RoomClaims {
		return new RoomClaims(options);
	}

	readonly #options: RoomClaimsOptions;
	#claim: Claim | undefined;

	private constructor(options: RoomClaimsOptions) {
		this.#options = options;
	}

	/** The claim of a request, if it has one. */
	of(requestId: string): RoomClaim | undefined {
		return this.#claim?.requestId === requestId ? this.#claim : undefined;
	}

	/** Gives the claim to the request that has waited longest for room, unless another one has it. */
	update(waiting: Iterable<PlacementRequest>, now: number): void {
		if (this.#claim !== undefined) {
			return;
		}

		let oldest: (PlacementRequest & {readonly memory: MemoryShortage}) | undefined;
		for (const request of waiting) {
			if (isClaimant(request, now) && this.#isLarge(request.memory) && request.arrivedAt < (oldest?.arrivedAt ?? Infinity)) {
				oldest = request;
			}
		}

		if (oldest !== undefined) {
			this.#place(oldest, oldest.memory);
		}
	}

	/** Releases the claim of a request that has its decision, or has left. */
	release(requestId: string): void {
		if (this.#claim?.requestId === requestId) {
			this.#options.publish({type: 'ended', id: this.#claim.runId});
			this.#claim = undefined;
		}
	}

	#isLarge({endpoint, neededTokens}: MemoryShortage): boolean {
		return neededTokens > this.#options.meanRunTokens(endpoint) * largeRuns;
	}

	/** The claimed run has no parts: it holds memory, and caches nothing. */
	#place({id: requestId, demand: {service, routeUrgency}}: PlacementRequest, {endpoint, neededTokens: tokens}: MemoryShortage): void {
		const {owner, nextRunId, publish} = this.#options;
		const id = nextRunId();
		this.#claim = {requestId, runId: id, endpoint, tokens};
		publish({type: 'placed', run: {id, owner, endpoint, service, prefillTokens: 0, outputTokens: tokens, urgency: routeUrgency, isLatencyCritical: false, parts: []}});
	}
}

function isClaimant(request: PlacementRequest, now: number): request is PlacementRequest & {readonly memory: MemoryShortage} {
	const {memory, arrivedAt, lastStartAt, demand} = request;
	return memory !== undefined && Number.isFinite(memory.milliseconds) && !demand.isLatencyCritical && now - arrivedAt >= (lastStartAt - arrivedAt) * claimShare;
}
