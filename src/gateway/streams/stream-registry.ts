import {sha256} from '../../model/index.js';
import {rankByRendezvous} from '../../policy/hashing/index.js';
import {addOrigin, decideTakeUp, findOrigin, type OriginFinding, type StreamOrigin, type StreamOrigins, type TakeUp} from '../../policy/streams/index.js';
import {type PartLogger} from '../../telemetry/index.js';
import {type MessageOf} from '../../wire/index.js';
import {type BuildHistory} from './build-history.js';
import {StreamQuestion} from './stream-question.js';

/** A stream that a caller takes up: the id of the request that began it, if the caller names one. */
export type ResumedStream = {readonly request: string; readonly resumes: string | undefined; readonly workspace: string | undefined; readonly service: string};

/** The links to other instances, as the registry needs them. */
export type StreamPeers = {
	readonly linkedNames: readonly string[];
	sendTo(instance: string, message: MessageOf<'stream-origins'>): void;
};

export type StreamRegistryOptions = {
	readonly builds: Pick<BuildHistory, 'buildsOf' | 'currentBuildsOf' | 'whenRead'>;
	readonly peers: () => StreamPeers;
	readonly logger: PartLogger;
	/** Called with what became of a stream that a caller has taken up. */
	readonly onTakeUp: (reason: TakeUp['reason']) => void;
};

/** Other instances that keep a copy: one of them and the instance itself may be lost at the same time. */
const copies = 2;
/** Streams that begin within this time are told together. */
const batchMilliseconds = 20;
/** After a start, a caller that takes a stream up waits so long for what is stored to be read; a read takes a tenth of it. */
const readMilliseconds = 300;
/** Limit of the streams that one message names. */
const maxNamed = 500;

/**
 * Knows the build that began each stream: those of this instance, copies for others, and what the others answer. Without the copies, streams of an
 * instance that is killed could not go on; without the question, an instance would have to hold those of all.
 */
export class StreamRegistry implements Disposable {
	static create(options: StreamRegistryOptions): StreamRegistry {
		return new StreamRegistry(options);
	}

	readonly #options: StreamRegistryOptions;
	readonly #origins: StreamOrigins = new Map();
	/** Streams that the other instances are about to be told. */
	#untold: StreamOrigin[] = [];
	#timer: NodeJS.Timeout | undefined;
	/** Questions that are open, by stream. */
	readonly #questions = new Map<string, StreamQuestion>();

	private constructor(options: StreamRegistryOptions) {
		this.#options = options;
	}

	get size(): number {
		return this.#origins.size;
	}

	/** Records that an endpoint of a build has brought the first event of a stream. */
	recordBegun({request, workspace, service}: Omit<ResumedStream, 'resumes'>, build: string): void {
		const origin = {key: keyOf(workspace, request), build};
		if (addOrigin(this.#origins, origin, performance.now()) && this.#options.builds.buildsOf(service)?.size !== 1) {
			this.#untold.push(origin);
			this.#timer ??= setTimeout(() => {
				this.#tell();
			}, batchMilliseconds);
		}
	}

	/** Where a stream that its caller takes up may go on. */
	async takeUp(stream: ResumedStream): Promise<TakeUp> {
		const {logger, onTakeUp} = this.#options;
		const {request, resumes, workspace, service} = stream;
		const startedAt = performance.now();
		const finding = resumes === undefined ? {type: 'unknown' as const} : await this.#find(keyOf(workspace, resumes));
		const builds = finding.type === 'unknown' ? await this.#buildsOf(service) : this.#options.builds.buildsOf(service);
		const decision = decideTakeUp(finding, builds);
		onTakeUp(decision.reason);
		logger.info(decision.type === 'go-on' ? 'Stream goes on.' : 'Stream does not go on.', {
			request, resumes, service, reason: decision.reason, build: decision.type === 'go-on' ? decision.build : undefined, builds: builds && [...builds], waited: Math.round(performance.now() - startedAt),
		});
		return decision;
	}

	/** Handles what another instance tells or asks. */
	handleMessage({known, wanted, unknown}: MessageOf<'stream-origins'>, instance: string): void {
		const now = performance.now();
		for (const origin of known) {
			addOrigin(this.#origins, origin, now);
			this.#questions.get(origin.key)?.end();
		}

		for (const key of unknown) {
			this.#questions.get(key)?.recordUnknown(instance);
		}

		if (wanted.length > 0) {
			const answers = wanted.flatMap(key => this.#knownOrigins(key, now));
			const found = new Set(answers.map(({key}) => key));
			this.#options.peers().sendTo(instance, {type: 'stream-origins', known: answers, wanted: [], unknown: wanted.filter(key => !found.has(key))});
		}
	}

	[Symbol.dispose](): void {
		clearTimeout(this.#timer);
	}

	/**
	 * What is known of a stream, by this instance or those that it asks. It asks also while it knows one build only: another instance may have
	 * learned of a new one before, and used it.
	 */
	async #find(key: string): Promise<OriginFinding> {
		const own = findOrigin(this.#origins, key, performance.now());
		const {linkedNames} = this.#options.peers();
		if (own.type !== 'unknown' || linkedNames.length === 0) {
			return own;
		}

		await this.#ask(key, linkedNames);
		return findOrigin(this.#origins, key, performance.now());
	}

	/** Asks other instances about a stream; resolves once one knows it, none does, or there was time for an answer. */
	async #ask(key: string, names: readonly string[]): Promise<void> {
		const open = this.#questions.get(key);
		if (open !== undefined) {
			return open.ended;
		}

		const question = StreamQuestion.create(names);
		this.#questions.set(key, question);
		for (const name of names) {
			this.#options.peers().sendTo(name, {type: 'stream-origins', known: [], wanted: [key], unknown: []});
		}

		await question.ended;
		this.#questions.delete(key);
	}

	#knownOrigins(key: string, now: number): StreamOrigin[] {
		const finding = findOrigin(this.#origins, key, now);
		return finding.type === 'known' ? [{key, build: finding.build}] : [];
	}

	/** Tells some of the linked instances, a fixed choice for each stream so that a load of many is spread. */
	#tell(): void {
		this.#timer = undefined;
		const peers = this.#options.peers();
		const told = new Map<string, StreamOrigin[]>();
		for (const origin of this.#untold) {
			for (const name of rankByRendezvous(origin.key, peers.linkedNames).slice(0, copies)) {
				told.set(name, [...told.get(name) ?? [], origin]);
			}
		}

		this.#untold = [];
		for (const [name, known] of told) {
			peers.sendTo(name, {type: 'stream-origins', known: known.slice(0, maxNamed), wanted: [], unknown: []});
		}
	}

	/** Builds that may have begun a stream of a service; undefined if what is stored, now or before this instance started, cannot be read in a moment. */
	async #buildsOf(service: string): Promise<ReadonlySet<string> | undefined> {
		const {builds} = this.#options;
		if (builds.buildsOf(service) === undefined) {
			await Promise.race([builds.whenRead, sleep(readMilliseconds)]);
		}

		const known = builds.buildsOf(service);
		return known === undefined || known.size > 1 ? known : builds.currentBuildsOf(service);
	}
}

async function sleep(milliseconds: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds).unref();
	});
}

/** Workspaces choose the ids of their requests by themselves. A hash has one length, whatever theirs are: a longer key than a message may have would end the link. */
function keyOf(workspace: string | undefined, request: string): string {
	return sha256(`${workspace ?? ''}\n${request}`).slice(0, 32);
}
