/** A name is a token of RFC 9110; Node throws at others. */
const namePattern = /^[!#$%\u{26}'*+\-.^_`\|~\w]+$/v;

const valuePattern = /^[\t\u{20}-\u{7E}\u{80}-\u{FF}]*$/v;

/**
 * Whether raw headers, names and values in turn, can be forwarded. Node's parser lets some pass, on some processors more than on others, at which its
 * client and its server throw; such an error ends the instance, so that one caller or endpoint could end all of them.
 */
export function areForwardable(rawHeaders: readonly string[]): boolean {
	return rawHeaders.every((text, index) => (index % 2 === 0 ? namePattern : valuePattern).test(text));
}
