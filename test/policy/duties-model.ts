import {
	applyDutyEvent, createDutyState, type DutyClock, type DutyEntry, type DutyEvent, type DutySettings, type DutyState, knownHolder, nextReportStep, nextStoreStep, parseDutyLog, ReportOutcome, type ReportStep, type StoreStep, type UsageCounts,
} from '../../src/policy/duties/index.js';

export type StoredRecord = {readonly key: string; readonly value: string | undefined; readonly offset: number};

/** The store's log in memory: appends on a condition, and restores from a backup. */
export class VirtualDutyLog {
	static create(): VirtualDutyLog {
		return new VirtualDutyLog();
	}

	era = 1;
	#records: StoredRecord[] = [];
	#backup: StoredRecord[] = [];

	get end(): number {
		return this.#records.length;
	}

	read() {
		const newest = new Map(this.#records.map(record => [record.key, record]));
		return {end: {era: this.era, offset: this.end}, items: [...newest.values()].filter(({value}) => value !== undefined)};
	}

	/** Appends if the log ends at `at`; true if it did. */
	append(at: number, entries: readonly DutyEntry[]): boolean {
		if (at !== this.end) {
			return false;
		}

		for (const {key, value} of entries) {
			this.#records.push({key, value, offset: this.#records.length});
		}

		return true;
	}

	backUp(): void {
		this.#backup = [...this.#records];
	}

	restore(): void {
		this.#records = [...this.#backup];
		this.era += 1;
	}
}

/** A call that the platform has carried out. */
export type Executed = {readonly machine: string; readonly token: number; readonly window: number; readonly counts: string; readonly at: number; readonly accepted: boolean; readonly isLate: boolean};

/** The receiver of reports: it checks fencing tokens or doesn't, and notes what it has seen. */
export class VirtualReceiver {
	static create(checksFences: boolean): VirtualReceiver {
		return new VirtualReceiver(checksFences);
	}

	readonly executed: Executed[] = [];
	readonly #checksFences: boolean;
	#highest = 0;

	private constructor(checksFences: boolean) {
		this.#checksFences = checksFences;
	}

	execute(call: Omit<Executed, 'accepted'>): boolean {
		const accepted = !this.#checksFences || call.token >= this.#highest;
		this.#highest = Math.max(this.#highest, call.token);
		this.executed.push({...call, accepted});
		return accepted;
	}
}

type StoreCall = {readonly step: Exclude<StoreStep, {type: 'wait'}>; readonly startedAt: DutyClock; result: DutyEvent | undefined};
type ReportCall = {readonly step: Extract<ReportStep, {type: 'report'}>; outcome: ReportOutcome | undefined};

/** How a call to the store or the receiver goes. */
export const Fate = {answered: 'answered', lost: 'lost', late: 'late', refused: 'refused'} as const;
export type Fate = (typeof Fate)[keyof typeof Fate];

/** One instance with its clocks, and its calls in flight. */
export class VirtualInstance {
	static create(machine: string, incarnation: number, world: VirtualWorld): VirtualInstance {
		return new VirtualInstance(machine, incarnation, world);
	}

	readonly machine: string;
	state: DutyState;
	/** Its time of day is ahead of true time by this much. */
	timeAhead = 0;
	/** Milliseconds that its steady clock has missed. */
	suspended = 0;
	isFrozen = false;
	readonly #world: VirtualWorld;
	#storeCall: StoreCall | undefined;
	#reportCall: ReportCall | undefined;

	private constructor(machine: string, incarnation: number, world: VirtualWorld) {
		this.machine = machine;
		this.#world = world;
		this.state = createDutyState(world.settings, {instance: machine, incarnation: `${machine}#${incarnation}`, address: `${machine}:1`, claimDelayMilliseconds: machine.codePointAt(0)! % 3 * 100}, this.clock().steady);
	}

