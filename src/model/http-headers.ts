import {Buffer} from 'node:buffer';

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

/** Raw headers, names and values in turn, without those that say how long the body is. */
export function withoutLength(rawHeaders: readonly string[]): string[] {
	return rawHeaders.filter((_, index) => rawHeaders[index - (index % 2)]!.toLowerCase() !== 'content-length');
}

/** Statuses of final responses (RFC 9110, section 15); those below are informational, and those beyond are none. */
const finalStatuses = {first: 200, last: 599};
/** Statuses by which a receiver refuses a request. */
const refusalStatuses = {first: 400, last: 499};

/** Whether a number is the status of a final response. */
export function isFinalStatus(status: number): boolean {
	return status >= finalStatuses.first && status <= finalStatuses.last;
}

/** Whether a status says that the request was refused, and so that nothing has happened. */
export function isRefusal(status: number): boolean {
	return status >= refusalStatuses.first && status <= refusalStatuses.last;
}

const asciiPattern = /^[\u{20}-\u{7E}]+$/v;

/** Without control characters, unpaired surrogates, and the character that stands for bytes that are no text. */
const headerTextPattern = /^[^\p{Cc}\p{Cs}\u{FFFD}]*$/v;

/** Whether a text from outside can be the value of a header; see `toHeaderValue`. */
export function isHeaderText(text: string): boolean {
	return headerTextPattern.test(text);
}

/** A text as the value of a header: its bytes in UTF-8, as Node writes one byte for each character and throws at those beyond Latin-1. */
export function toHeaderValue(text: string): string {
	return asciiPattern.test(text) ? text : Buffer.from(text, 'utf8').toString('latin1');
}
