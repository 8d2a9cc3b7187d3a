import {
	changedClasses, type ClassChange, classifiedEngines, classifyEngines, createServiceClasses, type EngineClass, type EngineEvidence, type ServiceClasses,
} from './engine-classes.js';
import {createEngineSpeed, type EngineSpeed, learnEngineSpeed, passingFactor, type WorkSample} from './engine-speed.js';
import {type PrefillSpeed} from './speed.js';
import {type ClassStatement, ToldClasses, type ToldView} from './told-classes.js';
import {createStepPace, eventIntervalMilliseconds, learnStepPace, type StepPace} from './step-pace.js';

/** Speed of one engine in its two phases: reading prompts, and the steps that write events. */
type EnginePace = {readonly service: string; reading: EngineSpeed; steps: EngineSpeed};

/** The median of the engines' logarithms, and the distance between the middles of their fastest and their slowest third. */
type PhaseSummary = {readonly median: number; readonly spread: number};

type ServicePace = {
	/** Average number of running requests at the engines from which a first event came. */
	running: number;
	steps: StepPace;
	classes: ServiceClasses;
	classifiedAt: number;
	/** Samples of all its engines, taken or passed over, and how many engines these are. */
	samples: number;
	engines: number;
};

/** A part of a stream: how many events came in how long, while the engine ran this many requests and read for this share of the time. */
export type StreamWindow = {readonly events: number; readonly milliseconds: number; readonly running: number; readonly prefillTimeShare: number};

/** Engines are classified anew at most this often. */
const classifyMilliseconds = {uneven: 250, alike: 1000};
/** Where engines are known to be alike, one sample in this many is taken: that costs little, and shows within seconds that they no longer are. */
const alikeInterval = 4;
/** Engines are known to be alike after so many samples of each: speeds that differ show late among the first ones. */
const certainSamples = 120;
/** An engine of which nothing was heard for this long is unknown again, so that one that got nothing since it was slow is tried anew. */
const forgetMilliseconds = 60_000;
const runningWeight = 0.02;
/** Beside far more streams than at other engines, reading is slower whatever the engine; such samples are left out. */
const crowded = {factor: 1.5, runs: 4};
/** Both phases count for an engine's class by their samples, up to this many. */
const mostCountedSamples = 30;
/** An engine with fewer samples in a phase does not count for the median. */
const leastMedianSamples = 6;
/** While an engine reads, steps get the rest of its time; the share of reading is not known better than this. */
const mostPrefillTimeShare = 0.8;

const noClasses: ReadonlyMap<string, EngineClass> = new Map();

/** Speeds of all engines by what this instance sees and hears, and their classes where a service's engines are uneven. */
export class EnginePaces {
	static create(): EnginePaces {
		return new EnginePaces();
	}

	/** Whether engines of one service differ in speed; if undefined, what they show decides. */
	setting: boolean | undefined;
	/** Names this start of the instance in what it tells. */
	teller = '';
	readonly #engines = new Map<string, EnginePace>();
	readonly #services = new Map<string, ServicePace>();
	readonly #told = ToldClasses.create();
	/** Called with what this instance has to tell the others. */
	onTell: (statement: ClassStatement) => void = () => undefined;
	/** Called when others begin to tell classes of this many engines, or, without a number, no longer do. */
	onTold: (service: string, engines: number | undefined) => void = () => undefined;
	/** Called when an engine changes its class. */
	onChange: (service: string, change: ClassChange) => void = () => undefined;
	/**
	 * Whether times measured now show the engines. An instance that is short of processor time reads events late: it would take its own
	 * delays for differences between engines, and prefer others than the remaining instances do.
	 */
	mayLearn: () => boolean = () => true;
	/** Whether streams are late by the pauses of a service's engines, so that their speeds are needed; asked while these look uneven. */
	isNeeded: (service: string) => boolean = () => true;
	/** Called when the engines of a service prove alike. */
	onAlike: (service: string) => void = () => undefined;

	/** Whether what is recorded now counts. */
	get isLearning(): boolean {
		return this.setting !== false && this.mayLearn();
	}

	/** Learns from a prompt's first event: the time that the engine took from the beginning of its prefill. */
	recordReading(endpoint: string, service: string, {running, now, ...sample}: WorkSample & {running: number; now: number}): void {
		if (!this.isLearning) {
			return;
		}

		const state = this.#service(service);
		if (isPassedOver(state)) {
			return;
		}

		const isCrowded = running > (state.running * crowded.factor) + crowded.runs;
		state.running += (running - state.running) * runningWeight;
		if (!isCrowded) {
			const engine = this.#engine(endpoint, service);
			engine.reading = learnEngineSpeed(engine.reading, sample, now);
			this.#classify(service, state, now);
		}
	}

