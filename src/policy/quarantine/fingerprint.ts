import {sha256, type WorkspaceName} from '../../model/index.js';

/**
 * Fields that the fingerprint ignores, so that it stays the same when a caller sends a request again with trivially changed ids: no
 * engine computes with them. Long identifiers inside texts are masked for the same reason. Short numbers
 * are kept, since "table 12" and "table 14" are two different requests.
 */
const ignoredFields = new Set(['user', 'metadata', 'id', 'request_id', 'store', 'safety_identifier', 'prompt_cache_key', 'stream', 'stream_options', 'seed']);
const longIdentifier = /[\da-f]{8}(?:-[\da-f]{4}){3}-[\da-f]{12}|\b(?=[\da-z_\-]*\d)[\da-z_\-]{16,}\b|\d{9,}/giv;

/** The fingerprint of a request to a model: a hash of the workspace, the path and the parts of the body with which the engine computes. */
export function fingerprintOf(workspace: WorkspaceName, path: string, body: string | Uint8Array): string {
	const text = typeof body === 'string' ? body : new TextDecoder().decode(body);
	return sha256(`${workspace}\n${path}\n${canonicalBody(text)}`).slice(0, 32);
}

function canonicalBody(body: string): string {
	try {
		return JSON.stringify(canonical(JSON.parse(body) as unknown));
	} catch {
		return maskIdentifiers(body);
	}
}

function canonical(value: unknown, depth = 0): unknown {
	if (typeof value === 'string') {
		return maskIdentifiers(value);
	}

	if (Array.isArray(value)) {
		return value.map(item => canonical(item, depth + 1));
	}

	if (typeof value !== 'object' || value === null) {
		return value;
	}

	const kept = Object.entries(value)
		.filter(([name]) => depth > 0 || !ignoredFields.has(name))
		.toSorted(([left], [right]) => left < right ? -1 : 1);
	return Object.fromEntries(kept.map(([name, inner]) => [name, canonical(inner, depth + 1)]));
}

function maskIdentifiers(text: string): string {
	return text.replaceAll(longIdentifier, '#').replaceAll(/\s+/gv, ' ').trim();
}