	clock(): DutyClock {
		return {steady: this.#world.now - this.suspended, lease: this.#world.now, time: this.#world.now + this.timeAhead};
	}

	apply(event: DutyEvent): void {
		this.state = applyDutyEvent(this.state, event, this.clock());
	}

	/** Tells what this instance counted; each counts differently, so that two decisions of one window differ. */
	sendUsage(to: VirtualInstance, windows: readonly number[], count: number): void {
		const {incarnation} = this.state.own;
		to.apply({type: 'usage', from: {instance: this.machine, incarnation, completeThrough: this.#world.now, aheadMilliseconds: this.timeAhead - to.timeAhead}, rows: windows.map(window => ({incarnation, window, counts: {workspace: count}}))});
	}

	announceHolder(to: VirtualInstance): void {
		const holder = knownHolder(this.state);
		const end = this.state.known?.log.end;
		if (holder !== undefined && end !== undefined) {
			to.apply({type: 'holder-announced', holder, end, decisions: new Map([...this.state.known?.log.decisions ?? []].map(([window, {counts}]) => [window, counts]))});
		}
	}

	/** Starts the next call to the store, or ends the one in flight. */
	stepStore(fate: Fate): void {
		if (this.#storeCall === undefined) {
			const startedAt = this.clock();
			const step = nextStoreStep(this.state, startedAt);
			this.#storeCall = step.type === 'wait' ? undefined : {step, startedAt, result: undefined};
			this.#storeCall &&= {...this.#storeCall, result: this.#callStore(this.#storeCall, fate)};
			return;
		}

		const event = this.#storeCall.result ?? {type: 'store-failed'};
		this.#storeCall = undefined;
		this.apply(event);
	}

	stepReport(fate: Fate): void {
		if (this.#reportCall === undefined) {
			const step = nextReportStep(this.state, this.clock());
			if (step.type === 'hand-over') {
				this.apply({type: 'hand-over'});
			}

			this.#reportCall = step.type === 'report' ? {step, outcome: this.#callReceiver(step, fate)} : undefined;
			return;
		}

		const {step, outcome} = this.#reportCall;
		this.#reportCall = undefined;
		this.apply({type: 'reported', window: step.window, token: step.token, outcome: outcome ?? ReportOutcome.failed});
	}

	#callStore({step, startedAt}: StoreCall, fate: Fate): DutyEvent | undefined {
		const {log} = this.#world;
		if (fate === Fate.refused) {
			return undefined;
		}

		if (step.type === 'read') {
			const parsed = fate === Fate.answered ? parseDutyLog(log.read()) : undefined;
			return parsed === undefined ? undefined : {type: 'read', log: parsed, startedAt};
		}

		if (fate === Fate.late) {
			this.#world.later(() => {
				log.append(step.at.offset, step.entries);
			});
			return undefined;
		}

		const isAppended = log.append(step.at.offset, step.entries);
		if (fate === Fate.lost) {
			return undefined;
		}

		return isAppended && log.era === step.at.era ? {type: 'appended', purpose: step.purpose, entries: step.entries, decided: step.decided, startedAt} : {type: 'conflict'};
	}

	#callReceiver({window, counts, token}: Extract<ReportStep, {type: 'report'}>, fate: Fate): ReportOutcome | undefined {
		const call = {machine: this.machine, token, window, counts: JSON.stringify(counts satisfies UsageCounts), at: this.#world.now};
		switch (fate) {
			case Fate.refused: {
				return undefined;
			}

			case Fate.late: {
				this.#world.later(() => {
					this.#world.receiver.execute({...call, at: this.#world.now, isLate: true});
				});
				return undefined;
			}

			case Fate.lost: {
				this.#world.receiver.execute({...call, isLate: false});
				return undefined;
			}

			case Fate.answered: {
				return this.#world.receiver.execute({...call, isLate: false}) ? ReportOutcome.accepted : ReportOutcome.fenced;
			}
		}
	}
}

/** Instances that share a log and a receiver, in virtual time. */
export class VirtualWorld {
	static create(settings: DutySettings, machines: readonly string[]): VirtualWorld {
		return new VirtualWorld(settings, machines);
	}

	/** Unix time in milliseconds. */
	now = 1_000_000;
	readonly settings: DutySettings;
	readonly log = VirtualDutyLog.create();
	readonly receiver: VirtualReceiver;
	readonly instances: VirtualInstance[];
	readonly #late: Array<() => void> = [];
	#incarnations = 0;

	private constructor(settings: DutySettings, machines: readonly string[]) {
		this.settings = settings;
		this.receiver = VirtualReceiver.create(settings.checksFences);
		this.instances = machines.map(machine => VirtualInstance.create(machine, this.#incarnations++, this));
	}

	restart(index: number): void {
		const {machine} = this.instances[index]!;
		this.instances[index] = VirtualInstance.create(machine, this.#incarnations++, this);
	}

	later(action: () => void): void {
		this.#late.push(action);
	}

	/** Carries out the oldest late call. */
	runLate(): void {
		this.#late.shift()?.();
	}
}
