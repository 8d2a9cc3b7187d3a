import {sha256} from '../../model/index.js';
import {fingerprintOfPart} from '../../policy/quarantine/index.js';

/** What stays the same when a caller sends a request again, and what it shares with other requests. */
export type RepeatableRequest = {
	readonly workspace: string | undefined;
	readonly method: string;
	readonly path: string;
	readonly body: Uint8Array | undefined;
	/** Ids of the parts of its prompt that other requests may share. */
	readonly parts: readonly string[];
};

/** Fingerprints by request. While crashes are known, a request asks for them when it arrives, after each failure and when it has run. */
const computed = new WeakMap<RepeatableRequest, readonly string[]>();

/** The fingerprint of a request, and those of the prompt parts that it shares. */
export function fingerprintsOf(request: RepeatableRequest): readonly string[] {
	return computed.get(request) ?? [fingerprintOf(request), ...new Set(request.parts.map(part => fingerprintOfPart(part)))];
}

/** The same, kept for the next time, since the request is asked about again. */
export function keptFingerprintsOf(request: RepeatableRequest): readonly string[] {
	const fingerprints = fingerprintsOf(request);
	computed.set(request, fingerprints);
	return fingerprints;
}

/** Hash of what stays the same when a caller sends a request again. The body is opaque, so any change of it makes another request. */
function fingerprintOf({workspace = '', method, path, body = new Uint8Array()}: RepeatableRequest): string {
	return sha256(`${workspace}\n${method}\n${path}\n`, body).slice(0, 32);
}
