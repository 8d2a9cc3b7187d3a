import {z} from 'zod';
import {PlatformError} from './error.js';
import {HttpCaller, type HttpClientSettings, statusNotModified} from './http-caller.js';
import {type Member, type MembershipClient} from './types.js';

/** Schema of one member in the list. */
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
 * The platform's membership list over HTTP. Invalid members are skipped. Requests carry the entity tag
 * of the cached list, so that an unchanged list costs some hundred bytes: with 950 instances the whole
 * list is about 150 kB, and every process requests it each second.
 */
export class HttpMembershipClient implements MembershipClient, AsyncDisposable {
	static create(settings: HttpClientSettings): HttpMembershipClient {
		return new HttpMembershipClient(settings);
	}

	readonly #caller: HttpCaller;
	#cached: {readonly etag: string; readonly members: readonly Member[]} | undefined;

	private constructor(settings: HttpClientSettings) {
		this.#caller = HttpCaller.create(settings);
	}

	async list(signal?: AbortSignal): Promise<readonly Member[]> {
		const {status, body, etag} = await this.#caller.call({method: 'GET', path: '/members', signal, ifNoneMatch: this.#cached?.etag});
		if (status === statusNotModified && this.#cached !== undefined) {
			return this.#cached.members;
		}

		const parsed = listSchema.safeParse(body);
		if (!parsed.success) {
			throw PlatformError.create({type: 'malformed', reason: 'the response has no list of members'});
		}

		const members = parsed.data.members.flatMap(item => {
			const member = memberSchema.safeParse(item);
			return member.success ? [member.data] : [];
		});
		this.#cached = etag === undefined ? undefined : {etag, members};
		return members;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await this.#caller[Symbol.asyncDispose]();
	}
}
