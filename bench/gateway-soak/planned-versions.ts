/** The desired states of the planned course: routes that move, come, go and come back, timeouts, limits, room and keys that change. */
import {desiredState} from '../../fakes/platform-state.js';
import {type FakePlatformStore} from '../../fakes/platform-store.js';
import {createRandom, type Random} from '../harness/random.js';
import {validKey} from './soak-platform.js';

export type PlannedRoute = {readonly name: string; readonly service: string; readonly timeoutMilliseconds: number};
/** A desired state as it was acknowledged. */
export type PlannedVersion = {readonly acknowledgedAt: number; readonly routes: readonly PlannedRoute[]; readonly keys: readonly string[]};

/** Services that a route of lookups and releases moves between. */
export const movedServices = ['orders', 'stock'] as const;
/** Routes that all versions hold, and those that come and go. */
export const lastingRoutes: readonly string[] = ['lookup', 'release', 'chart', 'question'];
export const passingRoutes = ['extra-0', 'extra-1', 'extra-2', 'extra-3'] as const;
export const passingKeys = ['key-b', 'key-c', 'key-d'] as const;
/** The shortest time that a desired state of the course lets a connection be idle. */
export const leastIdleMilliseconds = 2500;

const idleTimeouts = [leastIdleMilliseconds, 6000, 15_000] as const;
const bodyLimits = [20_000, 100_000] as const;
const manyRoutes = 300;

/** What the desired states of a course are drawn from. */
export type VersionPlan = {
	/** Routes that come and go; those of `lastingRoutes` stay. */
	readonly passing: readonly string[];
	/** Routes that move between services. */
	readonly moving: readonly string[];
	/** The services of a route, the one that it begins with first. */
	readonly servicesOf: (route: string) => readonly string[];
	/** The lasting route whose manner a passing one has. */
	readonly mannerOf: (route: string) => string;
	readonly timeouts: readonly number[];
	readonly firstTimeoutMilliseconds: number;
	/** Connections that a service has room for. */
	readonly rooms: readonly number[];
	readonly services: readonly string[];
	readonly engines: readonly string[];
};

const engineServices = ['models'] as const;
export const plannedVersionPlan: VersionPlan = {
	passing: passingRoutes, moving: ['lookup', 'release', ...passingRoutes], servicesOf: route => route === 'chart' || route === 'question' ? engineServices : movedServices, mannerOf: () => 'lookup',
	timeouts: [2500, 4000, 8000], firstTimeoutMilliseconds: 8000, rooms: [30, 100], services: movedServices, engines: engineServices,
};

type Draft = {services: Map<string, string>; timeouts: Map<string, number>; passing: Set<string>; keys: Set<string>; idleMilliseconds: number; bodyBytes: number; room: number; hasMany: boolean};
type Change = (draft: Draft, random: Random, plan: VersionPlan) => void;

function toggle<Value>(set: Set<Value>, value: Value): void {
	if (!set.delete(value)) {
		set.add(value);
	}
}

const changes: readonly Change[] = [
	({services}, random, {moving, servicesOf}) => {
		const route = random.pick(moving);
		services.set(route, random.pick(servicesOf(route)));
	},
	(draft, random, {timeouts}) => {
		draft.timeouts.set(random.pick(lastingRoutes), random.pick(timeouts));
	},
	({passing}, random, plan) => {
		toggle(passing, random.pick(plan.passing));
	},
	({keys}, random) => {
		toggle(keys, random.pick(passingKeys));
	},
	(draft, random) => {
		draft.idleMilliseconds = random.pick(idleTimeouts);
		draft.bodyBytes = random.pick(bodyLimits);
	},
	(draft, random, {rooms}) => {
		draft.room = random.pick(rooms);
	},
	(draft, random) => {
		draft.hasMany = random.uniform() < 0.5;
	},
];

/** Draws and publishes versions, and keeps what each one allows. */
export class PlannedVersions {
	static create(store: FakePlatformStore, seed: number, plan = plannedVersionPlan): PlannedVersions {
		return new PlannedVersions(store, createRandom(seed), plan);
	}

	/** All versions, the first one published first. */
	readonly published: PlannedVersion[] = [];
	readonly #store: FakePlatformStore;
	readonly #random: Random;
	readonly #plan: VersionPlan;
	readonly #draft: Draft;

	#version = 1;

	private constructor(store: FakePlatformStore, random: Random, plan: VersionPlan) {
		this.#store = store;
		this.#random = random;
		this.#plan = plan;
		this.#draft = {services: new Map(), timeouts: new Map(), passing: new Set(plan.passing.slice(0, 2)), keys: new Set(['key-b']), idleMilliseconds: 15_000, bodyBytes: 100_000, room: 100, hasMany: false};
	}

	/** Publishes the next version, with one to three changes. */
	publishNext(): void {
		for (let count = 1 + this.#random.below(3); count > 0; count--) {
			this.#random.pick(changes)(this.#draft, this.#random, this.#plan);
		}

		this.publish();
	}

	/** Publishes the version as it is drawn so far. */
	publish(): void {
		this.#version += 1 + this.#random.below(5);
		const {passing, keys, idleMilliseconds, bodyBytes, room, hasMany} = this.#draft;
		const routes = [...lastingRoutes, ...passing].map(name => this.#route(name));
		const many = hasMany ? Array.from({length: manyRoutes}, (_, number) => this.#route(`many-${number}`)) : [];
		const state = desiredState(this.#version);
		const {mannerOf, services, engines} = this.#plan;
		const given = state.routes as ReadonlyArray<Readonly<Record<string, unknown>>>;
		const mannered = (name: string): Readonly<Record<string, unknown>> | undefined => given.find(one => one.name === name) ?? given.find(one => one.name === mannerOf(name));
		const tenants = [{name: 'studio-a', apiKeys: [validKey]}, ...[...keys].map(key => ({name: `studio-${key}`, apiKeys: [key]}))];
		this.#store.put('keyed.op', 'config', {
			...state, tenants,
			routes: [...routes, ...many].map(({name, service, timeoutMilliseconds}) => ({...mannered(name), name, pathPrefix: `/${name}/`, service, timeoutMs: timeoutMilliseconds})),
			services: [...services.map(name => ({name, maxConnections: room})), ...engines.map(name => ({name, maxConnections: room, engine: {slots: 16, kvCapacity: 400_000, stride: 7}}))],
			limits: {maxHeaderBytes: 16_384, maxBodyBytes: bodyBytes, headerTimeoutMs: 3000, idleTimeoutMs: idleMilliseconds},
		});
		this.published.push({acknowledgedAt: performance.now(), routes, keys: [validKey, ...keys]});
	}

	#route(name: string): PlannedRoute {
		const {servicesOf, firstTimeoutMilliseconds} = this.#plan;
		const service = this.#draft.services.get(name) ?? servicesOf(name)[0]!;
		return {name, service, timeoutMilliseconds: this.#draft.timeouts.get(name) ?? firstTimeoutMilliseconds};
	}
}
