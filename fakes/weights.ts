import {setTimeout as delay} from 'node:timers/promises';
import {z} from 'zod';
import {
	FakeServer, replyError, replyJson, serverFaultShape, type Exchange,
} from './server.js';

export const weightsFaultsSchema = z.strictObject({
	...serverFaultShape,
	/** How many fetches run at once before the store paces. */
	fetchesAtOnce: z.number().int().positive().default(2),
	retryAfterSeconds: z.number().positive().default(1),
	fetchMilliseconds: z.number().nonnegative().default(10),
});
export type WeightsFaults = z.infer<typeof weightsFaultsSchema>;

const modelBytes = 16_000_000_000;

/** A stand-in of the platform's weight store: rate-limited, and slow if told so. */
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
	/** Fetches that ended whole, as MODEL/VERSION. */
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
