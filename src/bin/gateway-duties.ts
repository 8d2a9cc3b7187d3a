import {Duties, type DutyReceiver, type DutyStore, type Peers} from '../gateway/index.js';
import {type InstanceId} from '../model/index.js';
import {hash32} from '../policy/hashing/index.js';
import {type ServiceSample} from '../policy/scaling/index.js';
import {forPart, type Logger, type Metrics} from '../telemetry/index.js';
import {type DutyProgramSettings, type GatewaySettings, parseDutySettings} from './settings/gateway-settings.js';

/** What the duties need of the process. */
export type DutyParts = {
	readonly settings: GatewaySettings;
	readonly incarnation: InstanceId;
	readonly store: DutyStore;
	readonly openReceiver: (address: string) => DutyReceiver;
	readonly peers: () => Peers;
	readonly sampleServices: () => readonly ServiceSample[] | undefined;
	readonly metrics: Metrics;
	readonly logger: Logger;
};

/** An instance without a whole core claims up to this much later, since others make the calls sooner. */
const smallInstanceDelayMilliseconds = 1000;
/** The claims of equal instances are spread over this time. */
const claimSpreadMilliseconds = 500;

/** Opens the duties if the settings name them. Settings that are wrong are reported, and the process serves requests without them. */
export async function openDuties(parts: DutyParts): Promise<Duties | undefined> {
	const result = parseDutySettings(parts.settings);
	switch (result.type) {
		case 'absent': {
			return undefined;
		}

		case 'invalid': {
			forPart(parts.logger, 'Duties').error('The settings of the duties are invalid, this instance takes no part in them.', {reason: result.error.message});
			return undefined;
		}

		case 'valid': {
			return createDuties(parts, result.settings);
		}
	}
}

async function createDuties({settings: {instance}, incarnation, store, openReceiver, peers, sampleServices, metrics, logger}: DutyParts, settings: DutyProgramSettings): Promise<Duties> {
	return Duties.create({
		instance, incarnation, store, sampleServices, metrics, logger,
		address: settings.address,
		claimDelayMilliseconds: claimDelay(instance, settings),
		settings: {
			leaseMilliseconds: settings.leaseMilliseconds, checksFences: settings.checksFences,
			windowMilliseconds: settings.usageWindowSeconds * 1000, lateMilliseconds: settings.usageLateSeconds * 1000,
		},
		receiver: openReceiver(settings.receiverAddress),
		instances: () => peers().view.instances,
		broadcast(announcement) {
			peers().broadcastHolder(announcement);
		},
	});
}

function claimDelay(instance: string, {processorShare, processorCores}: DutyProgramSettings): number {
	const lacking = Math.max(0, 1 - (processorShare * processorCores));
	return (smallInstanceDelayMilliseconds * lacking) + (claimSpreadMilliseconds * hash32(instance) / 0x1_00_00_00_00);
}
