import {setTimeout as delay} from 'node:timers/promises';
import {z} from 'zod';
import {
	FakeServer, replyError, replyJson, serverFaultShape, type Exchange,
} from './server.js';

export const weightsFaultsSchema = z.strictObject({
	...serverFaultShape,
	/** How many fetches may run concurrently; further ones get 429. */
	fetchesAtOnce: z.number().int().positive().default(2),
	retryAfterSeconds: z.number().positive().default(1),
	fetchMilliseconds: z.number().nonnegative().default(10),
});
export type WeightsFaults = z.infer<typeof weightsFaultsSchema>;

const modelBytes = 16_000_000_000;

/** A stand-in for the platform's weight store, with a concurrency limit and a configurable fetch time. */
export class FakeWeights implements AsyncDisposable {
	static async create(settings: {port?: number; faults?: Partial<WeightsFaults>} = {}): Promise<FakeWeights> {
		const weights = new FakeWeights(weightsFaultsSchema.parse(settings.faults ?? {}));
		weights.#server = await FakeServer.create({
			port: settings.port ?? 0,
			faults: weights.faults,
			parseFaults: value => weightsFaultsSchema.parse(value),
			handle: exchange => weights.#handle(exchange),
		});
		return weights;
	}

	readonly faults: WeightsFaults;
	/** Completed fetches, as MODEL/VERSION. */
	readonly fetched: string[] = [];
	#running = 0;
	#server: FakeServer<WeightsFaults> | undefined;

	private constructor(faults: WeightsFaults) {
		this.faults = faults;
	}

	get url(): string {
		return this.#server!.url;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await this.#server?.[Symbol.asyncDispose]();
	}

	async #handle({method, path, response}: Exchange): Promise<void> {
		const [root, model, version, leaf] = path;
		if (method !== 'POST' || root !== 'weights' || leaf !== 'fetch') {
			replyError(response, 404, 'no such path');
			return;
		}

		if (this.#running >= this.faults.fetchesAtOnce) {
			replyError(response, 429, 'too many fetches', {'retry-after': String(this.faults.retryAfterSeconds)});
			return;
		}

		this.#running++;
		try {
			await delay(this.faults.fetchMilliseconds);
		} finally {
			this.#running--;
		}

		this.fetched.push(`${model}/${version}`);
		replyJson(response, 200, {bytes: modelBytes});
	}
}
