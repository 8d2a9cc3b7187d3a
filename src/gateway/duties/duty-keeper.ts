import {type Body, channel, receiveWithin, spawn, tryDeliver, wait} from '../../concurrency/index.js';
import {
	applyDutyEvent, type Candidate, createDutyState, type DutyClock, type DutyEvent, type DutySettings, type DutyState, medianAhead, missingContributors, nextReportStep, nextStoreStep, parseDutyLog,
	ReportOutcome, type ReportStep, type StoreStep, totalOf, windowEnd, type UsageCounts,
} from '../../policy/duties/index.js';
import {type PartLogger} from '../../telemetry/index.js';
import {type DutyReceiver, type DutyStore} from './duty-types.js';
import {type DutyMetrics} from './duty-metrics.js';
import {type TimeKeeper} from './time-keeper.js';

export type DutyKeeperOptions = {
	readonly settings: DutySettings;
	readonly candidate: Candidate;
	readonly store: DutyStore;
	readonly receiver: DutyReceiver;
	readonly timeKeeper: TimeKeeper;
	readonly metrics: DutyMetrics;
	readonly logger: PartLogger;
	/** Called after each change of the state. */
	readonly onChange: (state: DutyState, before: DutyState) => void;
};

/** Interval at which the holder looks for a report to make, and others whether they have become the holder. */
const reportCheckMilliseconds = {holder: 100, other: 1000};

