import {z} from 'zod';
import {PlatformError} from './error.js';
import {HttpCaller, type HttpClientSettings, statusNotModified} from './http-caller.js';
import {type Member, type MembershipClient} from './types.js';

/** One line of the list as it travels. */
export const memberSchema = z.object({
	instance: z.string().min(1),
	role: z.enum(['entry', 'side']),
	address: z.string().min(1),
	admin: z.string().optional(),
	zone: z.string().min(1),
	state: z.enum(['live', 'leaving']),
	endpoint: z.string().optional(),
	targets: z.array(z.string()).readonly().optional(),
});

const listSchema = z.object({members: z.array(z.unknown())});

/**
 * The platform's membership list over HTTP. A line that can't be read is left out, the rest is used.
 * The list is asked for with the version held, so that an unchanged one costs some hundred bytes: at
 * 950 instances the whole list is about 150 kB, and every process asks each second.
 */
export class HttpMembershipClient implements MembershipClient, AsyncDisposable {
	static create(settings: HttpClientSettings): HttpMembershipClient {
		return new HttpMembershipClient(settings);
	}

	readonly #caller: HttpCaller;
	#held: {readonly etag: string; readonly members: readonly Member[]} | undefined;

	private constructor(settings: HttpClientSettings) {
		this.#caller = HttpCaller.create(settings);
	}

	async list(signal?: AbortSignal): Promise<readonly Member[]> {
		const {status, body, etag} = await this.#caller.call({method: 'GET', path: '/members', signal, ifNoneMatch: this.#held?.etag});
		if (status === statusNotModified && this.#held !== undefined) {
			return this.#held.members;
		}

		const parsed = listSchema.safeParse(body);
		if (!parsed.success) {
			throw PlatformError.create({type: 'malformed', reason: 'the answer holds no list of members'});
		}

		const members = parsed.data.members.flatMap(line => {
			const member = memberSchema.safeParse(line);
			return member.success ? [member.data] : [];
		});
		this.#held = etag === undefined ? undefined : {etag, members};
		return members;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await this.#caller[Symbol.asyncDispose]();
	}
}
