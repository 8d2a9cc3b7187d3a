/**
 * How many tokens a request will generate, by its caller's own word and by what its route lately took. Load pattern:
 * callers state the most tokens they would take, or nothing, and their responses are a tenth as long: by their word
 * alone an engine's memory would be taken for full at a third of its load; without any estimate it would be filled with
 * prompts whose responses then have no room.
 */

/** Weight of one response: about the last twenty of a route count. */
const responseWeight = 0.05;

type RouteOutput = {
	/** Tokens of a response. */
	readonly tokens: number;
	/** Tokens of a response in relation to what its caller had stated; undefined where none has. */
	readonly statedShare: number | undefined;
};

/** Learned output of each route. */
export class OutputEstimates {
	static create(): OutputEstimates {
		return new OutputEstimates();
	}

	readonly #routes = new Map<string, RouteOutput>();

	/** Tokens that a request of the route is expected to generate; `statedTokens` is what its caller states, 0 for nothing. */
	expectedTokens(route: string, statedTokens: number): number {
		const learned = this.#routes.get(route);
		return statedTokens === 0 ? Math.round(learned?.tokens ?? 0) : Math.ceil(statedTokens * Math.min(1, learned?.statedShare ?? 1));
	}

	/** Records the length of a complete response. */
	record(route: string, {statedTokens, tokens}: {readonly statedTokens: number; readonly tokens: number}): void {
		const before = this.#routes.get(route);
		this.#routes.set(route, {
			tokens: averaged(before?.tokens, tokens),
			statedShare: statedTokens === 0 ? before?.statedShare : averaged(before?.statedShare, tokens / statedTokens),
		});
	}
}

function averaged(before: number | undefined, sample: number): number {
	return before === undefined ? sample : before + ((sample - before) * responseWeight);
}
