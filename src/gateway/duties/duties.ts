import {type Body, channel, receiveWithin, spawn, tryDeliver} from '../../concurrency/index.js';
import {type InstanceId, splitAddress} from '../../model/index.js';
import {type Candidate, type DutySettings, type DutyState, knownHolder, mayAct, medianAhead, type UsageRow} from '../../policy/duties/index.js';
import {type ServiceSample} from '../../policy/scaling/index.js';
import {forPart, type Logger, type Metrics, type PartLogger} from '../../telemetry/index.js';
import {type MessageOf} from '../../wire/index.js';
import {DutyKeeper} from './duty-keeper.js';
import {DutyMetrics} from './duty-metrics.js';
import {type DutyCaller, type DutyReceiver, type DutyStore} from './duty-types.js';
import {ScaleKeeper} from './scale-keeper.js';
import {TimeKeeper} from './time-keeper.js';
import {UsageCounter} from './usage-counter.js';
import {UsageLink} from './usage-link.js';
import {UsageServer} from './usage-server.js';

export type DutiesOptions = {
	readonly instance: string;
	readonly incarnation: InstanceId;
	/** Where other instances tell their usage. */
	readonly address: string;
	/** The wait before a claim, see `Candidate`. */
	readonly claimDelayMilliseconds: number;
	readonly settings: DutySettings;
	readonly store: DutyStore;
	readonly receiver: DutyReceiver;
	readonly metrics: Metrics;
	readonly logger: Logger;
	/** The services whose endpoints can be ordered; undefined while what is known of the fleet is old. */
	readonly sampleServices: () => readonly ServiceSample[] | undefined;
	/** Number of live instances. */
	readonly instances: () => number;
	/** Tells the neighbours who holds the duties. */
	readonly broadcast: (announcement: MessageOf<'duty-holder'>) => void;
};

/** Interval at which an instance tells its usage, for each instance of the fleet and at least. */
const usageIntervalMilliseconds = {forEachInstance: 10, least: 500};
/** An instance whose process ends has no more to tell. */
const endOfTime = Number.MAX_SAFE_INTEGER;

