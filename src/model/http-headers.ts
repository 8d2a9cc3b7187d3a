/** A name is a token of RFC 9110; Node throws at others. */
const namePattern = /^[!#$%\u{26}'*+\-.^_`\|~\w]+$/v;

const valuePattern = /^[\t\u{20}-\u{7E}\u{80}-\u{FF}]*$/v;

/**
 * Whether raw headers, names and values in turn, can be passed on. Node's parser lets some pass, by processor, at which its client and its server
 * throw.
 */
export function canPassOn(rawHeaders: readonly string[]): boolean {
	return rawHeaders.every((text, index) => (index % 2 === 0 ? namePattern : valuePattern).test(text));
}
