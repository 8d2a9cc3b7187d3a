import {isIP} from 'node:net';
import {z} from 'zod';

const maximumPort = 65_535;

/** A whole number from `minimum` to `maximum`, both included. */
export function wholeNumber(minimum: number, maximum: number) {
	const message = `a whole number from ${minimum} to ${maximum} is needed`;
	return z.string(message).regex(/^\d{1,15}$/v, message).transform(Number)
		.refine(value => value >= minimum && value <= maximum, message);
}

/** A TCP port; 0 selects any free one. */
export const port = wholeNumber(0, maximumPort);

/** An IP number; host names are not accepted, since processes connect without a name service. */
export const ipNumber = z.string('an IP number is needed').refine(text => isIP(text) !== 0, 'an IP number is needed');

/** The name of an availability zone, endpoint or instance. */
export const settingName = z.string('a name is needed').regex(/^[A-Za-z\d](?:[A-Za-z\d._\-]{0,126}[A-Za-z\d])?$/v, 'a name of letters, digits, dots, hyphens and underscores is needed, 128 at most');

/** A comma-separated list of names. */
export const nameList = z.string('names with commas between them are needed')
	.transform(text => text.split(',').map(part => part.trim()))
	.pipe(z.array(settingName).min(1));

/** The URL of an HTTP service; trailing slashes are removed. */
export const serviceUrl = z.string('an http:// or https:// address is needed')
	.refine(isServiceUrl, 'an http:// or https:// address is needed')
	.transform(text => text.replace(/\/+$/v, ''));

/** A flag without a value; as a variable it is `true` or `false`. */
export const toggle = z.enum(['true', 'false'], 'true or false is needed').transform(text => text === 'true').default(false);

/** The path of a file. */
export const filePath = z.string('a path is needed').min(1, 'a path is needed');

function isServiceUrl(text: string): boolean {
	return URL.canParse(text) && /^https?:$/v.test(new URL(text).protocol);
}
