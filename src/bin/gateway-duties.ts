import {Duties, type DutyReceiver, type DutyStore, type Peers} from '../gateway/index.js';
import {type InstanceId} from '../model/index.js';
import {claimDelay} from '../policy/duties/index.js';
import {type ServiceSample} from '../policy/scaling/index.js';
import {forPart, type Logger, type Metrics} from '../telemetry/index.js';
import {type DutyProgramSettings, type GatewaySettings, parseDutySettings} from '../settings/gateway/index.js';

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
		claimDelayMilliseconds: claimDelay(instance, settings.processorShare * settings.processorCores),
		settings: {
			leaseMilliseconds: settings.leaseMilliseconds, checksFences: settings.checksFences,
			windowMilliseconds: settings.usageWindowSeconds * 1000, lateMilliseconds: settings.usageLateSeconds * 1000,
		},
		receiver: openReceiver(settings.receiverAddress),
		instances: () => peers().view.instances,
		broadcast(announcement) {
			peers().announce(announcement);
		},
	});
}
