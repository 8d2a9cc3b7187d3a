import {type Verdict} from '../../src/model/index.js';

/** One call as seen by its caller. */
export type CallRecord = {
	readonly prompt: string;
	readonly key: string | undefined;
	readonly className: string;
	readonly entry: string;
	readonly startedAt: number;
	readonly endedAt: number;
	readonly outcome: 'whole' | 'wrong' | 'failed' | 'broken';
	readonly verdict: Verdict | undefined;
	readonly code: string | undefined;
	/** Description of how the response ended, for reports. */
	readonly ending: string;
	readonly callerLeft: boolean;
	readonly tokens: number;
	readonly firstTokenMilliseconds: number | undefined;
	readonly dueMilliseconds: number;
};

/** What the stand-ins recorded, independently of the product. */
export type GroundTruth = {
	readonly runsOfPrompt: (prompt: string) => number;
	readonly runsOfKey: (key: string) => number;
	/** How many engine crashes each prompt caused. */
	readonly crashesByPrompt: ReadonlyMap<string, number>;
	/** When each crashed entry crashed, by its address. */
	readonly crashedEntries: ReadonlyMap<string, number>;
};

export type Violation = {readonly rule: string; readonly detail: string; readonly at: number};

/** Longer than every time limit of the soak's classes: a call that takes longer hangs. */
const longestCallMilliseconds = 60_000;

/**
 * Checks the results of callers against what the stand-ins ran. Does not use the product's own counts,
 * so that wrong counts cannot hide a violation.
 */
export function checkCalls(calls: readonly CallRecord[], groundTruth: GroundTruth): Violation[] {
	return calls.flatMap(call => [...checkCall(call, groundTruth)]);
}

function * checkCall(call: CallRecord, groundTruth: GroundTruth): Generator<Violation> {
	const violation = (rule: string, detail: string): Violation => ({rule, detail: `${detail} (${call.prompt.slice(0, 40)}, ${call.className}, code ${call.code ?? 'none'}, ${call.ending})`, at: call.endedAt});
	if (call.outcome === 'wrong') {
		yield violation('own whole answer', 'the text is not the one that every engine gives to this prompt');
	}

	if (call.outcome === 'failed' && call.verdict === undefined) {
		yield violation('verdict', 'a failure without a verdict');
	}

	if (call.outcome === 'broken' && !call.callerLeft && !isBrokenByCrash(call, groundTruth)) {
		yield violation('whole answer or verdict', 'the answer broke off without a word, and its entry had not crashed');
	}

	if (call.key !== undefined && groundTruth.runsOfKey(call.key) > 1) {
		yield violation('at most once', `key ${call.key} ran ${groundTruth.runsOfKey(call.key)} times`);
	}

	if (call.endedAt - call.startedAt > longestCallMilliseconds) {
		yield violation('ends', `took ${Math.round(call.endedAt - call.startedAt)} ms`);
	}
}

/** A crash of the entry breaks its callers' connections, so that they get no verdict. */
function isBrokenByCrash(call: CallRecord, groundTruth: GroundTruth): boolean {
	const crashedAt = groundTruth.crashedEntries.get(call.entry);
	return crashedAt !== undefined && crashedAt <= call.endedAt;
}

/** Finds keys that ran although every call with the key was refused as not run. */
export function checkKeys(calls: readonly CallRecord[], groundTruth: GroundTruth): Violation[] {
	const keyed = calls.filter(({key}) => key !== undefined);
	return findFalseNotRun(groupBy(keyed, ({key}) => key!), groundTruth.runsOfKey);
}

/**
 * The same check for calls without a key, by prompt. Prompts are unique unless a caller sends one again;
 * then an earlier call may have run and a later one correctly not.
 */
export function checkNotRun(calls: readonly CallRecord[], groundTruth: GroundTruth): Violation[] {
	const plain = calls.filter(({key}) => key === undefined);
	return findFalseNotRun(groupBy(plain, ({prompt}) => prompt), groundTruth.runsOfPrompt);
}

function findFalseNotRun(groups: ReadonlyMap<string, readonly CallRecord[]>, runsOf: (name: string) => number): Violation[] {
	return [...groups].flatMap(([name, attempts]) => {
		const allNotRun = attempts.every(attempt => attempt.outcome === 'failed' && attempt.verdict === 'not-run');
		const ran = runsOf(name);
		if (allNotRun && ran > 0) {
			return [{rule: 'not run', detail: `every sending of ${name} said not-run, it ran ${ran} times`, at: attempts.at(-1)!.endedAt}];
		}

		// A complete response without a run shows that the lookup uses a wrong name, in which case this check would find nothing.
		const whole = attempts.find(({outcome}) => outcome === 'whole');
		return whole !== undefined && ran === 0 ? [{rule: 'truth', detail: `${name} was answered and no engine ran it`, at: whole.endedAt}] : [];
	});
}

function groupBy(calls: readonly CallRecord[], nameOf: (call: CallRecord) => string): Map<string, CallRecord[]> {
	const groups = new Map<string, CallRecord[]>();
	for (const call of calls) {
		const name = nameOf(call);
		groups.set(name, [...(groups.get(name) ?? []), call]);
	}

	return groups;
}

/** How many endpoints one request may crash within the quarantine period, which is longer than a run. */
const maximumCrashes = 2;

export function checkCrashes(groundTruth: GroundTruth, at: number): Violation[] {
	return [...groundTruth.crashesByPrompt].filter(([, crashes]) => crashes > maximumCrashes).map(([prompt, crashes]) => ({
		rule: 'requests that crash endpoints', detail: `${prompt} took down ${crashes} endpoints`, at,
	}));
}

/** Checks that the catalogue offset of each instance never decreases. */
export class OffsetWatch {
	static create(): OffsetWatch {
		return new OffsetWatch();
	}

	readonly violations: Violation[] = [];
	readonly #highest = new Map<string, number>();

	private constructor() {
		// Instances are made by `create`.
	}

	observe(instance: string, offset: number, at: number): void {
		const before = this.#highest.get(instance) ?? -1;
		if (offset < before) {
			this.violations.push({rule: 'catalogue never reverts', detail: `${instance} went from offset ${before} back to ${offset}`, at});
		}

		this.#highest.set(instance, Math.max(before, offset));
	}
}