/** The part of a gateway that counts usage, tells it to the holder of the duties, and may be the holder itself. */
export class Duties implements AsyncDisposable {
	static async create(options: DutiesOptions): Promise<Duties> {
		const duties = new Duties(options);
		duties.#server = await UsageServer.create({
			...splitAddress(options.address), security: {type: 'plaintext'},
			onUsage: (message, sentWindow) => duties.#handleUsage(message, sentWindow),
			onDisconnected(incarnation) {
				duties.#keeper.apply({type: 'disconnected', incarnation});
			},
		});
		void spawn('usage', () => duties.#sendUsage());
		return duties;
	}

	readonly counter: UsageCounter;
	readonly #options: DutiesOptions;
	readonly #log: PartLogger;
	readonly #timeKeeper: TimeKeeper;
	readonly #keeper: DutyKeeper;
	readonly #link: UsageLink;
	readonly #scaleKeeper: ScaleKeeper;
	readonly #wake = channel<'wake'>(1);
	#server: UsageServer | undefined;
	#isStopped = false;

	private constructor(options: DutiesOptions) {
		this.#options = options;
		this.#log = forPart(options.logger, 'Duties');
		this.#timeKeeper = TimeKeeper.create(this.#log);
		this.counter = UsageCounter.create(options.settings.windowMilliseconds, () => this.#timeKeeper.clock().time);
		const candidate: Candidate = {instance: options.instance, incarnation: options.incarnation, address: options.address, claimDelayMilliseconds: options.claimDelayMilliseconds};
		this.#keeper = DutyKeeper.create({
			settings: options.settings, candidate, store: options.store, receiver: options.receiver, timeKeeper: this.#timeKeeper,
			metrics: DutyMetrics.create(options.metrics), logger: this.#log,
			onChange: (state, before) => {
				this.#handleChange(state, before);
			},
		});
		this.#scaleKeeper = ScaleKeeper.create({
			caller: () => this.#caller, sample: options.sampleServices, receiver: options.receiver, logger: this.#log,
			onFenced: token => {
				this.#keeper.apply({type: 'fenced', token});
			},
		});
		this.#link = UsageLink.create({
			security: {type: 'plaintext'}, logger: this.#log,
			onAnnouncement: announcement => {
				this.handleAnnouncement(announcement);
			},
		});
	}

	/** What this instance tells a new peer about the holder. */
	get announcement(): MessageOf<'duty-holder'> | undefined {
		return this.#announcement(Infinity);
	}

	/** Who makes calls now: this instance while it holds the duties and its lease lasts. */
	get #caller(): DutyCaller | undefined {
		const {state} = this.#keeper;
		const {tenure} = state;
		return tenure !== undefined && !tenure.isEnding && mayAct(state, tenure, this.#timeKeeper.clock()) ? {instance: this.#options.instance, token: tenure.token} : undefined;
	}

	/** Handles a message about the holder, from the holder itself or from a neighbour that passes it on. */
	handleAnnouncement({holder, end, decisions, time}: MessageOf<'duty-holder'>): void {
		const {state} = this.#keeper;
		if (time !== undefined && state.tenure === undefined) {
			this.#timeKeeper.correct(time - this.#timeKeeper.clock().time);
		}

		this.#keeper.apply({type: 'holder-announced', holder, end, decisions: new Map(decisions.map(({window, counts}) => [window, counts]))});
	}

	/** Gives up the duties, if this instance holds them. */
	async release(): Promise<void> {
		await this.#keeper.release();
	}

	/** Tells the holder that this process counts no more requests. */
	sendEnd(): void {
		this.#sendUsageNow(endOfTime);
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#isStopped = true;
		tryDeliver(this.#wake, 'wake');
		await this.#scaleKeeper[Symbol.asyncDispose]();
		await this.#keeper[Symbol.asyncDispose]();
		await this.#link[Symbol.asyncDispose]();
		await this.#server?.[Symbol.asyncDispose]();
		await this.#options.receiver[Symbol.asyncDispose]();
	}

	* #sendUsage(): Body<void> {
		while (!this.#isStopped) {
			this.#sendUsageNow(this.counter.completeThrough);
			const {forEachInstance, least} = usageIntervalMilliseconds;
			yield * receiveWithin(this.#wake, Math.max(least, forEachInstance * this.#options.instances()));
		}
	}

	#sendUsageNow(completeThrough: number): void {
		const {state} = this.#keeper;
		if (state.tenure !== undefined) {
			this.#recordOwnUsage(completeThrough);
			return;
		}

		const holder = knownHolder(state);
		if (holder === undefined || holder.isReleased || holder.incarnation === this.#options.incarnation) {
			return;
		}

		this.#link.connect(holder);
		const rows = this.#rowsSince(this.#link.sentRevision);
		const {revision} = this.counter;
		const {instance, incarnation} = this.#options;
		if (this.#link.send({type: 'usage', instance, incarnation, time: this.#timeKeeper.clock().time, completeThrough, rows: rows.map(({window, counts}) => ({window, counts}))})) {
			this.#link.sentRevision = revision;
		}
	}

	#recordOwnUsage(completeThrough: number): void {
		const {instance, incarnation} = this.#options;
		this.#keeper.apply({type: 'usage', from: {instance, incarnation, completeThrough, aheadMilliseconds: 0}, rows: this.#rowsSince(0)});
		this.#timeKeeper.correct(medianAhead(this.#keeper.state));
	}

	#rowsSince(revision: number): UsageRow[] {
		const {incarnation} = this.#options;
		return this.counter.changedSince(revision).map(({window, counts}) => ({incarnation, window, counts}));
	}

	#handleUsage({instance, incarnation, time, completeThrough, rows}: MessageOf<'usage'>, sentWindow: number): MessageOf<'duty-holder'> | undefined {
		const aheadMilliseconds = time - this.#timeKeeper.clock().time;
		this.#keeper.apply({type: 'usage', from: {instance, incarnation, completeThrough, aheadMilliseconds}, rows: rows.map(row => ({...row, incarnation}))});
		return this.#announcement(sentWindow);
	}

	/** What this instance says about the holder. Only the holder itself tells the time. */
	#announcement(sentWindow: number): MessageOf<'duty-holder'> | undefined {
		const {state} = this.#keeper;
		const holder = knownHolder(state);
		// An instance that has not read the log lately passes on what the holder has said of its end.
		const end = state.tenure === undefined && state.announcement?.holder.token === holder?.token ? state.announcement?.end : state.known?.log.end;
		if (holder === undefined || end === undefined) {
			return undefined;
		}

		const decisions = [...state.known?.log.decisions ?? []].filter(([window]) => window > sentWindow).map(([window, {counts}]) => ({window, counts}));
		const time = state.tenure === undefined ? undefined : this.#timeKeeper.clock().time + medianAhead(state);
		return {type: 'duty-holder', holder, end, decisions, ...(time !== undefined && {time})};
	}

	/** Passes the name of a new holder on, or that it has released the duties, and tells it the usage at once. */
	#handleChange(state: DutyState, before: DutyState): void {
		const holder = knownHolder(state);
		const earlier = knownHolder(before);
		if (holder === undefined || (holder.token === earlier?.token && holder.isReleased === earlier.isReleased) || holder.token < (earlier?.token ?? 0)) {
			return;
		}

		const announcement = this.#announcement(Infinity);
		if (announcement !== undefined) {
			this.#options.broadcast(announcement);
		}

		tryDeliver(this.#wake, 'wake');
	}
}
