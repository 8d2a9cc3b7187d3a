import {randomUUID} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import {catalogueStream, type Change, type Entry as CatalogueEntry} from '../../src/catalogue/index.js';
import {type EngineFaults, type LogFaults, type MembersFaults} from '../../fakes/index.js';
import {type LocalEndpoint} from '../harness/local-fleet.js';
import {type FaultKind, type PlannedFault} from './plan.js';
import {type World} from './world.js';

/** Within this time after it began to drain, an endpoint must have stopped getting new requests. */
const drainingMilliseconds = 2000;
/** Within this time a change must be in force at every entry. */
const inForceMilliseconds = 5000;
const countedEvents = 2;
const slowFactor = 12;
const slowLogMilliseconds = 400;
const pathDelayMilliseconds = 30;
const crashTokens = 7;

/** Faults caused by callers; see load.ts. */
export type CallerFault = 'poison-request' | 'caller-burst';

type Injection = (world: World, fault: PlannedFault) => Promise<void>;

/** Injects a fault for its duration and then removes it. */
export async function injectFault(world: World, kind: Exclude<FaultKind, CallerFault>, fault: PlannedFault): Promise<void> {
	await injections[kind](world, fault);
}

const injections: Readonly<Record<Exclude<FaultKind, CallerFault>, Injection>> = {
	'engine-crash': async (world, {target}) => world.endpoint(target).engine.crash(),
	'engine-crash-mid-stream': onEngine({crashAfterTokens: crashTokens}),
	'engine-slow': onEngine({slowFactor}, {slowFactor: 1}),
	'engine-frozen': onEngine({frozen: true}, {frozen: false}),
	'engine-refuses': onEngine({refuseRequests: countedEvents}),
	'engine-wrong-load': onEngine({wrongLoad: {running: 500, waiting: 500, memoryUsed: 0, stepMilliseconds: 900}}, {wrongLoad: undefined}),
	'engine-down': onEngine({mode: 'error'}, {mode: 'up'}),
	'events-crossed': onEngine({crossEvents: countedEvents}),
	'events-late': onEngine({lateEvents: countedEvents}),
	'events-duplicated': onEngine({duplicateEvents: countedEvents}),
	'events-foreign': onEngine({foreignEvents: countedEvents}),
	'events-dropped': onEngine({dropEvents: countedEvents}),
	'stream-truncated': onEngine({truncateStreams: countedEvents}),
	async 'side-crash'(world, {target, durationMilliseconds}) {
		const endpoint = world.endpoint(target);
		await exclusively(world, endpoint, async () => {
			await world.fleet.crashSide(endpoint);
			await delay(durationMilliseconds);
			await world.fleet.restartSide(endpoint);
		});
	},
	async 'entry-crash'(world, {target, durationMilliseconds}) {
		const entry = world.entry(target);
		if (world.fleet.entries.length < 2) {
			return;
		}

		await exclusively(world, entry, async () => {
			world.crashedEntries.set(entry.entry.address, performance.now());
			await world.fleet.crashEntry(entry);
			await delay(durationMilliseconds);
			await world.fleet.addEntry(entry.zone);
		});
	},
	async 'path-cut'(world, {target}) {
		world.path(target).cut();
	},
	async 'path-silent'(world, {target, durationMilliseconds}) {
		const path = world.path(target);
		path.faults.silent = true;
		await delay(durationMilliseconds);
		path.heal();
	},
	async 'path-slow'(world, {target, durationMilliseconds}) {
		const path = world.path(target);
		path.faults.delayMilliseconds = pathDelayMilliseconds;
		await delay(durationMilliseconds);
		path.faults.delayMilliseconds = 0;
	},
	'log-down': onLog({mode: 'reset'}, {mode: 'up'}),
	'log-slow': onLog({delayMilliseconds: slowLogMilliseconds}, {delayMilliseconds: 0}),
	'log-loses-answers': onLog({loseAnswers: countedEvents}),
	'log-appends-twice': onLog({duplicateAppends: countedEvents}),
	'log-rate-limited': onLog({appendsPerSecond: 5}, {appendsPerSecond: 0}),
	'log-retention': onLog({retainRecords: 40}, {retainRecords: 0}),
	'members-down': onMembers({mode: 'error'}, {mode: 'up'}),
	'members-lag': onMembers({lagMilliseconds: 60_000}, {lagMilliseconds: 0}),
	async 'members-hide'(world, {target, durationMilliseconds}) {
		world.fleet.members.faults.hidden = [world.endpoint(target).instance];
		await delay(durationMilliseconds);
		world.fleet.members.faults.hidden = [];
	},
	async 'members-phantom'(world, {durationMilliseconds}) {
		world.fleet.members.faults.phantoms = [{
			instance: 'ghost', role: 'side', address: '127.0.0.1:9', zone: 'zone-a', state: 'live', endpoint: 'ghost', targets: ['soak-7b'],
		}];
		await delay(durationMilliseconds);
		world.fleet.members.faults.phantoms = [];
	},
	async 'stop-entry'(world, {target}) {
		const entry = world.entry(target);
		await exclusively(world, entry, async () => {
			await world.fleet.addEntry(entry.zone);
			await world.fleet.stopEntry(entry);
		});
	},
	async 'stop-endpoint'(world, {target}) {
		const endpoint = world.endpoint(target);
		await exclusively(world, endpoint, async () => {
			const added = await world.fleet.addEndpoint(`engine-${world.nextEndpoint++}`, 'zone-a');
			world.addEngine(added.engine);
			await Promise.all([world.fleet.stopEndpoint(endpoint), checkDraining(world, endpoint)]);
		});
	},
	async publish(world, {target}) {
		await publishAndTime(world, `model-${target}-${randomUUID().slice(0, 8)}`);
	},
	async 'publish-race'(world, {target}) {
		const name = `raced-${target}-${randomUUID().slice(0, 8)}`;
		await Promise.all([publishAndTime(world, name), publishAndTime(world, name)]);
	},
};