	/** Learns from the events of one of this instance's streams. */
	recordEvents(endpoint: string, service: string, {events, milliseconds, running, prefillTimeShare, now}: StreamWindow & {now: number}): void {
		if (!this.isLearning) {
			return;
		}

		const state = this.#service(service);
		if (isPassedOver(state)) {
			return;
		}

		const takenMilliseconds = milliseconds / events * (1 - Math.min(mostPrefillTimeShare, prefillTimeShare));
		const predictedMilliseconds = eventIntervalMilliseconds(state.steps, running);
		state.steps = learnStepPace(state.steps, running, takenMilliseconds);
		if (predictedMilliseconds !== undefined) {
			const engine = this.#engine(endpoint, service);
			engine.steps = learnEngineSpeed(engine.steps, {predictedMilliseconds, takenMilliseconds}, now);
			this.#classify(service, state, now);
		}
	}

	/** Records what another instance tells of the engines' classes. */
	recordTold(statement: ClassStatement, now: number): void {
		const before = this.#told.view(statement.service);
		this.#told.record(statement, now);
		this.#reportTold(statement.service, before);
	}

	/** Drops what others have told too long ago. */
	prune(now: number): void {
		for (const service of this.#told.lapse(now)) {
			this.onTold(service, undefined);
		}
	}

	/** Forgets an engine: a new one, or a new start of this one, has shown nothing yet. */
	forget(endpoint: string): void {
		this.#engines.delete(endpoint);
		this.#told.forget(endpoint);
	}

	isUneven(service: string): boolean {
		return this.setting ?? (this.#toldView(service) !== undefined || ((this.#services.get(service)?.classes.isUneven ?? false) && this.isNeeded(service)));
	}

	/** The classes of a service's engines, of those that are known; undefined where engines are alike. */
	classes(service: string): ReadonlyMap<string, EngineClass> | undefined {
		return this.isUneven(service) ? this.#toldView(service)?.classes ?? this.#services.get(service)?.classes.classes : undefined;
	}

	/** The prefill speed of an engine: its service's, corrected by what the engine has shown, here or to others. */
	prefillSpeed(endpoint: string, service: string, {speed, now}: {speed: PrefillSpeed; now: number}): PrefillSpeed {
		const factor = this.#factorOf(endpoint, service, {phase: 'reading', now});
		if (factor === 1) {
			return speed;
		}

		const {baseMilliseconds, tokensPerMillisecond, samples, rateSums, baseSums} = speed;
		return {baseMilliseconds: baseMilliseconds / factor, tokensPerMillisecond: tokensPerMillisecond * factor, samples, rateSums, baseSums};
	}

	/** Predicted time between two events of a stream at an engine that runs this many requests. */
	eventIntervalMilliseconds(endpoint: string, service: string, {running, now}: {running: number; now: number}): number {
		const milliseconds = eventIntervalMilliseconds(this.#service(service).steps, running) ?? 0;
		return milliseconds / this.#factorOf(endpoint, service, {phase: 'steps', now});
	}

	/** Speed of the fastest third of a service's engines as a multiple of the slowest third's, as far as is known. */
	spread(service: string): number {
		return this.#services.get(service)?.classes.spread ?? 1;
	}

	/** Number of engines in a class, over all uneven services, and their average speeds as multiples of their services'. */
	summaryOf(engineClass: EngineClass): {readonly engines: number; readonly reading: number; readonly steps: number} {
		const members = [...this.#engines].filter(([endpoint, {service}]) => this.classes(service)?.get(endpoint) === engineClass).map(([, engine]) => engine);
		const engines = members.length;
		const meanOf = (phase: 'reading' | 'steps'): number => members.reduce((sum, engine) => sum + engine[phase].lastingFactor, 0) / Math.max(1, engines);
		return {engines, reading: meanOf('reading'), steps: meanOf('steps')};
	}

	#reportTold(service: string, before: ToldView | undefined): void {
		const view = this.#told.view(service);
		if ((before === undefined) !== (view === undefined)) {
			this.onTold(service, view?.classes.size);
		}
	}

	/** What others tell, where this instance does not know the classes itself. */
	#toldView(service: string): ToldView | undefined {
		const isKnown = this.isLearning && this.#services.get(service)?.classes.isKnown === true;
		return isKnown || this.setting !== undefined ? undefined : this.#told.view(service);
	}

	#factorOf(endpoint: string, service: string, {phase, now}: {phase: 'reading' | 'steps'; now: number}): number {
		const told = this.#toldView(service);
		if (told !== undefined) {
			return told.speeds.get(endpoint) ?? 1;
		}

		const engine = this.#engines.get(endpoint);
		return engine === undefined ? 1 : engine[phase].lastingFactor * passingOf(engine, now);
	}

