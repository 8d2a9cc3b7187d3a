import {type PromptPart, PartMemory, tokensOf} from './prefix-cache.js';
import {type QueueReport, PeerQueues} from './peer-queues.js';
import {createReadingSpeed, learnReadingSpeed, type ReadingSpeed, prefillMilliseconds} from './speed.js';

/** A request that an endpoint runs or is about to, whichever instance sent it. */
export type Run = {
	/** Unique over all instances. */
	readonly id: string;
	readonly owner: string;
	readonly endpoint: string;
	readonly service: string;
	readonly prefillTokens: number;
	/** True if its pauses are the tightest of its service. */
	readonly isLatencyCritical: boolean;
	readonly parts: readonly PromptPart[];
};

/** What became of runs. */
export type LoadEvent
	= | {readonly type: 'placed'; readonly run: Run}
		| {readonly type: 'first-event'; readonly id: string}
		| {readonly type: 'ended'; readonly id: string}
		| {readonly type: 'owner-lost'; readonly owner: string}
		| {readonly type: 'endpoint-restarted'; readonly endpoint: string}
	/** What waits at another instance. */
		| QueueReport
	/** What an endpoint itself says it holds of prompts. */
		| {readonly type: 'kept'; readonly endpoint: string; readonly parts: readonly PromptPart[]};

type Held = Run & {
	readonly placedAt: number;
	isRead: boolean;
};

/** The load of one endpoint as placement sees it. */
export type EndpointLoad = {
	readonly running: number;
	readonly latencyCriticalRuns: number;
	/** Until what is to be read there has been read, from now, in milliseconds. */
	readonly backlogMilliseconds: number;
	/** For how long it has had nothing to read; zero while it has. */
	readonly idleMilliseconds: number;
	/** The part of recent time that it spent reading, 0 to 1. */
	readonly readingShare: number;
};

/** A run whose end was never told is dropped after so long: no answer lasts longer than its time limit. */
const forgottenMilliseconds = 120_000;
/** Reading share is averaged over about the length of a tight stream. */
const shareMilliseconds = 1500;
/** A plain service's work time before any was seen, and the weight of one more. */
const firstWorkMilliseconds = 20;
const workWeight = 0.05;

/** A span that is not over yet; one in which a run ended unread tells nothing. */
type Span = {readonly at: number; readonly isFromRest: boolean; readTokens: number; readRuns: number; isSpoilt: boolean};

/** A span under load has no end of its own: it is taken as a sample after so many prompts, and goes on as the next. */
const longestSpanRuns = 8;

type Desk = {
	readonly runs: Map<string, Held>;
	/** Those without a first event, oldest first: what the engine still has to read. */
	readonly unread: Map<string, Held>;
	prefillTokens: number;
	/** When the oldest of them came to its turn, as far as is known. */
	turnAt: number;
	/** When word came that nothing is unread any more. */
	idleAt: number;
	/** Since when it has always had something to read, and what it has read since. */
	span: Span;
	readonly parts: PartMemory;
	service: string;
	share: number;
	shareAt: number;
	latencyCriticalRuns: number;
};

/**
 * Load pattern: several instances send to the same endpoints, and a worker's own report is old when
 * it arrives. Each instance tells the others of what it placed and what ended, so that all predict
 * from the same runs. Without that, a burst through four instances meets on the same idle endpoint.
 */
export class LoadTracker {
	static create(): LoadTracker {
		return new LoadTracker();
	}

	/** What waits at the other instances. */
	readonly peerQueues = PeerQueues.create();
	readonly #desks = new Map<string, Desk>();
	readonly #runs = new Map<string, Held>();
	readonly #speeds = new Map<string, ReadingSpeed>();
	readonly #work = new Map<string, number>();

	step(event: LoadEvent, now: number): void {
		switch (event.type) {
			case 'placed': {
				this.#place(event.run, now);
				return;
			}

			case 'first-event': {
				this.#firstEvent(event.id, now);
				return;
			}

			case 'ended': {
				this.#end(event.id, now);
				return;
			}

			case 'owner-lost': {
				this.#drop(run => run.owner === event.owner, now);
				this.peerQueues.forget(event.owner);
				return;
			}

			case 'waiting': {
				this.peerQueues.update(event, now);
				return;
			}

			case 'endpoint-restarted': {
				this.#drop(run => run.endpoint === event.endpoint, now);
				this.#desks.delete(event.endpoint);
				return;
			}

			case 'kept': {
				this.#desk(event.endpoint).parts.replace(event.parts);
			}
		}
	}

	load(endpoint: string, now: number): EndpointLoad {
		const desk = this.#desks.get(endpoint);
		if (desk === undefined) {
			return {running: 0, latencyCriticalRuns: 0, backlogMilliseconds: 0, idleMilliseconds: Infinity, readingShare: 0};
		}

		return {
			running: desk.runs.size,
			latencyCriticalRuns: desk.latencyCriticalRuns,
			backlogMilliseconds: this.#backlog(desk, now),
			idleMilliseconds: desk.unread.size > 0 ? 0 : now - desk.idleAt,
			readingShare: decayed(desk, now),
		};
	}

	unread(endpoint: string, parts: readonly PromptPart[]): number {
		return this.#desks.get(endpoint)?.parts.unread(parts) ?? tokensOf(parts);
	}

	/** What one engine could not give another of a prompt, since it has not read it yet. */
	missing(endpoint: string, parts: readonly PromptPart[]): number {
		return this.#desks.get(endpoint)?.parts.missing(parts) ?? tokensOf(parts);
	}

