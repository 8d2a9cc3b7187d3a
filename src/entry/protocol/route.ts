import {createFailure, FailureKind, RequestError, type TargetName} from '../../model/index.js';
import {maximumPathLength} from '../../wire/index.js';

/** The target of a caller's request, from its method and URL. */
export type Route
	= | {readonly type: 'chat' | 'completion'; readonly path: string}
		| {readonly type: 'models'}
	/** A call of a plain service; `path` is the path for the service, including the query. */
		| {readonly type: 'service'; readonly name: TargetName; readonly path: string};

const chatPath = '/v1/chat/completions';
const completionPath = '/v1/completions';
const modelsPath = '/v1/models';
const servicePattern = /^\/services\/(?<name>[a-z\d](?:[a-z\d.\-]{0,62}[a-z\d])?)(?<rest>[\/?].*)?$/v;

/** Finds the route of a request; throws a `RequestError` for an unknown path or a wrong method. */
export function routeCall(method: string, url: string): Route {
	const service = servicePattern.exec(url)?.groups;
	if (service?.name !== undefined) {
		return {type: 'service', name: service.name as TargetName, path: servicePath(service.rest ?? '/')};
	}

	const path = url.split('?', 1)[0] ?? url;
	switch (path) {
		case chatPath: {
			requireMethod(method, 'POST', path);
			return {type: 'chat', path};
		}

		case completionPath: {
			requireMethod(method, 'POST', path);
			return {type: 'completion', path};
		}

		case modelsPath: {
			requireMethod(method, 'GET', path);
			return {type: 'models'};
		}

		default: {
			throw RequestError.create(createFailure(FailureKind.unknownPath, 'The path is unknown. The known paths are /v1/chat/completions, /v1/completions, /v1/models and /services/NAME/.'));
		}
	}
}

function requireMethod(method: string, allowedMethod: string, path: string): void {
	if (method !== allowedMethod) {
		throw RequestError.create(createFailure(FailureKind.wrongMethod, `${path} accepts only the method ${allowedMethod}.`));
	}
}

/**
 * The path that is sent to the service. A path such as //other.example/x, resolved against the service's address,
 * would name another host, so that a caller could reach hosts that only the side can reach. Paths that start with
 * two slashes, or with a slash and a backslash that URL parsers read as a slash, are therefore refused. So is a path that is
 * longer than a message to a side may carry: the side would close the connection, and all requests on it would end.
 */
function servicePath(rest: string): string {
	const path = rest.startsWith('?') ? `/${rest}` : rest;
	if (/^\/[\/\\]/v.test(path)) {
		throw RequestError.create(createFailure(FailureKind.badRequest, 'The path after the service name must not start with two slashes.'));
	}

	if (path.length > maximumPathLength) {
		throw RequestError.create(createFailure(FailureKind.badRequest, `The path after the service name is longer than ${maximumPathLength} characters.`));
	}

	return path;
}
