import {randomUUID} from 'node:crypto';
import {EngineClient, EngineControl, ServiceClient} from '../../src/endpoint/index.js';
import {type Entry as CatalogueEntry, catalogueStream, type Change} from '../../src/catalogue/index.js';
import {ClaimManager} from '../../src/entry/claims/index.js';
import {Entry, type EntryOptions} from '../../src/entry/index.js';
import {
	createInstanceId, type EndpointId, type InstanceId, type TargetName, type ZoneName,
} from '../../src/model/index.js';
import {
	CatalogueFollower, handleCatalogueMessage, HttpLogClient, HttpMembershipClient, QuarantineLedger,
} from '../../src/platform/index.js';
import {type Placement, subsetPlacement} from '../../src/policy/placement/index.js';
import {createSettings, type Scheduler, createTieredScheduler} from '../../src/policy/scheduler/index.js';
import {type Backend, EndpointWatch, Side, type SideOptions} from '../../src/side/index.js';
import {createLogger, forPart, type Logger} from '../../src/telemetry/index.js';
import {
	type EngineCosts, FakeEngine, FakeLog, FakeMembers, FakeService,
} from '../../fakes/index.js';
import {type Security} from '../../src/wire/index.js';

const platformTimeoutMilliseconds = 2000;
const healthTimeoutMilliseconds = 1000;
/** Delay for the load balancer to notice a drain. Short, since the harness's callers check readiness before each call. */
const balancerMilliseconds = 100;
const loopback = '127.0.0.1';

/** An endpoint and its side, as started by the harness. */
export type LocalEndpoint = LocalSide & {readonly name: string; readonly zone: string; readonly engine: FakeEngine};

/** The side (the sidecar process) of an endpoint; replaced after a crash. */
type LocalSide = {
	side: Side<any>;
	instance: InstanceId;
	/** Everything that ends with the side process; the engine does not. */
	sideParts: readonly AsyncDisposable[];
};

type SidePlan = {
	readonly name: string;
	readonly zone: string;
	readonly targets: readonly string[];
	readonly backend: Backend;
	readonly quarantine?: SideOptions<unknown>['quarantine'];
};

export type LocalEntry = {readonly entry: Entry<any>; readonly follower: CatalogueFollower; readonly quarantine: QuarantineLedger; readonly claims: ClaimManager; readonly instance: InstanceId; readonly zone: string};

export type LocalFleetOptions = {
	readonly entries: number;
	readonly endpoints: number;
	readonly zones: readonly string[];
	readonly models: readonly string[];
	readonly costs?: Partial<EngineCosts>;
	readonly scheduler?: () => Scheduler<any>;
	readonly placement?: () => Promise<Placement<any>>;
	readonly random: () => number;
	readonly security?: Security;
	readonly logLevel?: 'debug' | 'info' | 'warn' | 'error' | 'fatal';
	readonly onEnd?: EntryOptions<unknown>['onEnd'];
	/** Returns the address to list instead of a side's own, such as that of a network path with fault injection. */
	readonly route?: (endpoint: string, address: string) => Promise<string>;
};

/**
 * Runs the product's entries and sides in this process, over real TCP on loopback, with stand-ins around
 * them. Contains only the harness; every decision is made by the product's code.
 */
export class LocalFleet implements AsyncDisposable {
	static async create(options: LocalFleetOptions): Promise<LocalFleet> {
		const fleet = new LocalFleet(options, await FakeLog.create(), await FakeMembers.create());
		for (let index = 0; index < options.endpoints; index++) {
			await fleet.addEndpoint(`engine-${index}`, options.zones[index % options.zones.length]!);
		}

		for (let index = 0; index < options.entries; index++) {
			await fleet.addEntry(options.zones[index % options.zones.length]!);
		}

		return fleet;
	}

	readonly entries: LocalEntry[] = [];
	readonly endpoints: LocalEndpoint[] = [];
	readonly log: FakeLog;
	readonly members: FakeMembers;
	readonly logger: Logger;
	readonly #services: AsyncDisposable[] = [];
	readonly #options: LocalFleetOptions;
	readonly #security: Security;

