/**
 * Load pattern: instances of different sizes before engines that differ in speed. An instance that is short of processor time reads events
 * late and cannot tell engines apart. If it takes them for alike, it packs streams with tight pauses onto other engines than the rest of the
 * fleet does, and sends long prompts to those where the others keep theirs, so that streams of all instances are late.
 *
 * Instances that know the classes tell them: the first few in the order of their names, again and again, so that one that has just started
 * learns them soon. What was told holds for a lease. Whoever does not know the classes itself takes for each engine what most tellers say.
 */
import {EngineClass} from './engine-classes.js';

/** One engine as its teller knows it; the speed is a multiple of the median engine's. */
export type ToldEngine = {readonly endpoint: string; readonly engineClass: EngineClass; readonly relativeSpeed: number};

/** What one instance tells of a service's engines; none where they are alike. */
export type ClassStatement = {readonly teller: string; readonly service: string; readonly engines: readonly ToldEngine[]};

/** What the tellers agree on. */
export type ToldView = {readonly classes: ReadonlyMap<string, EngineClass>; readonly speeds: ReadonlyMap<string, number>};

/** Instances that tell the classes of a service, where more know them: with three, one that is wrong is outvoted. */
const maxTellers = 3;
/** A statement is told again after this time, or sooner if a class has changed. */
const repeatMilliseconds = {unchanged: 8000, changed: 1000};
/** A statement holds for this time after its arrival: three times until the next one. */
export const statementLeaseMilliseconds = 24_000;

type HeldStatement = ClassStatement & {readonly until: number};

/** The statements of other instances, and when this one told its own. */
export class ToldClasses {
	static create(): ToldClasses {
		return new ToldClasses();
	}

	readonly #statements = new Map<string, Map<string, HeldStatement>>();
	readonly #views = new Map<string, ToldView | undefined>();
	readonly #own = new Map<string, {readonly toldAt: number; readonly classes: ReadonlyMap<string, EngineClass>}>();

	/** Records what another instance tells; the newest statement of an instance counts. */
	record(statement: ClassStatement, now: number): void {
		const held = this.#statements.get(statement.service) ?? new Map<string, HeldStatement>();
		held.set(statement.teller, {...statement, until: now + statementLeaseMilliseconds});
		this.#statements.set(statement.service, held);
		this.#views.set(statement.service, viewOf([...held.values()]));
	}

	/** Drops statements whose lease is over; returns the services of which nothing is told any more. */
	lapse(now: number): string[] {
		const ended: string[] = [];
		for (const [service, held] of this.#statements) {
			const before = this.#views.get(service);
			for (const [teller] of [...held].filter(([, {until}]) => until <= now)) {
				held.delete(teller);
			}

			this.#views.set(service, viewOf([...held.values()]));
			if (before !== undefined && this.#views.get(service) === undefined) {
				ended.push(service);
			}
		}

		return ended;
	}

	/** What is told of a service's engines; undefined if nobody tells that they are uneven. */
	view(service: string): ToldView | undefined {
		return this.#views.get(service);
	}

	/** Forgets one engine in all statements: its next start may run on another machine. */
	forget(endpoint: string): void {
		for (const [service, held] of this.#statements) {
			for (const [teller, statement] of held) {
				held.set(teller, {...statement, engines: statement.engines.filter(engine => engine.endpoint !== endpoint)});
			}

			this.#views.set(service, viewOf([...held.values()]));
		}
	}

	/** Whether this instance tells these classes now; if so, they count as told. */
	isDue({teller, service, classes}: {teller: string; service: string; classes: ReadonlyMap<string, EngineClass>}, now: number): boolean {
		const own = this.#own.get(service);
		const hasNothingToSay = classes.size === 0 && (own?.classes.size ?? 0) === 0;
		const preceding = [...this.#statements.get(service)?.keys() ?? []].filter(other => other < teller).length;
		if (hasNothingToSay || preceding >= maxTellers) {
			return false;
		}

		const pause = own !== undefined && areAlike(own.classes, classes) ? repeatMilliseconds.unchanged : repeatMilliseconds.changed;
		if (now - (own?.toldAt ?? -Infinity) < pause) {
			return false;
		}

		this.#own.set(service, {toldAt: now, classes});
		return true;
	}
}

function areAlike(one: ReadonlyMap<string, EngineClass>, other: ReadonlyMap<string, EngineClass>): boolean {
	return one.size === other.size && [...one].every(([endpoint, engineClass]) => other.get(endpoint) === engineClass);
}

/** The view of all statements; undefined unless most of them say that engines are uneven. */
function viewOf(statements: readonly ClassStatement[]): ToldView | undefined {
	const uneven = statements.filter(({engines}) => engines.length > 0);
	if (uneven.length === 0 || uneven.length * 2 < statements.length) {
		return undefined;
	}

	const byEndpoint = new Map<string, ToldEngine[]>();
	for (const engine of uneven.flatMap(({engines}) => engines)) {
		byEndpoint.set(engine.endpoint, [...byEndpoint.get(engine.endpoint) ?? [], engine]);
	}

	return {
		classes: new Map(Array.from(byEndpoint, ([endpoint, told]) => [endpoint, classOfMost(told)])),
		speeds: new Map(Array.from(byEndpoint, ([endpoint, told]) => [endpoint, medianSpeed(told)])),
	};
}

function classOfMost(told: readonly ToldEngine[]): EngineClass {
	const count = (wanted: EngineClass): number => told.filter(({engineClass}) => engineClass === wanted).length;
	const most = Object.values(EngineClass).toSorted((left, right) => count(right) - count(left));
	return count(most[0]!) > count(most[1]!) ? most[0]! : EngineClass.usual;
}

function medianSpeed(told: readonly ToldEngine[]): number {
	const sorted = told.map(({relativeSpeed}) => relativeSpeed).toSorted((left, right) => left - right);
	return sorted[Math.floor(sorted.length / 2)]!;
}