	speed(service: string): ReadingSpeed {
		const held = this.#speeds.get(service) ?? createReadingSpeed();
		this.#speeds.set(service, held);
		return held;
	}

	/** How long a plain service works on a request. */
	serviceTimeMilliseconds(service: string): number {
		return this.#work.get(service) ?? firstWorkMilliseconds;
	}

	recordServiceTime(service: string, milliseconds: number): void {
		this.#work.set(service, this.serviceTimeMilliseconds(service) + ((milliseconds - this.serviceTimeMilliseconds(service)) * workWeight));
	}

	/** Drops runs of which nobody has told for longer than any answer lasts. */
	prune(now: number): void {
		this.#drop(run => now - run.placedAt > forgottenMilliseconds, now);
	}

	/** Says how much memory an endpoint's engine has. */
	setCacheCapacity(endpoint: string, memoryTokens: number): void {
		this.#desk(endpoint).parts.setMemory(memoryTokens);
	}

	/**
	 * Failure: another instance tells of a run, or of what an engine keeps, before this one knew of its memory. Symptom:
	 * the engine is taken to keep nothing for good. It is taken to keep all of it until its memory is known.
	 */
	#desk(endpoint: string): Desk {
		const desk = this.#desks.get(endpoint) ?? createDesk();
		this.#desks.set(endpoint, desk);
		return desk;
	}

	#place(run: Run, now: number): void {
		if (this.#runs.has(run.id)) {
			// Told twice, over two connections of one pair.
			return;
		}

		const desk = this.#desk(run.endpoint);
		const speed = this.speed(run.service);
		const reading = prefillMilliseconds(speed, run.prefillTokens);
		if (desk.unread.size === 0) {
			desk.turnAt = now;
			desk.span = createSpan(now, true);
		}

		desk.service = run.service;
		desk.share = decayed(desk, now) + (reading / shareMilliseconds);
		desk.shareAt = now;
		desk.latencyCriticalRuns += run.isLatencyCritical ? 1 : 0;
		desk.parts.use(run.parts);
		const held = {...run, placedAt: now, isRead: false};
		desk.runs.set(run.id, held);
		desk.unread.set(run.id, held);
		desk.prefillTokens += run.prefillTokens;
		this.#runs.set(run.id, held);
	}

	#firstEvent(id: string, now: number): void {
		const run = this.#runs.get(id);
		const desk = run === undefined ? undefined : this.#desks.get(run.endpoint);
		if (run === undefined || desk === undefined || run.isRead) {
			return;
		}

		noteRead(desk, run, {now, readAt: now - this.speed(run.service).baseMilliseconds});
		desk.parts.noteRead(run.parts);
		desk.span.readTokens += run.prefillTokens;
		desk.span.readRuns += 1;
		if (desk.unread.size > 0 && desk.span.readRuns < longestSpanRuns) {
			return;
		}

		const {at, isFromRest, readTokens, isSpoilt} = desk.span;
		if (!isSpoilt) {
			this.#speeds.set(run.service, learnReadingSpeed(this.speed(run.service), {tokens: readTokens, milliseconds: now - at, isFromRest}));
		}

		desk.span = createSpan(now, false);
	}

	#end(id: string, now: number): void {
		const run = this.#runs.get(id);
		const desk = run === undefined ? undefined : this.#desks.get(run.endpoint);
		if (run === undefined || desk === undefined) {
			return;
		}

		this.#runs.delete(id);
		desk.runs.delete(id);
		desk.latencyCriticalRuns -= run.isLatencyCritical ? 1 : 0;
		if (!run.isRead) {
			noteRead(desk, run, {now, readAt: now});
			desk.span.isSpoilt = true;
		}
	}

	/**
	 * What waits to be read, less what the engine has read of it by now. Failure: a prompt counts as unread until its first event is here,
	 * though the engine has gone on to the next. Symptom: it is taken for busy for as long as a first event is on its way, and stands
	 * idle between two prompts while requests wait.
	 */
	#backlog(desk: Desk, now: number): number {
		return desk.unread.size === 0 ? 0 : Math.max(0, prefillMilliseconds(this.speed(desk.service), desk.prefillTokens) - (now - desk.turnAt));
	}

	#drop(isDropped: (run: Held) => boolean, now: number): void {
		for (const run of [...this.#runs.values()].filter(candidate => isDropped(candidate))) {
			this.#end(run.id, now);
		}
	}
}

function createDesk(): Desk {
	return {runs: new Map(), unread: new Map(), prefillTokens: 0, turnAt: 0, idleAt: 0, span: createSpan(0, true), parts: PartMemory.create(Infinity), service: '', share: 0, shareAt: 0, latencyCriticalRuns: 0};
}

function createSpan(at: number, isFromRest: boolean): Span {
	return {at, isFromRest, readTokens: 0, readRuns: 0, isSpoilt: false};
}

/** A run's prompt is read, or the run is over: the next one's turn began as soon as it was. */
function noteRead(desk: Desk, run: Held, {now, readAt}: {now: number; readAt: number}): void {
	run.isRead = true;
	desk.unread.delete(run.id);
	desk.prefillTokens -= run.prefillTokens;
	desk.turnAt = Math.max(desk.turnAt, readAt);
	desk.idleAt = now;
}

function decayed({share, shareAt}: Desk, now: number): number {
	return share * Math.exp(-(now - shareAt) / shareMilliseconds);
}
