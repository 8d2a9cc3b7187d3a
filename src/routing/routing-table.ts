import {type WorkspaceName, type ZoneName} from '../model/index.js';
import {type UrgencyPair, UrgencyRanks} from './urgency-ranks.js';

/**
 * Which requests may be retried: `safe` ones may run more than once, `unsafe` ones may not, and a stream may only if its route
 * is `resumable`.
 */
export const RouteKind = {safe: 'safe', unsafe: 'unsafe', stream: 'stream'} as const;
export type RouteKind = (typeof RouteKind)[keyof typeof RouteKind];

/** The part of a route's traffic that goes to one service. */
export type ServiceShare = {readonly service: string; readonly weight: number};

/** The services to which requests of one host and path prefix go, and the service level for them. */
export type Route = {
	readonly name: string;
	/** In lower case and without a port. */
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly pathPrefix: string;
	readonly kind: RouteKind;
	/** True if a stream may be resumed at another endpoint after its last complete event. */
	readonly resumable: boolean;
	readonly shares: readonly ServiceShare[];
	/** Time from a request's arrival within which its response must end. */
	readonly timeoutMilliseconds: number;
	/** A response is on time if its first byte, or first event, arrives within this time. */
	readonly targetMilliseconds: number;
	/** 0 is the most urgent. */
	readonly urgency: number;
	/** Maximum number of endpoints to which one request may be sent. */
	readonly largestAttempts: number;
	readonly isPublic: boolean;
	/** The longest pause between events that is still on time; absent for routes that are not streams. */
	readonly longestPauseMilliseconds?: number | undefined;
};

/** The parameters of a service's engines, if the service is a model. */
export type EngineParameters = {
	readonly slots: number;
	/** Tokens that fit into its memory, for running requests and cached prompt parts together. */
	readonly memoryTokens: number;
	/** Tokens per event of a stream. */
	readonly tokensPerEvent: number;
	/** Absent if engines do not transfer cached prompt parts to each other. */
	readonly transfer?: TransferParameters | undefined;
	/** True if an engine reports which prompt parts it has cached. */
	readonly listsKept?: boolean | undefined;
};

/** The parameters of cache transfers between the engines of a service. */
export type TransferParameters = {readonly bytesPerToken: number; readonly megabitsPerSecond: number};

/** Bounds of a service's endpoints in each availability zone, and the time from an order until an endpoint serves. */
export type ScaleParameters = {readonly leastEndpoints: number; readonly mostEndpoints: number; readonly bootMilliseconds: number};

/** A group of equivalent endpoints to which routes send requests. */
export type Service = {
	readonly name: string;
	/** Maximum number of connections that one endpoint accepts from all callers together. */
	readonly largestConnections: number;
	readonly engine?: EngineParameters | undefined;
	/** Absent if the platform takes no orders for its endpoints. */
	readonly scale?: ScaleParameters | undefined;
};

/** Limits on what a caller may send, and on how long it may take or stay idle. */
export type CallerLimits = {
	readonly headerBytes: number;
	readonly bodyBytes: number;
	readonly headerMilliseconds: number;
	readonly idleMilliseconds: number;
};

/** A customer, identified by its keys. */
export type Workspace = {
	readonly name: WorkspaceName;
	readonly keys: readonly string[];
	/** Takes precedence over the route's urgency. */
	readonly urgency?: number | undefined;
};

/** The content of a routing table, as published by the operator. */
export type RoutingTableInput = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: readonly Service[];
	/** Absent if callers need no key. */
	readonly workspaces?: readonly Workspace[] | undefined;
	readonly limits: CallerLimits;
};

/** Whether a key gives access to a route, and for which workspace. */
export type Access
	= | {readonly type: 'allowed'; readonly workspace: Workspace | undefined}
		| {readonly type: 'unknown-key'};

/**
 * One complete, immutable version of the routing configuration that the operator published. A table is replaced, never
 * changed, so that each request is handled by exactly one version.
 */
export class RoutingTable {
	static create(input: RoutingTableInput): RoutingTable {
		return new RoutingTable(input);
	}

	readonly version: number;
	readonly limits: CallerLimits;
	readonly routes: readonly Route[];
	readonly #routesByHost = new Map<string, Route[]>();
	readonly #services = new Map<string, Service>();
	readonly #workspaceByKey = new Map<string, Workspace>();
	/** The shortest and the longest of the pause limits of a service's streams. */
	readonly #pauses = new Map<string, {shortest: number; longest: number}>();
	readonly #ranks = new Map<string, UrgencyRanks>();
	/** For each service, the range of ranks of its requests that are not latency-critical. */
	readonly #rankRanges = new Map<string, {readonly most: number; readonly least: number}>();
	readonly #needsKeys: boolean;

