import {readFileSync} from 'node:fs';
import {z} from 'zod';
import {logLevels} from '../../telemetry/index.js';
import {SettingsError, type SettingsProblem} from '../definition/index.js';

const address = z.string().regex(/^\d+\.\d+\.\d+\.\d+:\d+$/v, 'must be an IP number and a port');

/** The calls that one instance at a time makes to the platform. */
const dutySettingsSchema = z.object({
	/** The platform's address for these calls. */
	receiverAddress: address,
	/** The address at which other gateways tell their usage to this one. */
	address,
	/** How long the instance that holds the duties may act without a renewal, in milliseconds. */
	leaseMilliseconds: z.number().min(500),
	/** Whether the platform refuses a call with an outdated fencing token. */
	checksFences: z.boolean().default(false),
	usageWindowSeconds: z.number().positive(),
	/** A window's usage is due this long after its end. */
	usageLateSeconds: z.number().positive(),
	/** The part of each core that the process gets, and the number of cores: a well equipped instance takes the duties first. */
	processorShare: z.number().positive().default(1),
	processorCores: z.number().positive().default(1),
});
export type DutyProgramSettings = z.output<typeof dutySettingsSchema>;

/** The content of the gateway's JSON settings file. Unknown fields are ignored. */
const gatewaySettingsSchema = z.object({
	/** The instance's name, which stays the same across restarts. */
	instance: z.string().min(1),
	availabilityZone: z.string().min(1),
	/** Whether the whole system starts for the first time: then nothing that the store lacks can have been before. */
	isFirstStart: z.boolean().default(false),
	/** The address for callers' requests. */
	callerAddress: address,
	/** The address for the balancer's readiness checks and the operators' `/metrics`. */
	adminAddress: address,
	/** The address for connections of other gateways. */
	peerAddress: address,
	/** IP numbers of instances to connect to before any instance has announced itself. */
	seedHosts: z.array(z.string()).default([]),
	storeAddress: address,
	memoryMegabytes: z.number().positive(),
	/** Retries to a service per request to it, over all instances. */
	retryRatio: z.number().nonnegative().default(0.1),
	retrySlack: z.number().nonnegative().default(10),
	retryWindowSeconds: z.number().positive().default(10),
	/** How long an endpoint that announces its shutdown continues to serve, in milliseconds. */
	drainMilliseconds: z.number().positive().default(2000),
	/** The time within which an operator's change must be in force at every instance, in milliseconds. */
	applyMilliseconds: z.number().positive().default(2000),
	/** The time from the signal to the end of a graceful shutdown, in seconds. */
	stopSeconds: z.number().positive().default(8),
	logLevel: z.enum(logLevels).default('info'),
	/** What placement weighs beyond slots, backlogs and cached prefixes; each costs processor time. */
	placement: z.object({
		/** Room in the memory of engines, and which prompt parts they still keep. */
		weighsMemory: z.boolean().default(false),
		/** Speeds of the engines of one service, where these are uneven. */
		weighsSpeeds: z.boolean().default(true),
	}).default({weighsMemory: false, weighsSpeeds: true}),
	/** What an instance does while its own event loop is late; absent where nothing is to change then. */
	lateLoop: z.object({
		/** The lag of the event loop from which it counts as late, in milliseconds. */
		lateMilliseconds: z.number().min(10).default(60),
		/** Whether it then begins requests by urgency and refuses those that others can serve earlier; so it is where this is absent. */
		givesAway: z.boolean().optional(),
	}).optional(),
	/** Absent where no instance has duties. An invalid value is reported, and the gateway serves requests without them. */
	duties: z.unknown().optional(),
});
export type GatewaySettings = z.output<typeof gatewaySettingsSchema>;

/** Parses a settings file's text; throws one `SettingsError` that lists every invalid field. */
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

/** The settings of the duties, if there are any. */
export type DutySettingsResult
	= | {readonly type: 'absent'}
		| {readonly type: 'valid'; readonly settings: DutyProgramSettings}
		| {readonly type: 'invalid'; readonly error: SettingsError};

/** Parses the settings of the duties. They are checked apart from the others: a gateway without duties still serves requests. */
export function parseDutySettings({duties}: GatewaySettings): DutySettingsResult {
	if (duties === undefined) {
		return {type: 'absent'};
	}

	const parsed = dutySettingsSchema.safeParse(duties);
	if (parsed.success) {
		return {type: 'valid', settings: parsed.data};
	}

	const problems = parsed.error.issues.map((issue): SettingsProblem => ({message: `duties.${issue.path.join('.')}: ${issue.message}`}));
	return {type: 'invalid', error: SettingsError.create('cassiaflow-gateway', problems)};
}

export function readGatewaySettings(file: string): GatewaySettings {
	return parseGatewaySettings(readFileSync(file, 'utf8'));
}
