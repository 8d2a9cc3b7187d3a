import {isIP} from 'node:net';
import {z} from 'zod';

const largestPort = 65_535;

/** A whole number between two bounds. */
export function wholeNumber(least: number, most: number) {
	const message = `a whole number from ${least} to ${most} is needed`;
	return z.string(message).regex(/^\d{1,15}$/v, message).transform(Number)
		.refine(value => value >= least && value <= most, message);
}

/** A TCP port; 0 asks for any free one. */
export const port = wholeNumber(0, largestPort);

/** An IP number: processes find each other without a name service. */
export const ipNumber = z.string('an IP number is needed').refine(text => isIP(text) !== 0, 'an IP number is needed');

/** A name of a zone, endpoint or instance. */
export const settingName = z.string('a name is needed').regex(/^[A-Za-z\d](?:[A-Za-z\d._\-]{0,126}[A-Za-z\d])?$/v, 'a name of letters, digits, dots, hyphens and underscores is needed, 128 at most');

/** Names with commas between them. */
export const nameList = z.string('names with commas between them are needed')
	.transform(text => text.split(',').map(part => part.trim()))
	.pipe(z.array(settingName).min(1));

/** An address of an HTTP service, without a trailing slash. */
export const serviceUrl = z.string('an http:// or https:// address is needed')
	.refine(isServiceUrl, 'an http:// or https:// address is needed')
	.transform(text => text.replace(/\/+$/v, ''));

/** A flag that is there or not; as a variable it is `true` or `false`. */
export const toggle = z.enum(['true', 'false'], 'true or false is needed').transform(text => text === 'true').default(false);

/** A path of a file. */
export const filePath = z.string('a path is needed').min(1, 'a path is needed');

function isServiceUrl(text: string): boolean {
	return URL.canParse(text) && /^https?:$/v.test(new URL(text).protocol);
}
