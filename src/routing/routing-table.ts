import {type WorkspaceName, type ZoneName} from '../model/index.js';
import {type UrgencyPair, UrgencyRanks} from './urgency-ranks.js';

/** What may be repeated: `safe` may run more than once; a stream only if its route says `resumable`. */
export const RouteKind = {safe: 'safe', unsafe: 'unsafe', stream: 'stream'} as const;
export type RouteKind = (typeof RouteKind)[keyof typeof RouteKind];

/** A part of a route's traffic that goes to one service. */
export type ServiceShare = {readonly service: string; readonly weight: number};

/** Where requests of one host and path prefix go, and what is promised for them. */
export type Route = {
	readonly name: string;
	/** In lower case, without a port. */
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly pathPrefix: string;
	readonly kind: RouteKind;
	/** True if a stream may be continued at another endpoint after its last whole event. */
	readonly resumable: boolean;
	readonly shares: readonly ServiceShare[];
	/** The longest that a caller may be kept waiting for the end of its answer. */
	readonly timeoutMilliseconds: number;
	/** The first byte, or first event, within this time earns the full value. */
	readonly targetMilliseconds: number;
	/** 0 is the most urgent. */
	readonly urgency: number;
	/** Endpoints that one request may be sent to. */
	readonly largestAttempts: number;
	readonly isPublic: boolean;
	/** The longest pause between events that is still on time; absent for what is not a stream. */
	readonly longestPauseMilliseconds?: number | undefined;
};

/** A model engine's figures, where the service is one. */
export type EngineParameters = {
	readonly slots: number;
	/** Tokens that fit into its memory, running requests and cached parts together. */
	readonly memoryTokens: number;
	/** Tokens in one event of a stream. */
	readonly tokensPerEvent: number;
	/** Absent where engines do not pass kept prompts to each other. */
	readonly transfer?: TransferParameters | undefined;
	/** True if an engine tells which prompt parts it keeps. */
	readonly listsKept?: boolean | undefined;
};

/** How engines of a service pass memory to each other. */
export type TransferParameters = {readonly bytesPerToken: number; readonly megabitsPerSecond: number};

export type Service = {
	readonly name: string;
	/** Connections that one endpoint takes from all callers together. */
	readonly largestConnections: number;
	readonly engine?: EngineParameters | undefined;
};

/** What a caller may send, and how long it may take or stay idle. */
export type CallerLimits = {
	readonly headerBytes: number;
	readonly bodyBytes: number;
	readonly headerMilliseconds: number;
	readonly idleMilliseconds: number;
};

export type Workspace = {
	readonly name: WorkspaceName;
	readonly keys: readonly string[];
	/** Goes before the route's urgency. */
	readonly urgency?: number | undefined;
};

export type RoutingTableInput = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: readonly Service[];
	/** Absent where callers need no key. */
	readonly workspaces?: readonly Workspace[] | undefined;
	readonly limits: CallerLimits;
};

/** Whether a key opens a route, and for whom. */
export type Access
	= | {readonly type: 'allowed'; readonly workspace: Workspace | undefined}
		| {readonly type: 'unknown-key'};

