import {rankByRendezvous} from '../policy/hashing/index.js';
import {addOrigin, decideTakeUp, findOrigin, type OriginFinding, originMilliseconds, type StreamOrigin, type StreamOrigins, type TakeUp} from '../policy/streams/index.js';
import {buildOf} from '../routing/index.js';
import {type PartLogger} from '../telemetry/index.js';
import {type MessageOf} from '../wire/index.js';
import {type RoutingState} from './routing-state.js';

/** A stream that a caller takes up: the id of the request that began it, if the caller names one. */
export type ResumedStream = {readonly request: string; readonly resumes: string | undefined; readonly workspace: string | undefined; readonly service: string};

/** The links to other instances, as the registry needs them. */
export type StreamPeers = {
	readonly linkedNames: readonly string[];
	sendTo(instance: string, message: MessageOf<'stream-origins'>): void;
};

export type StreamRegistryOptions = {
	readonly routingState: RoutingState;
	readonly peers: () => StreamPeers;
	readonly logger: PartLogger;
	/** Called with what became of a stream that a caller has taken up. */
	readonly onTakeUp: (reason: TakeUp['reason']) => void;
};

/** Other instances that keep a copy: one of them and the instance itself may be lost at the same time. */
const copies = 2;
/** Streams that begin within this time are told together. */
const batchMilliseconds = 20;
/** How long another instance may take to answer; a busy one answers after some turns of its event loop. */
const answerMilliseconds = 250;
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
	/** Take-ups that wait for an answer, by stream. */
	readonly #waiting = new Map<string, Set<() => void>>();

	private constructor(options: StreamRegistryOptions) {
		this.#options = options;
	}

	get size(): number {
		return this.#origins.size;
	}

	/** Records that an endpoint of a build has brought the first event of a stream. */
	recordBegun({request, workspace, service}: Omit<ResumedStream, 'resumes'>, build: string): void {
		const origin = {key: keyOf(workspace, request), build};
		if (addOrigin(this.#origins, origin, performance.now()) && this.#buildsOf(service).size > 1) {
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
		const finding = resumes === undefined ? {type: 'unknown' as const} : await this.#find(keyOf(workspace, resumes), service);
		const builds = this.#buildsOf(service);
		const decision = decideTakeUp(finding, builds);
		onTakeUp(decision.reason);
		logger.info(decision.type === 'go-on' ? 'Stream goes on.' : 'Stream does not go on.', {
			request, resumes, service, reason: decision.reason, build: decision.type === 'go-on' ? decision.build : undefined, builds: [...builds], waited: Math.round(performance.now() - startedAt),
		});
		return decision;
	}

	/** Handles what another instance tells or asks. */
	handleMessage({known, wanted}: MessageOf<'stream-origins'>, instance: string): void {
		const now = performance.now();
		for (const origin of known) {
			addOrigin(this.#origins, origin, now);
			for (const resolve of this.#waiting.get(origin.key) ?? []) {
				resolve();
			}
		}

		const answers = wanted.flatMap(key => this.#knownOrigins(key, now));
		if (answers.length > 0) {
			this.#options.peers().sendTo(instance, {type: 'stream-origins', known: answers, wanted: []});
		}
	}

	[Symbol.dispose](): void {
		clearTimeout(this.#timer);
	}

	/** What is known of a stream, by this instance or those that it asks; one build alone needs no question. */
	async #find(key: string, service: string): Promise<OriginFinding> {
		const own = findOrigin(this.#origins, key, performance.now());
		const {linkedNames} = this.#options.peers();
		if (own.type !== 'unknown' || linkedNames.length === 0 || this.#buildsOf(service).size <= 1) {
			return own;
		}

		for (const name of linkedNames) {
			this.#options.peers().sendTo(name, {type: 'stream-origins', known: [], wanted: [key]});
		}

		await this.#answered(key);
		return findOrigin(this.#origins, key, performance.now());
	}

	/** Resolves at the first answer about a stream, or once there was time for one. */
	async #answered(key: string): Promise<void> {
		const resolvers = this.#waiting.get(key) ?? new Set();
		this.#waiting.set(key, resolvers);
		await new Promise<void>(resolve => {
			const timer = setTimeout(resolve, answerMilliseconds);
			resolvers.add(() => {
				clearTimeout(timer);
				resolve();
			});
		});
		this.#waiting.delete(key);
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
			peers.sendTo(name, {type: 'stream-origins', known: known.slice(0, maxNamed), wanted: []});
		}
	}

	/** Builds that serve a service, or have within the time for which streams are taken up. */
	#buildsOf(service: string): Set<string> {
		const now = performance.now();
		const entries = [...this.#options.routingState.directory.entries.values()];
		return new Set(entries.filter(({record, endedAt = Infinity}) => record.service === service && now - endedAt < originMilliseconds).map(({record}) => buildOf(record)));
	}
}

/** Workspaces choose the ids of their requests by themselves. */
function keyOf(workspace: string | undefined, request: string): string {
	return `${workspace ?? ''}\n${request}`;
}
