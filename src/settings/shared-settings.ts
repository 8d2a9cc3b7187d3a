import {z} from 'zod';
import {logLevels} from '../telemetry/index.js';
import {type SettingsProblem} from './definition/index.js';
import {
	filePath, ipNumber, port, serviceUrl, settingName, toggle, wholeNumber,
} from './schemas.js';

/** Settings of every process. */
export const processSettings = {
	zone: {schema: settingName, description: 'Availability zone this instance stands in.'},
	instance: {schema: settingName.optional(), description: 'Name of this instance in logs; made up at start if missing.'},
	adminHost: {schema: ipNumber.default('127.0.0.1'), description: 'IP number for /healthz, /readyz, /metrics and /status.'},
	adminPort: {schema: port.default(0), description: 'Port for the same; 0 takes any free one.'},
	logLevel: {schema: z.enum(logLevels, `one of ${logLevels.join(', ')} is needed`).default('info'), description: `Least level of log lines: ${logLevels.join(', ')}.`},
	stopMilliseconds: {schema: wholeNumber(0, 86_400_000).default(600_000), description: 'How long a graceful stop waits for requests in progress, in milliseconds.'},
};

/** Addresses of the platform's services. */
export const platformSettings = {
	logUrl: {schema: serviceUrl, description: 'Address of the platform\'s append-only log.'},
	membersUrl: {schema: serviceUrl, description: 'Address of the platform\'s membership list.'},
};

/** Settings of the authentication between processes. */
export const transportSettings = {
	tlsKeyFile: {schema: filePath.optional(), description: 'PEM file with this process\'s private key, for mutual TLS between processes.'},
	tlsCertificateFile: {schema: filePath.optional(), description: 'PEM file with this process\'s certificate.'},
	tlsAuthorityFile: {schema: filePath.optional(), description: 'PEM file with the authority that signs every process\'s certificate.'},
	insecurePlaintext: {schema: toggle, isSwitch: true, description: 'Talk between processes without TLS. For closed networks and tests only.'},
};

type TransportValues = {
	readonly tlsKeyFile?: string | undefined;
	readonly tlsCertificateFile?: string | undefined;
	readonly tlsAuthorityFile?: string | undefined;
	readonly insecurePlaintext: boolean;
};

const transportFiles = ['tlsKeyFile', 'tlsCertificateFile', 'tlsAuthorityFile'] as const;

/**
 * Checks that either all TLS files or plain text is configured. If a missing certificate setting disabled TLS,
 * anyone in the network could send requests and read responses. Plain text therefore needs its own flag, which
 * can't be combined with certificate settings.
 */
export function checkTransport(values: TransportValues): readonly SettingsProblem[] {
	const given = transportFiles.filter(name => values[name] !== undefined);
	if (values.insecurePlaintext) {
		return given.map(setting => ({setting, message: 'can\'t be used together with --insecure-plaintext'}));
	}

	const missing = transportFiles.filter(name => values[name] === undefined);
	return missing.map(setting => ({setting, message: 'is needed, or --insecure-plaintext in a closed network'}));
}
