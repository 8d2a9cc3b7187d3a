import {type IncomingHttpHeaders} from 'node:http';

/** What concerns the content of a request; everything else, keys above all, stays with the entry. */
const requestHeaders: ReadonlySet<string> = new Set([
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

/** Headers that belong to one connection, or name a session of the endpoint's own. */
const heldBack: ReadonlySet<string> = new Set([
	'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'set-cookie', 'te', 'trailer', 'transfer-encoding', 'upgrade',
]);

/** The headers of a caller that a plain service may see. */
export function headersToService(headers: Readonly<Record<string, string>>): Record<string, string> {
	return Object.fromEntries(Object.entries(headers).filter(([name]) => requestHeaders.has(name.toLowerCase())));
}

/** The headers of a plain service that its caller may see. */
export function headersToCaller(headers: IncomingHttpHeaders): Record<string, string> {
	const passed: Record<string, string> = {};
	for (const [name, value] of Object.entries(headers)) {
		if (typeof value === 'string' && !heldBack.has(name)) {
			passed[name] = value;
		}
	}

	return passed;
}
