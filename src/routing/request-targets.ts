/** A path without its query, of the visible ASCII characters. */
const pathPattern = /^\/[!->@-~]*$/v;
const targetPattern = /^[!-~]*$/v;

/** Whether a text can be the path of a request, without its query. */
export function isPath(text: string): boolean {
	return pathPattern.test(text);
}

/**
 * Whether a path with its query has characters that a URL may have alone. Node's parser refuses requests with others on some processors; on others it
 * lets them pass, and its client throws at some of them, which ends the instance.
 */
export function hasUrlCharacters(target: string): boolean {
	return targetPattern.test(target);
}
