import {defineSettings, type SettingsOf} from './definition/index.js';
import {ipNumber, port, wholeNumber} from './schemas.js';
import {checkTransport, platformSettings, processSettings, transportSettings} from './shared-settings.js';

const mebibyte = 1_048_576;
/**
 * Upper bound of the body limit. The body of a model call is sent in one frame of at most 8 MiB; a limit above
 * that would admit bodies that fail with an internal error instead of status 413.
 */
const maximumBodyBytes = 7 * mebibyte;

/** Settings of `cassiaflow-entry`. */
export const entrySettings = defineSettings({
	program: 'cassiaflow-entry',
	summary: 'Takes callers\' requests, chooses an endpoint for each and passes the answer back.',
	settings: {
		listenHost: {schema: ipNumber.default('127.0.0.1'), description: 'IP number to take callers\' requests on.'},
		listenPort: {schema: port.default(8080), description: 'Port for the same; 0 takes any free one.'},
		internalHost: {schema: ipNumber.default('127.0.0.1'), description: 'IP number for the system\'s other processes.'},
		internalPort: {schema: port.default(0), description: 'Port for the same; 0 takes any free one.'},
		...processSettings,
		...platformSettings,
		...transportSettings,
		noticeMilliseconds: {schema: wholeNumber(0, 600_000).default(2000), description: 'How long a stopping instance still serves new requests, until the balancer has noticed, in milliseconds.'},
		bodyLimitBytes: {schema: wholeNumber(1, maximumBodyBytes).default(4 * mebibyte), description: 'Longest request body of a model call, in bytes.'},
	},
	check: checkTransport,
});
export type EntrySettings = SettingsOf<typeof entrySettings.settings>;