/**
 * One version of what the operator published, whole and immutable. A table is replaced, never
 * changed, so that each request is judged by exactly one version.
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
	/** The shortest and longest of the pauses that a service's streams must keep. */
	readonly #pauses = new Map<string, {shortest: number; longest: number}>();
	readonly #ranks = new Map<string, UrgencyRanks>();
	readonly #urgencies = new Map<string, {readonly most: number; readonly least: number}>();
	readonly #needsKeys: boolean;

	private constructor({version, routes, services, workspaces, limits}: RoutingTableInput) {
		this.version = version;
		this.limits = limits;
		this.routes = routes;
		this.#needsKeys = workspaces !== undefined;
		// Longest prefix first, so that the first match is the right one.
		for (const route of routes.toSorted((left, right) => right.pathPrefix.length - left.pathPrefix.length)) {
			const ofHost = this.#routesByHost.get(route.host) ?? [];
			ofHost.push(route);
			this.#routesByHost.set(route.host, ofHost);
		}

		for (const service of services) {
			this.#services.set(service.name, service);
		}

		for (const route of routes) {
			this.#notePause(route);
		}

		const ofWorkspaces = [...new Set(workspaces?.map(({urgency}) => urgency))];
		for (const {name} of services) {
			this.#noteRanks(name, ofWorkspaces);
		}

		for (const workspace of workspaces ?? []) {
			for (const key of workspace.keys) {
				this.#workspaceByKey.set(key, workspace);
			}
		}
	}

	/** The route of the longest prefix that begins the path, the query not counted. */
	findRoute(host: string, path: string): Route | undefined {
		return this.#routesByHost.get(hostName(host))?.find(route => path.startsWith(route.pathPrefix));
	}

	service(name: string): Service | undefined {
		return this.#services.get(name);
	}

	/** Judges a caller's key for a route. */
	access(route: Route, key: string | undefined): Access {
		const workspace = key === undefined ? undefined : this.#workspaceByKey.get(key);
		return workspace === undefined && this.#needsKeys && !route.isPublic ? {type: 'unknown-key'} : {type: 'allowed', workspace};
	}

	/** True for streams whose pauses must be clearly shorter than those of others at the same service. */
	isLatencyCritical(route: Route, service: string): boolean {
		const pauses = this.#pauses.get(service);
		return pauses !== undefined && route.longestPauseMilliseconds === pauses.shortest && pauses.longest >= pauses.shortest * clearlyLonger;
	}

	/** The rank of a request among all that its service may get, 0 for the most urgent. */
	rank(route: Route, service: string, workspace: Workspace | undefined): number {
		return this.#ranks.get(service)?.rank({route: route.urgency, workspace: workspace?.urgency}) ?? 0;
	}

	/** The range of ranks among a service's requests whose pauses are not the tightest. */
	urgencies(service: string): {readonly most: number; readonly least: number} {
		return this.#urgencies.get(service) ?? {most: 0, least: 0};
	}

	/** The shortest pause that any of a service's streams must keep; infinite without any. */
	strictestPauseMilliseconds(service: string): number {
		return this.#pauses.get(service)?.shortest ?? Infinity;
	}

	get workspaceCount(): number {
		return new Set(this.#workspaceByKey.values()).size;
	}

	#noteRanks(service: string, ofWorkspaces: ReadonlyArray<number | undefined>): void {
		const own = this.routes.filter(({shares}) => shares.some(share => share.service === service));
		const pairsOf = (route: Route): UrgencyPair[] => (route.isPublic || !this.#needsKeys ? [undefined, ...ofWorkspaces] : ofWorkspaces)
			.map(workspace => ({route: route.urgency, workspace}));
		const ranks = UrgencyRanks.create(own.flatMap(route => pairsOf(route)));
		const ofOthers = own.filter(route => !this.isLatencyCritical(route, service)).flatMap(route => pairsOf(route)).map(pair => ranks.rank(pair));
		this.#ranks.set(service, ranks);
		if (ofOthers.length > 0) {
			this.#urgencies.set(service, {most: Math.min(...ofOthers), least: Math.max(...ofOthers)});
		}
	}

	#notePause({shares, longestPauseMilliseconds: pause}: Route): void {
		if (pause === undefined) {
			return;
		}

		for (const {service} of shares) {
			const held = this.#pauses.get(service) ?? {shortest: pause, longest: pause};
			this.#pauses.set(service, {shortest: Math.min(held.shortest, pause), longest: Math.max(held.longest, pause)});
		}
	}
}

/** Pauses nearer than this are one kind: the streams can share endpoints. */
const clearlyLonger = 1.3;

/** The service of a request: a share by weight, the same for each sending of one request id. */
export function chooseService(route: Route, draw: number): string | undefined {
	const total = route.shares.reduce((sum, share) => sum + share.weight, 0);
	let rest = draw * total;
	for (const share of route.shares) {
		rest -= share.weight;
		if (rest < 0) {
			return share.service;
		}
	}

	return route.shares.at(-1)?.service;
}

function hostName(host: string): string {
	return host.replace(/:\d+$/v, '').toLowerCase();
}

/** An endpoint as it registered itself. */
export type EndpointRecord = {
	readonly id: string;
	readonly service: string;
	/** IP number and port. */
	readonly address: string;
	readonly zone: ZoneName;
	readonly isLeaving: boolean;
	readonly slots: number;
	/** Rises with each of the endpoint's own changes within one incarnation. */
	readonly revision: number;
	/** When this incarnation started, in Unix milliseconds of its own clock; absent where it doesn't say. */
	readonly bornAt?: number | undefined;
};