	private constructor(options: LocalFleetOptions, log: FakeLog, members: FakeMembers) {
		this.#options = options;
		this.log = log;
		this.members = members;
		this.#security = options.security ?? {type: 'plaintext'};
		this.logger = createLogger({name: 'local-fleet', level: options.logLevel ?? 'error'});
	}

	/** Starts an engine and its side, and adds the side to the membership list. */
	async addEndpoint(name: string, zone: string): Promise<LocalEndpoint> {
		const engine = await FakeEngine.create({models: this.#options.models, costs: this.#options.costs});
		const endpoint = {name, zone, engine, ...await this.#startSide(name, zone, engine)};
		this.endpoints.push(endpoint);
		await this.#listSide(endpoint);
		return endpoint;
	}

	/** Starts a plain service and its side, and adds the side to the membership list. */
	async addService(target: string, zone: string): Promise<FakeService> {
		const service = await FakeService.create();
		const client = ServiceClient.create({baseUrl: service.url});
		const name = `service-${target}`;
		const {side, instance, follower} = await this.#createSide({name, zone, targets: [target], backend: {type: 'service', client}});
		this.members.set({instance, role: 'side', address: side.address, zone, state: 'live', endpoint: name, targets: [target]});
		this.#services.push(side, client, follower, service);
		return service;
	}

	/** Ends a side process without a drain; its engine keeps running. */
	async crashSide(endpoint: LocalEndpoint): Promise<void> {
		await disposeAll(endpoint.sideParts);
	}

	/** Starts a replacement of a crashed side for the same engine. */
	async restartSide(endpoint: LocalEndpoint): Promise<void> {
		this.members.remove(endpoint.instance);
		Object.assign(endpoint, await this.#startSide(endpoint.name, endpoint.zone, endpoint.engine));
		await this.#listSide(endpoint);
	}

	async addEntry(zone: string): Promise<LocalEntry> {
		const instance = createInstanceId('entry');
		const follower = this.#follow(instance);
		const quarantine = QuarantineLedger.create({log: this.#logClient()});
		const claims = ClaimManager.create({log: this.#logClient(), instance});
		const entry = await Entry.create({
			instance,
			zone: zone as ZoneName,
			host: loopback,
			port: 0,
			bodyLimitBytes: 4_000_000,
			security: this.#security,
			catalogue: follower,
			membership: HttpMembershipClient.create({baseUrl: this.members.url, timeoutMilliseconds: platformTimeoutMilliseconds}),
			placement: await (this.#options.placement?.() ?? subsetPlacement),
			logger: forPart(this.logger, 'Entry'),
			quarantine,
			claims,
			random: this.#options.random,
			onPeerMessage(link, message) {
				handleCatalogueMessage(follower, message, reply => {
					link.send(reply);
				});
			},
			onEnd: this.#options.onEnd,
		});
		const local = {entry, follower, quarantine, claims, instance, zone};
		this.entries.push(local);
		this.members.set({instance, role: 'entry', address: entry.internalAddress, zone, state: 'live'});
		return local;
	}

	/** Publishes new catalogue entries, and waits until every entry process has them. */
	async publish(entries: readonly CatalogueEntry[], author = 'operator'): Promise<void> {
		const log = this.#logClient();
		const change: Change = {
			type: 'change', id: randomUUID(), author, time: Date.now(), operations: entries.map(entry => ({type: 'put', entry})),
		};
		const result = await log.append(catalogueStream, change);
		if (result.type !== 'appended') {
			throw new Error(`The change was not appended: ${result.reason}`);
		}

		await until(() => this.entries.every(({follower}) => follower.isReady && follower.current().offset >= result.offset));
	}

	/** Waits until every entry is connected to every side. */
	async connected(): Promise<void> {
		await until(() => this.entries.every(({entry}) => entry.fleet.connected.length >= this.endpoints.length));
	}

	/** Shuts an endpoint down gracefully: drains its side, removes it from the membership list, then ends both. */
	async stopEndpoint(endpoint: LocalEndpoint): Promise<void> {
		await endpoint.side.drain();
		this.members.remove(endpoint.instance);
		await disposeAll([...endpoint.sideParts, endpoint.engine]);
		this.endpoints.splice(this.endpoints.indexOf(endpoint), 1);
	}

	/** Ends an entry without a drain and removes it from the membership list. */
	async crashEntry(local: LocalEntry): Promise<void> {
		this.entries.splice(this.entries.indexOf(local), 1);
		this.members.remove(local.instance);
		await disposeAll([local.entry, local.claims, local.quarantine, local.follower]);
	}

	async stopEntry(local: LocalEntry): Promise<void> {
		await local.entry.drain(balancerMilliseconds);
		this.members.remove(local.instance);
		this.entries.splice(this.entries.indexOf(local), 1);
		await disposeAll([local.entry, local.claims, local.quarantine, local.follower]);
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await disposeAll(this.entries.flatMap(({entry, claims, quarantine, follower}) => [entry, claims, quarantine, follower]));
		await disposeAll(this.endpoints.flatMap(({sideParts, engine}) => [...sideParts, engine]));
		await disposeAll([...this.#services, this.members, this.log]);
	}

	async #startSide(name: string, zone: string, engine: FakeEngine): Promise<LocalSide> {
		const client = EngineClient.create({baseUrl: engine.url});
		const control = EngineControl.create({baseUrl: engine.url, timeoutMilliseconds: healthTimeoutMilliseconds});
		const ledger = QuarantineLedger.create({log: this.#logClient()});
		const {side, instance, follower} = await this.#createSide({
			name, zone, targets: this.#options.models, backend: {type: 'engine', client}, quarantine: {ledger, isHealthy: async () => control.isHealthy()},
		});
		const watch = EndpointWatch.create(control, side);
		return {side, instance, sideParts: [watch, side, ledger, client, follower]};
	}

	async #createSide({name, zone, targets, backend, quarantine}: SidePlan): Promise<{side: Side<any>; instance: InstanceId; follower: CatalogueFollower}> {
		const instance = createInstanceId('side');
		const follower = this.#follow(instance);
		const side = await Side.create({
			instance,
			endpoint: name as EndpointId,
			targets: targets as TargetName[],
			zone: zone as ZoneName,
			host: loopback,
			port: 0,
			security: this.#security,
			backend,
			scheduler: this.#options.scheduler?.() ?? createTieredScheduler(createSettings()),
			logger: forPart(this.logger, 'Side'),
			quarantine,
			catalogueOffset: () => follower.current().offset,
			onPeerMessage(message, reply) {
				handleCatalogueMessage(follower, message, reply);
			},
		});
		return {side, instance, follower};
	}

	async #listSide({name, zone, side, instance}: LocalEndpoint): Promise<void> {
		const address = await this.#options.route?.(name, side.address) ?? side.address;
		this.members.set({instance, role: 'side', address, zone, state: 'live', endpoint: name, targets: this.#options.models});
	}

	#logClient(): HttpLogClient {
		return HttpLogClient.create({baseUrl: this.log.url, timeoutMilliseconds: platformTimeoutMilliseconds});
	}

	#follow(instance: string): CatalogueFollower {
		const logger = forPart(this.logger, 'Catalogue');
		return CatalogueFollower.create({
			log: this.#logClient(),
			instance,
			onLog(message) {
				logger.debug(message);
			},
		});
	}
}

async function disposeAll(parts: readonly AsyncDisposable[]): Promise<void> {
	for (const part of parts) {
		await part[Symbol.asyncDispose]();
	}
}

const pollMilliseconds = 10;
const patienceMilliseconds = 20_000;

/** Polls until the condition holds; throws if it does not within twenty seconds. */
export async function until(condition: () => boolean): Promise<void> {
	const deadline = performance.now() + patienceMilliseconds;
	while (!condition()) {
		if (performance.now() > deadline) {
			throw new Error('The awaited condition did not hold within 20 s.');
		}

		await new Promise(resolve => {
			setTimeout(resolve, pollMilliseconds);
		});
	}
}
