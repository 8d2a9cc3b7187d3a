import {type IncomingMessage} from 'node:http';
import {areForwardable} from '../model/index.js';
import {retryAfterWithoutTable} from '../policy/dispatch/index.js';
import {hash32} from '../policy/hashing/index.js';
import {chooseService, hasUrlCharacters, type Route, type RoutingTable, type Workspace} from '../routing/index.js';
import {type RequestCodec, type RequestMetadata} from './adapter/index.js';

/** Why a request is not forwarded, as its caller is told. `details` are only logged. */
export type Rejection = {
	readonly status: number;
	readonly message: string;
	readonly retryAfterMilliseconds?: number;
	readonly closesConnection?: boolean;
	readonly details?: Readonly<Record<string, unknown>>;
};

/** Where a request goes, by the routing table in force at its arrival. */
export type RequestTarget = {
	readonly facts: RequestMetadata;
	readonly table: RoutingTable;
	readonly route: Route;
	readonly service: string;
	readonly workspace: Workspace | undefined;
	/** The path with its query, in origin form. */
	readonly path: string;
};

export type TargetResult
	= | {readonly type: 'found'; readonly target: RequestTarget}
		| {readonly type: 'rejected'; readonly rejection: Rejection};

/** A request whose headers were read. */
export type TargetRequest = {
	readonly read: ReturnType<RequestCodec['readRequest']>;
	readonly table: RoutingTable | undefined;
	readonly request: IncomingMessage;
	/** How long the gateway ran when the request arrived. */
	readonly uptimeMilliseconds: number;
};

/** Finds the route, the service and the workspace of a request. */
export function findTarget({read, table, request, uptimeMilliseconds}: TargetRequest): TargetResult {
	if (table === undefined) {
		return rejected({status: 503, message: 'No routing table yet; the request has not run.', retryAfterMilliseconds: retryAfterWithoutTable(uptimeMilliseconds)});
	}

	if (read.type === 'wrong') {
		return rejected({status: 400, message: read.message});
	}

	const {facts} = read;
	const path = pathOf(request);
	if (!hasUrlCharacters(path) || !areForwardable(request.rawHeaders)) {
		return rejected({status: 400, message: 'The path, the query or a header has characters that it cannot have.'});
	}

	const route = table.findRoute(request.headers.host ?? '', path.split('?', 1)[0]!);
	const service = route && chooseService(route, drawOf(facts));
	if (route === undefined || service === undefined) {
		return rejected({status: 404, message: 'No route begins this path at this host.'});
	}

	const access = table.access(route, facts.key);
	return access.type === 'unknown-key'
		? rejected({status: 401, message: 'The key is unknown.'})
		: {type: 'found', target: {facts, table, route, service, workspace: access.workspace, path}};
}

function rejected(rejection: Rejection): TargetResult {
	return {type: 'rejected', rejection};
}

/** A number from 0 to 1 that is the same for a request and for those that resume its stream, so that they go to the same service. */
function drawOf({id, resumption}: RequestMetadata): number {
	return hash32(resumption?.request ?? id) / 0x1_00_00_00_00;
}

/** The path with its query; a URL in absolute form is forwarded in origin form. */
function pathOf({url = '/'}: IncomingMessage): string {
	return url.startsWith('/') ? url : url.replace(/^\w+:\/\/[^\/]*/v, '');
}