/** Runs the decisions of `policy/duties`: makes the calls that they choose, one to the store and one to the receiver at a time. */
export class DutyKeeper implements AsyncDisposable {
	static create(options: DutyKeeperOptions): DutyKeeper {
		const keeper = new DutyKeeper(options);
		void spawn('duty store', () => keeper.#runStoreSteps());
		void spawn('duty reports', () => keeper.#runReportSteps());
		return keeper;
	}

	readonly #options: DutyKeeperOptions;
	readonly #wake = channel<'wake'>(1);
	readonly #wakeReports = channel<'wake'>(1);
	readonly #releaseListeners = new Set<() => void>();
	#state: DutyState;
	#isStopped = false;

	private constructor(options: DutyKeeperOptions) {
		this.#options = options;
		this.#state = createDutyState(options.settings, options.candidate, options.timeKeeper.clock().steady);
	}

	get state(): DutyState {
		return this.#state;
	}

	apply(event: DutyEvent): void {
		const clock = this.#options.timeKeeper.clock();
		const before = this.#state;
		this.#state = applyDutyEvent(before, event, clock);
		this.#logTenureChange(before, clock);
		if (event.type === 'holder-announced' && event.holder.isReleased) {
			tryDeliver(this.#wake, 'wake');
		}

		if (this.#state.tenure === undefined) {
			for (const resolve of this.#releaseListeners) {
				resolve();
			}
		}

		this.#options.onChange(this.#state, before);
	}

	/**
	 * Gives up the duties; resolves once that is written, or at once if this instance doesn't hold them. While the store doesn't respond
	 * it resolves after a lease, when others may claim all the same.
	 */
	async release(): Promise<void> {
		this.apply({type: 'stopping'});
		tryDeliver(this.#wake, 'wake');
		if (this.#state.tenure !== undefined) {
			await new Promise<void>(resolve => {
				this.#releaseListeners.add(resolve);
				setTimeout(resolve, this.#options.settings.leaseMilliseconds).unref();
			});
		}
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#isStopped = true;
		tryDeliver(this.#wake, 'wake');
		tryDeliver(this.#wakeReports, 'wake');
	}

	* #runStoreSteps(): Body<void> {
		while (!this.#isStopped) {
			const clock = this.#options.timeKeeper.clock();
			const step = nextStoreStep(this.#state, clock);
			if (step.type === 'wait') {
				yield * receiveWithin(this.#wake, step.milliseconds);
				continue;
			}

			try {
				yield * this.#runStoreStep(step, clock);
			} catch (error) {
				this.#logStoreFailure(step, error);
				this.apply({type: 'store-failed'});
			}
		}
	}

	* #runStoreStep(step: Exclude<StoreStep, {type: 'wait'}>, startedAt: DutyClock): Body<void> {
		const {store} = this.#options;
		if (step.type === 'read') {
			const log = parseDutyLog(yield * wait(store.read()));
			this.apply(log === undefined ? {type: 'store-failed'} : {type: 'read', log, startedAt});
			return;
		}

		const result = yield * wait(store.append(step.at, step.entries));
		if (result.type === 'conflict') {
			this.#options.logger.info('The duty log has changed, reading it.', {purpose: step.purpose, era: step.at.era, offset: step.at.offset});
			this.apply({type: 'conflict'});
			return;
		}

		this.#logDecisions(step.decided, startedAt);
		this.apply({type: 'appended', purpose: step.purpose, entries: step.entries, decided: step.decided, startedAt});
		tryDeliver(this.#wakeReports, 'wake');
	}

	* #runReportSteps(): Body<void> {
		while (!this.#isStopped) {
			const step = nextReportStep(this.#state, this.#options.timeKeeper.clock());
			switch (step.type) {
				case 'wait': {
					yield * receiveWithin(this.#wakeReports, this.#state.tenure === undefined ? reportCheckMilliseconds.other : reportCheckMilliseconds.holder);
					break;
				}

				case 'hand-over': {
					this.#options.logger.warn('Giving up the duties: the receiver of reports does not respond to this instance.', {token: this.#state.tenure?.token});
					this.apply({type: 'hand-over'});
					break;
				}

				case 'report': {
					yield * this.#reportUsage(step);
				}
			}
		}
	}

	* #reportUsage({window, counts, token}: Extract<ReportStep, {type: 'report'}>): Body<void> {
		const {receiver, candidate, logger, metrics, timeKeeper, settings} = this.#options;
		const startedAt = timeKeeper.clock();
		const {outcome, status, reason} = yield * wait(receiver.reportUsage({instance: candidate.instance, token}, window, counts));
		const {steady, time} = timeKeeper.clock();
		metrics.countReport(outcome);
		const details = {
			window, token, outcome, status, reason, total: totalOf(counts), milliseconds: Math.round(steady - startedAt.steady),
			afterWindow: Math.round(time - windowEnd(window, settings.windowMilliseconds)), tries: (this.#state.tenure?.failedCalls ?? 0) + 1,
		};
		if (outcome === ReportOutcome.accepted) {
			logger.info('Usage reported.', details);
		} else {
			logger.warn('Usage not reported.', details);
		}

		this.apply({type: 'reported', window, token, outcome});
	}

	/** Logs that this instance has taken or lost the duties. */
	#logTenureChange(before: DutyState, clock: DutyClock): void {
		const {logger, metrics} = this.#options;
		const {tenure} = this.#state;
		const previous = before.tenure;
		if (tenure?.token === previous?.token) {
			return;
		}

		if (previous !== undefined) {
			logger.warn('Duties no longer held.', {
				token: previous.token, heldMilliseconds: Math.round(clock.steady - previous.since), holder: this.#state.known?.log.holder?.instance, isStopping: this.#state.isStopping,
			});
		}

		if (tenure !== undefined) {
			logger.info('Duties held.', {
				token: tenure.token, era: tenure.era, closedThrough: tenure.closedThrough, undecidableThrough: tenure.undecidableThrough,
				unchanged: Math.round(clock.steady - (before.known?.changedAt ?? clock.steady)),
			});
		}

		metrics.setHeld(tenure?.token ?? 0);
	}

	#logDecisions(decided: ReadonlyMap<number, UsageCounts>, {time}: DutyClock): void {
		const {logger, settings} = this.#options;
		for (const [window, counts] of decided) {
			const contributors = [...this.#state.contributors.values()];
			const known = contributors.filter(({isConnected, completeThrough}) => isConnected && completeThrough < Number.MAX_SAFE_INTEGER).map(({completeThrough}) => completeThrough);
			logger.info('Usage decided.', {
				window, token: this.#state.tenure?.token, total: totalOf(counts), workspaces: Object.keys(counts).length, instances: contributors.length,
				missing: missingContributors(this.#state.contributors, window, settings).map(({instance, incarnation}) => instance === '' ? incarnation : instance),
				oldestAge: Math.round(time - Math.min(time, ...known)), newestAge: Math.round(time - Math.max(0, ...known)), medianAhead: Math.round(medianAhead(this.#state)),
			});
		}
	}

	#logStoreFailure(step: Exclude<StoreStep, {type: 'wait'}>, error: unknown): void {
		if (this.#state.failedStoreCalls === 0) {
			this.#options.logger.warn('A call to the duty log failed.', {call: step.type === 'read' ? 'read' : step.purpose, reason: String(error), token: this.#state.tenure?.token});
		}
	}
}

