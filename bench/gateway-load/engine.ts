import {type WorkerAnswer, type WorkerRequest} from '../../fakes/platform-worker.js';
import {kinds} from './callers.js';

/**
 * The prefill of one engine: prompts one after the other at a fixed rate, without the tokens of cached prefixes. Sufficient
 * to build up queues at the gateways; decode steps don't slow down with the number of running requests.
 */
export class PrefillModel {
	static create(tokensPerMillisecond: number): PrefillModel {
		return new PrefillModel(tokensPerMillisecond);
	}

	readonly #cachedPrefixes = new Set<string>();
	readonly #tokensPerMillisecond: number;
	#freeAt = 0;

	private constructor(tokensPerMillisecond: number) {
		this.#tokensPerMillisecond = tokensPerMillisecond;
	}

	answer({path, headers}: WorkerRequest): WorkerAnswer {
		const kind = kinds.find(({name}) => path.startsWith(`/${name}/`))!;
		const [prefix = ''] = String(headers['prefix-hash']).split(':', 1);
		const tokens = kind.ownTokens + (this.#cachedPrefixes.has(prefix) ? 0 : kind.sharedTokens);
		this.#cachedPrefixes.add(prefix);
		const now = performance.now();
		this.#freeAt = Math.max(now, this.#freeAt) + (tokens / this.#tokensPerMillisecond);
		return {type: 'events', count: kind.events, gapMilliseconds: kind.gapMilliseconds, firstAfterMilliseconds: this.#freeAt - now};
	}
}
