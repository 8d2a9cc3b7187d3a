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

const timeouts = [2500, 4000, 8000] as const;
const idleTimeouts = [leastIdleMilliseconds, 6000, 15_000] as const;
const bodyLimits = [20_000, 100_000] as const;
const rooms = [30, 100] as const;
const manyRoutes = 300;

type Draft = {services: Map<string, string>; timeouts: Map<string, number>; passing: Set<string>; keys: Set<string>; idleMilliseconds: number; bodyBytes: number; room: number; hasMany: boolean};
type Change = (draft: Draft, random: Random) => void;

function toggle<Value>(set: Set<Value>, value: Value): void {
	if (!set.delete(value)) {
		set.add(value);
	}
}

const changes: readonly Change[] = [
	({services}, random) => {
		services.set(random.pick(['lookup', 'release', ...passingRoutes]), random.pick(movedServices));
	},
	(draft, random) => {
		draft.timeouts.set(random.pick(lastingRoutes), random.pick(timeouts));
	},
	({passing}, random) => {
		toggle(passing, random.pick(passingRoutes));
	},
	({keys}, random) => {
		toggle(keys, random.pick(passingKeys));
	},
	(draft, random) => {
		draft.idleMilliseconds = random.pick(idleTimeouts);
		draft.bodyBytes = random.pick(bodyLimits);
	},
	(draft, random) => {
		draft.room = random.pick(rooms);
	},
	(draft, random) => {
		draft.hasMany = random.uniform() < 0.5;
	},
];

/** Draws and publishes versions, and keeps what each one allows. */
export class PlannedVersions {
	static create(store: FakePlatformStore, seed: number): PlannedVersions {
		return new PlannedVersions(store, createRandom(seed));
	}

	/** All versions, the first one published first. */
	readonly published: PlannedVersion[] = [];
	readonly #store: FakePlatformStore;
	readonly #random: Random;
	readonly #draft: Draft = {
		services: new Map(), timeouts: new Map(), passing: new Set(['extra-0', 'extra-1']), keys: new Set(['key-b']), idleMilliseconds: 15_000, bodyBytes: 100_000, room: 100, hasMany: false,
	};

	#version = 1;

	private constructor(store: FakePlatformStore, random: Random) {
		this.#store = store;
		this.#random = random;
	}

	/** Publishes the next version, with one to three changes. */
	publishNext(): void {
		for (let count = 1 + this.#random.below(3); count > 0; count--) {
			this.#random.pick(changes)(this.#draft, this.#random);
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
		const [lookup, ...others] = state.routes as ReadonlyArray<Readonly<Record<string, unknown>>>;
		const tenants = [{name: 'studio-a', apiKeys: [validKey]}, ...[...keys].map(key => ({name: `studio-${key}`, apiKeys: [key]}))];
		this.#store.put('keyed.op', 'config', {
			...state, tenants,
			routes: [...routes, ...many].map(({name, service, timeoutMilliseconds}) => ({...[lookup, ...others].find(one => one!.name === name) ?? lookup, name, pathPrefix: `/${name}/`, service, timeoutMs: timeoutMilliseconds})),
			services: [...movedServices.map(name => ({name, maxConnections: room})), {name: 'models', maxConnections: room, engine: {slots: 16, kvCapacity: 400_000, stride: 7}}],
			limits: {maxHeaderBytes: 16_384, maxBodyBytes: bodyBytes, headerTimeoutMs: 3000, idleTimeoutMs: idleMilliseconds},
		});
		this.published.push({acknowledgedAt: performance.now(), routes, keys: [validKey, ...keys]});
	}

	#route(name: string): PlannedRoute {
		const service = name === 'chart' || name === 'question' ? 'models' : this.#draft.services.get(name) ?? 'orders';
		return {name, service, timeoutMilliseconds: this.#draft.timeouts.get(name) ?? 8000};
	}
}
