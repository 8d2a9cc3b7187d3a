/**
 * How long engines of a service generate, learned from runs that ended. Load pattern: the more requests an engine runs,
 * the more slowly it generates each token, and memory becomes free only as responses end. With a fixed pace, waits
 * would be expected to be over when they are not, and requests be sent to engines that are still full.
 */

/** Pace of an engine before any response has ended, about that of a large model. */
const initialMillisecondsPerToken = 20;
/** Output of a run of which it isn't known. */
const unknownOutputTokens = 100;
/** Weight of one ended run: about the last twenty count, some seconds of a busy service. */
const runWeight = 0.05;

type Times = {readonly millisecondsPerToken: number; readonly residenceMilliseconds: number | undefined};

/** What one run took: from its first event to its end, and from its placement to its end. */
export type GenerationSample = {readonly outputTokens: number; readonly milliseconds: number; readonly residenceMilliseconds: number};

/** Learned times of each service. */
export class GenerationTimes {
	static create(): GenerationTimes {
		return new GenerationTimes();
	}

	readonly #services = new Map<string, Times>();

	/** Time that a run of the service takes to generate this many tokens; 0 stands for an unknown number. */
	milliseconds(service: string, outputTokens: number): number {
		return (this.#services.get(service)?.millisecondsPerToken ?? initialMillisecondsPerToken) * (outputTokens === 0 ? unknownOutputTokens : outputTokens);
	}

	/** Time from the placement of a run to its end; undefined before the first run has ended. */
	residenceMilliseconds(service: string): number | undefined {
		return this.#services.get(service)?.residenceMilliseconds;
	}

	record(service: string, {outputTokens, milliseconds, residenceMilliseconds}: GenerationSample): void {
		const perToken = milliseconds / (outputTokens === 0 ? unknownOutputTokens : outputTokens);
		const before = this.#services.get(service);
		this.#services.set(service, {
			millisecondsPerToken: averaged(before?.millisecondsPerToken, perToken),
			residenceMilliseconds: averaged(before?.residenceMilliseconds, residenceMilliseconds),
		});
	}
}

function averaged(before: number | undefined, sample: number): number {
	return before === undefined ? sample : before + ((sample - before) * runWeight);
}
