import {sha256} from '../../model/index.js';

/** Enough to tell the keys of one table apart, and too few to find a key by. */
const fingerprintCharacters = 8;

/** How a key of a workspace is named in output, which never contains the key itself. */
export function fingerprintOf(key: string): string {
	return `sha256:${sha256(key).slice(0, fingerprintCharacters)}`;
}

/** Whether an Authorization header can carry a key: it has characters, and no white space. */
export function isUsableKey(key: string): boolean {
	return /^\S+$/v.test(key);
}
