import {readFileSync} from 'node:fs';
import {z} from 'zod';
import {logLevels} from '../../telemetry/index.js';
import {SettingsError, type SettingsProblem} from './definition.js';

const address = z.string().regex(/^\d+\.\d+\.\d+\.\d+:\d+$/v, 'must be an IP number and a port');

/** The gateway's settings file, as JSON. Fields that are not named here are ignored. */
const gatewaySettingsSchema = z.object({
	/** The instance's name; stays the same over restarts. */
	instance: z.string().min(1),
	availabilityZone: z.string().min(1),
	/** Where callers connect. */
	callerAddress: address,
	/** Where the balancer asks whether this instance is ready, and operators read `/metrics`. */
	adminAddress: address,
	/** Where other gateways connect. */
	peerAddress: address,
	/** IP numbers of instances to try before any has announced itself. */
	seedHosts: z.array(z.string()).default([]),
	storeAddress: address,
	memoryMegabytes: z.number().positive(),
	/** Repeated sendings to a service, for each request to it, all instances together. */
	retryRatio: z.number().nonnegative().default(0.1),
	retrySlack: z.number().nonnegative().default(10),
	retryWindowSeconds: z.number().positive().default(10),
	/** An endpoint that says it leaves goes on serving for so long. */
	drainMilliseconds: z.number().positive().default(2000),
	/** What the operator changes is to be in force at every instance within this. */
	applyMilliseconds: z.number().positive().default(2000),
	/** From the signal to the end of a planned stop, in seconds. */
	stopSeconds: z.number().positive().default(8),
	logLevel: z.enum(logLevels).default('info'),
});
export type GatewaySettings = z.output<typeof gatewaySettingsSchema>;

/** Checks a settings text; one `SettingsError` names every wrong field. */
export function parseGatewaySettings(text: string): GatewaySettings {
	let value: unknown;
	try {
		value = JSON.parse(text);
	} catch (error) {
		throw SettingsError.create('cassiaflow-gateway', [{message: `the settings file is not JSON: ${String(error)}`}]);
	}

	const parsed = gatewaySettingsSchema.safeParse(value);
	if (parsed.success) {
		return parsed.data;
	}

	throw SettingsError.create('cassiaflow-gateway', parsed.error.issues.map((issue): SettingsProblem => ({message: `${issue.path.join('.')}: ${issue.message}`})));
}

export function readGatewaySettings(file: string): GatewaySettings {
	return parseGatewaySettings(readFileSync(file, 'utf8'));
}