	#classify(service: string, state: ServicePace, now: number): void {
		if (now - state.classifiedAt < (areCertainlyAlike(state) ? classifyMilliseconds.alike : classifyMilliseconds.uneven)) {
			return;
		}

		state.classifiedAt = now;
		this.#forgetSilent(now);
		const engines = [...this.#engines].filter(([, engine]) => engine.service === service);
		state.engines = engines.length;
		const phases = {reading: summarize(engines.map(([, {reading}]) => reading)), steps: summarize(engines.map(([, {steps}]) => steps))};
		const evidence = engines.map(([endpoint, engine]) => evidenceOf(endpoint, engine, {phases, now}));
		const before = state.classes;
		state.classes = classifyEngines(before, evidence, this.setting);
		for (const change of changedClasses(before, state.classes, evidence)) {
			this.onChange(service, change);
		}

		if (state.classes.isKnown) {
			this.#tell(service, state.classes, {evidence, now});
		}
	}

	/** Tells the others what is in force here: nothing where engines are alike, or where no stream is late by them. */
	#tell(service: string, known: ServiceClasses, {evidence, now}: {evidence: readonly EngineEvidence[]; now: number}): void {
		if (!known.isUneven) {
			this.onAlike(service);
		}

		const classes = known.isUneven && this.isNeeded(service) ? known.classes : noClasses;
		if (this.#told.isDue({teller: this.teller, service, classes}, now)) {
			this.onTell({teller: this.teller, service, engines: classes.size === 0 ? [] : classifiedEngines(known, evidence)});
		}
	}

	#forgetSilent(now: number): void {
		for (const [endpoint, {reading, steps}] of this.#engines) {
			if (now - Math.max(reading.lastAt, steps.lastAt) > forgetMilliseconds) {
				this.#engines.delete(endpoint);
			}
		}
	}

	#engine(endpoint: string, service: string): EnginePace {
		const known = this.#engines.get(endpoint);
		if (known !== undefined) {
			return known;
		}

		const engine = {service, reading: createEngineSpeed(), steps: createEngineSpeed()};
		this.#engines.set(endpoint, engine);
		return engine;
	}

	#service(service: string): ServicePace {
		const state = this.#services.get(service) ?? {running: 0, steps: createStepPace(), classes: createServiceClasses(), classifiedAt: -Infinity, samples: 0, engines: 0};
		this.#services.set(service, state);
		return state;
	}
}

function areCertainlyAlike({classes, samples, engines}: ServicePace): boolean {
	return classes.isKnown && !classes.isUneven && samples >= engines * certainSamples;
}

/** Whether a sample is passed over, since the engines of the service are known to be alike. */
function isPassedOver(state: ServicePace): boolean {
	state.samples += 1;
	return areCertainlyAlike(state) && state.samples % alikeInterval !== 0;
}

function passingOf({reading, steps}: EnginePace, now: number): number {
	return Math.min(passingFactor(reading, now), passingFactor(steps, now));
}

/**
 * An engine's speed in both phases, each beside that of the median engine in this phase, and weighted by how far engines lie apart in
 * it. An engine full of streams shows only steps, one that reads for other instances only reading; without the medians, a phase whose
 * estimates are all too high would make it look faster. While instances are short of processor time, first events come late from all
 * engines, which look alike then in reading; without the weights, they would hide the difference that steps show.
 */
function evidenceOf(endpoint: string, {reading, steps}: EnginePace, {phases, now}: {phases: {reading: PhaseSummary; steps: PhaseSummary}; now: number}): EngineEvidence {
	const weights = {reading: weightOf(reading, phases.reading), steps: weightOf(steps, phases.steps)};
	const logarithm = (((reading.lasting - phases.reading.median) * weights.reading) + ((steps.lasting - phases.steps.median) * weights.steps)) / Math.max(Number.EPSILON, weights.reading + weights.steps);
	const lastAt = Math.max(reading.lastAt, steps.lastAt);
	return {
		endpoint, factor: Math.exp(logarithm), samples: reading.samples + steps.samples,
		spanMilliseconds: lastAt - Math.min(reading.firstAt, steps.firstAt), ageMilliseconds: now - lastAt,
	};
}

function weightOf({samples}: EngineSpeed, {spread}: PhaseSummary): number {
	return Math.min(mostCountedSamples, samples) * spread;
}

/** What all engines of a service show in one phase. */
function summarize(speeds: readonly EngineSpeed[]): PhaseSummary {
	const sorted = speeds.filter(({samples}) => samples >= leastMedianSamples).map(({lasting}) => lasting).toSorted((left, right) => left - right);
	const sixth = Math.floor(sorted.length / 6);
	return {median: sorted[Math.floor(sorted.length / 2)] ?? 0, spread: (sorted.at(-1 - sixth) ?? 0) - (sorted[sixth] ?? 0)};
}
