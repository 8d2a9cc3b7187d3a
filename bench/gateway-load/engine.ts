import {type WorkerAnswer, type WorkerRequest} from '../../fakes/platform-worker.js';
import {kinds} from './callers.js';

/**
 * The reading of one engine: prompts one after the other at a pace, a beginning that it holds not again. Enough to make lines
 * at the gateways; its steps don't slow with what runs.
 */
export class ReadingModel {
	static create(tokensPerMillisecond: number): ReadingModel {
		return new ReadingModel(tokensPerMillisecond);
	}

	readonly #held = new Set<string>();
	readonly #tokensPerMillisecond: number;
	#freeAt = 0;

	private constructor(tokensPerMillisecond: number) {
		this.#tokensPerMillisecond = tokensPerMillisecond;
	}

	answer({path, headers}: WorkerRequest): WorkerAnswer {
		const kind = kinds.find(({name}) => path.startsWith(`/${name}/`))!;
		const [shared = ''] = String(headers['prefix-hash']).split(':', 1);
		const tokens = kind.ownTokens + (this.#held.has(shared) ? 0 : kind.sharedTokens);
		this.#held.add(shared);
		const now = performance.now();
		this.#freeAt = Math.max(now, this.#freeAt) + (tokens / this.#tokensPerMillisecond);
		return {type: 'events', count: kind.events, gapMilliseconds: kind.gapMilliseconds, firstAfterMilliseconds: this.#freeAt - now};
	}
}