/** Runs the action unless another fault is already taking this process down. */
async function exclusively(world: World, localProcess: Record<string, unknown>, action: () => Promise<void>): Promise<void> {
	if (world.inTransition.has(localProcess)) {
		return;
	}

	world.inTransition.add(localProcess);
	await action();
	world.inTransition.delete(localProcess);
}

function onEngine(faults: Partial<EngineFaults>, after: Partial<EngineFaults> = {}): Injection {
	return async (world, {target, durationMilliseconds}) => {
		const {engine} = world.endpoint(target);
		Object.assign(engine.faults, faults);
		await delay(durationMilliseconds);
		Object.assign(engine.faults, after);
	};
}

function onLog(faults: Partial<LogFaults>, after: Partial<LogFaults> = {}): Injection {
	return async (world, {durationMilliseconds}) => {
		world.logFaultyUntil = Number.POSITIVE_INFINITY;
		Object.assign(world.fleet.log.faults, faults);
		await delay(durationMilliseconds);
		Object.assign(world.fleet.log.faults, after);
		world.logFaultyUntil = performance.now();
	};
}

function onMembers(faults: Partial<MembersFaults>, after: Partial<MembersFaults>): Injection {
	return async (world, {durationMilliseconds}) => {
		Object.assign(world.fleet.members.faults, faults);
		await delay(durationMilliseconds);
		Object.assign(world.fleet.members.faults, after);
	};
}

/** Checks that the engine starts no request later than two seconds after its endpoint began to drain. */
async function checkDraining(world: World, {engine, name}: LocalEndpoint): Promise<void> {
	await delay(drainingMilliseconds);
	const before = totalRuns(engine.runsByRequest);
	await delay(drainingMilliseconds);
	const after = totalRuns(engine.runsByRequest);
	if (after > before) {
		world.violations.push({rule: 'leaving gets no work', detail: `${name} began ${after - before} runs later than ${drainingMilliseconds} ms after it began to leave`, at: performance.now()});
	}
}

function totalRuns(runs: ReadonlyMap<string, number>): number {
	return [...runs.values()].reduce((total, count) => total + count, 0);
}

/** Publishes a model and measures the time until it is in force at each entry. */
async function publishAndTime(world: World, name: string): Promise<void> {
	const startedAt = performance.now();
	const entry: CatalogueEntry = {kind: 'model', name, owner: 'soak', version: '1', replicas: 0, adapters: []};
	const change: Change = {type: 'change', id: randomUUID(), author: 'soak', time: Date.now(), operations: [{type: 'put', entry}]};
	const offset = world.fleet.log.put(catalogueStream, change);
	const entries = [...world.fleet.entries];
	while (entries.some(({entry: member, follower}) => world.fleet.entries.some(local => local.entry === member) && follower.current().offset < offset)) {
		await delay(20);
		const elapsed = performance.now() - startedAt;
		if (elapsed > inForceMilliseconds && world.logFaultyUntil < startedAt) {
			world.violations.push({rule: 'in force within 5 s', detail: `offset ${offset} is not in force everywhere after ${Math.round(elapsed)} ms with a log that was well`, at: performance.now()});
			return;
		}

		if (elapsed > inForceMilliseconds * 4) {
			return;
		}
	}

	if (world.logFaultyUntil < startedAt) {
		world.slowestChangeMilliseconds = Math.max(world.slowestChangeMilliseconds, performance.now() - startedAt);
	}
}
