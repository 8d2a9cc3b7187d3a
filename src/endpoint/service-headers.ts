import {type IncomingHttpHeaders} from 'node:http';

/** Headers about the content of a request. All others, in particular those with API keys, are not forwarded to the service. */
const forwardedRequestHeaders: ReadonlySet<string> = new Set([
	'accept',
	'accept-encoding',
	'accept-language',
	'content-encoding',
	'content-language',
	'content-length',
	'content-type',
	'if-match',
	'if-modified-since',
	'if-none-match',
	'if-unmodified-since',
	'prefer',
	'range',
]);

/** Headers of a single connection (hop-by-hop), and `set-cookie`, which names a session of the endpoint. */
const droppedResponseHeaders: ReadonlySet<string> = new Set([
	'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'set-cookie', 'te', 'trailer', 'transfer-encoding', 'upgrade',
]);

/** The request headers of a caller that are forwarded to a plain service. */
export function requestHeadersForService(headers: Readonly<Record<string, string>>): Record<string, string> {
	return Object.fromEntries(Object.entries(headers).filter(([name]) => forwardedRequestHeaders.has(name.toLowerCase())));
}

/** The response headers of a plain service that are forwarded to its caller. */
export function responseHeadersForCaller(headers: IncomingHttpHeaders): Record<string, string> {
	const forwarded: Record<string, string> = {};
	for (const [name, value] of Object.entries(headers)) {
		if (typeof value === 'string' && !droppedResponseHeaders.has(name)) {
			forwarded[name] = value;
		}
	}

	return forwarded;
}