	private constructor({version, routes, services, workspaces, limits}: RoutingTableInput) {
		this.version = version;
		this.limits = limits;
		this.routes = routes;
		this.#needsKeys = workspaces !== undefined;
		// Longest prefix first, so that the first match is the right one.
		for (const route of routes.toSorted((left, right) => right.pathPrefix.length - left.pathPrefix.length)) {
			const routesOfHost = this.#routesByHost.get(route.host) ?? [];
			routesOfHost.push(route);
			this.#routesByHost.set(route.host, routesOfHost);
		}

		for (const service of services) {
			this.#services.set(service.name, service);
		}

		for (const route of routes) {
			this.#recordPause(route);
		}

		const workspaceUrgencies = [...new Set(workspaces?.map(({urgency}) => urgency))];
		for (const {name} of services) {
			this.#recordRanks(name, workspaceUrgencies);
		}

		for (const workspace of workspaces ?? []) {
			for (const key of workspace.keys) {
				this.#workspaceByKey.set(key, workspace);
			}
		}
	}

	/** The route with the longest path prefix that matches the path; `path` excludes the query. */
	findRoute(host: string, path: string): Route | undefined {
		return this.#routesByHost.get(hostName(host))?.find(route => path.startsWith(route.pathPrefix));
	}

	service(name: string): Service | undefined {
		return this.#services.get(name);
	}

	/** Checks a caller's key for a route. */
	access(route: Route, key: string | undefined): Access {
		const workspace = key === undefined ? undefined : this.#workspaceByKey.get(key);
		return workspace === undefined && this.#needsKeys && !route.isPublic ? {type: 'unknown-key'} : {type: 'allowed', workspace};
	}

	/**
	 * True if the route's streams are latency-critical: they have the strictest pause limit of the service, and the longest
	 * one is at least `distinctPauseRatio` times as long.
	 */
	isLatencyCritical(route: Route, service: string): boolean {
		const pauses = this.#pauses.get(service);
		return pauses !== undefined && route.longestPauseMilliseconds === pauses.shortest && pauses.longest >= pauses.shortest * distinctPauseRatio;
	}

	/** The rank of a request among all that its service may receive, 0 for the most urgent. */
	rank(route: Route, service: string, workspace: Workspace | undefined): number {
		return this.#ranks.get(service)?.rank({route: route.urgency, workspace: workspace?.urgency}) ?? 0;
	}

	/** The range of ranks among a service's requests that are not latency-critical. */
	urgencies(service: string): {readonly most: number; readonly least: number} {
		return this.#rankRanges.get(service) ?? {most: 0, least: 0};
	}

	/** The shortest pause limit of any of a service's streams; infinite if there is none. */
	strictestPauseMilliseconds(service: string): number {
		return this.#pauses.get(service)?.shortest ?? Infinity;
	}

	get workspaceCount(): number {
		return new Set(this.#workspaceByKey.values()).size;
	}

	#recordRanks(service: string, workspaceUrgencies: ReadonlyArray<number | undefined>): void {
		const routes = this.routes.filter(({shares}) => shares.some(share => share.service === service));
		const pairsOf = (route: Route): UrgencyPair[] => (route.isPublic || !this.#needsKeys ? [undefined, ...workspaceUrgencies] : workspaceUrgencies)
			.map(workspace => ({route: route.urgency, workspace}));
		const ranks = UrgencyRanks.create(routes.flatMap(route => pairsOf(route)));
		const otherRanks = routes.filter(route => !this.isLatencyCritical(route, service)).flatMap(route => pairsOf(route)).map(pair => ranks.rank(pair));
		this.#ranks.set(service, ranks);
		if (otherRanks.length > 0) {
			this.#rankRanges.set(service, {most: Math.min(...otherRanks), least: Math.max(...otherRanks)});
		}
	}

	#recordPause({shares, longestPauseMilliseconds: pause}: Route): void {
		if (pause === undefined) {
			return;
		}

		for (const {service} of shares) {
			const current = this.#pauses.get(service) ?? {shortest: pause, longest: pause};
			this.#pauses.set(service, {shortest: Math.min(current.shortest, pause), longest: Math.max(current.longest, pause)});
		}
	}
}

/** Pause limits whose ratio is smaller than this count as equal: their streams can share endpoints. */
const distinctPauseRatio = 1.3;

/** Chooses the service of a request by weight; `draw` is from 0 to 1 and must be the same for each attempt of one request id. */
export function chooseService(route: Route, draw: number): string | undefined {
	const total = route.shares.reduce((sum, share) => sum + share.weight, 0);
	let remaining = draw * total;
	for (const share of route.shares) {
		remaining -= share.weight;
		if (remaining < 0) {
			return share.service;
		}
	}

	return route.shares.at(-1)?.service;
}

function hostName(host: string): string {
	return host.replace(/:\d+$/v, '').toLowerCase();
}

/** An endpoint's registration record, as the endpoint wrote it. */
export type EndpointRecord = {
	readonly id: string;
	readonly service: string;
	/** IP address and port. */
	readonly address: string;
	readonly zone: ZoneName;
	readonly isLeaving: boolean;
	readonly slots: number;
	/** Rises with each change that the endpoint makes to its record within one incarnation. */
	readonly revision: number;
	/** The start time of this incarnation in Unix milliseconds of its own clock; absent if the endpoint does not report it. */
	readonly bornAt?: number | undefined;
	/** The version of its software; absent if the endpoint does not report it. */
	readonly build?: string | undefined;
};

/** The build of an endpoint; those that report none are of one build. */
export function buildOf({build = ''}: EndpointRecord): string {
	return build;
}
