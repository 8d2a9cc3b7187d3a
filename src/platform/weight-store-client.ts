import {z} from 'zod';
import {PlatformError} from './error.js';
import {HttpCaller, type HttpClientSettings} from './http-caller.js';
import {type WeightStoreClient} from './types.js';

const fetchedSchema = z.object({bytes: z.number().nonnegative()});

/** The platform's weight store over HTTP. A fetch over the store's rate limit throws `PlatformError` with status 429 and the time to wait. */
export class HttpWeightStoreClient implements WeightStoreClient, AsyncDisposable {
	static create(settings: HttpClientSettings & {readonly endpoint: string}): HttpWeightStoreClient {
		return new HttpWeightStoreClient(settings);
	}

	readonly #caller: HttpCaller;
	readonly #endpoint: string;

	private constructor(settings: HttpClientSettings & {readonly endpoint: string}) {
		this.#caller = HttpCaller.create(settings);
		this.#endpoint = settings.endpoint;
	}

	async fetch(model: string, version: string, signal?: AbortSignal): Promise<{readonly bytes: number}> {
		const path = `/weights/${encodeURIComponent(model)}/${encodeURIComponent(version)}/fetch`;
		const {body} = await this.#caller.call({method: 'POST', path, body: {endpoint: this.#endpoint}, signal});
		const parsed = fetchedSchema.safeParse(body);
		if (!parsed.success) {
			throw PlatformError.create({type: 'malformed', reason: 'the response has no size'});
		}

		return parsed.data;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await this.#caller[Symbol.asyncDispose]();
	}
}
