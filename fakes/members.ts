import {createHash} from 'node:crypto';
import {z} from 'zod';
import {memberSchema, type Member} from '../src/platform/index.js';
import {
	FakeServer, readJson, replyError, replyJson, serverFaultShape, type Exchange,
} from './server.js';

export const membersFaultsSchema = z.strictObject({
	...serverFaultShape,
	/** The list is returned as it was this long ago. */
	lagMilliseconds: z.number().nonnegative().default(0),
	/** Instances that exist but are left out of the list. */
	hidden: z.array(z.string()).default([]),
	/** Members in the list that do not exist. */
	phantoms: z.array(memberSchema).default([]),
});
export type MembersFaults = z.infer<typeof membersFaultsSchema>;

type Version = {readonly since: number; readonly members: ReadonlyMap<string, Member>};

/** A stand-in for the platform's membership list. The code that starts instances registers them here. */
export class FakeMembers implements AsyncDisposable {
	static async create(settings: {port?: number; faults?: Partial<MembersFaults>} = {}): Promise<FakeMembers> {
		const members = new FakeMembers(membersFaultsSchema.parse(settings.faults ?? {}));
		members.#server = await FakeServer.create({
			port: settings.port ?? 0,
			faults: members.faults,
			parseFaults: value => membersFaultsSchema.parse(value),
			handle: exchange => members.#handle(exchange),
		});
		return members;
	}

	readonly faults: MembersFaults;
	/** All versions of the list, oldest first. Never pruned, since few accumulate during a test. */
	readonly #versions: Version[] = [{since: 0, members: new Map()}];
	#server: FakeServer<MembersFaults> | undefined;

	private constructor(faults: MembersFaults) {
		this.faults = faults;
	}

	get url(): string {
		return this.#server!.url;
	}

	/** Adds a member or replaces its state. */
	set(member: Member): void {
		this.#change(members => members.set(member.instance, member));
	}

	remove(instance: string): void {
		this.#change(members => members.delete(instance));
	}

	/** Returns the list as it appears now, with the faults applied. */
	visibleMembers(): readonly Member[] {
		const moment = Date.now() - this.faults.lagMilliseconds;
		const version = this.#versions.findLast(candidate => candidate.since <= moment) ?? this.#versions[0]!;
		const listed = [...version.members.values()].filter(member => !this.faults.hidden.includes(member.instance));
		return [...listed, ...this.faults.phantoms];
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await this.#server?.[Symbol.asyncDispose]();
	}

	#change(edit: (members: Map<string, Member>) => unknown): void {
		const members = new Map(this.#versions.at(-1)!.members);
		edit(members);
		this.#versions.push({since: Date.now(), members});
	}

	async #handle({method, path, request, response}: Exchange): Promise<void> {
		const [root, instance] = path;
		if (root !== 'members') {
			replyError(response, 404, 'no such path');
			return;
		}

		if (method === 'PUT') {
			this.set(memberSchema.parse({...await readJson(request) as Record<string, unknown>, instance}));
		} else if (method === 'DELETE' && instance !== undefined) {
			this.remove(instance);
		}

		const members = this.visibleMembers();
		const etag = `"${createHash('sha256').update(JSON.stringify(members)).digest('hex').slice(0, 16)}"`;
		if (request.headers['if-none-match'] === etag) {
			response.writeHead(304, {etag});
			response.end();
			return;
		}

		replyJson(response, 200, {members}, {etag});
	}
}
