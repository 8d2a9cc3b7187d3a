import {type IncomingHttpHeaders} from 'node:http';

const millisecondsPerSecond = 1000;

/**
 * How long a response asks to wait, in milliseconds, by its `Retry-After` (RFC 9110, section 10.2.3): seconds, with fractions, or a
 * date. A date counts from that of the response, because the sender's clock may differ from this one. `undefined` if the header is absent
 * or malformed.
 */
export function readRetryAfter({'retry-after': text, date}: IncomingHttpHeaders): number | undefined {
	if (text === undefined || text.trim() === '') {
		return undefined;
	}

	const seconds = Number(text);
	const milliseconds = Number.isNaN(seconds) ? Math.max(0, Date.parse(text) - Date.parse(date ?? '')) : seconds * millisecondsPerSecond;
	return milliseconds >= 0 && milliseconds < Infinity ? milliseconds : undefined;
}
