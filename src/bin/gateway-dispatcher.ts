import process from 'node:process';
import {Dispatcher, encodeRateLimitReport, encodeSharesWanted, type Peers, PromptCacheReader, type RoutingState} from '../gateway/index.js';
import {type InstanceId, type ZoneName} from '../model/index.js';
import {type RetryAllowance} from '../policy/dispatch/index.js';
import {forPart, type Logger} from '../telemetry/index.js';
import {type GatewaySettings, parseTuning, tuningOf} from '../settings/gateway/index.js';
import {type GatewayAdapter} from './gateway-adapter.js';

/** What placement needs of the process. `peers` is called only once they are open. */
export type DispatcherParts = {
	readonly settings: GatewaySettings;
	readonly incarnation: InstanceId;
	readonly routingState: RoutingState;
	readonly peers: () => Peers;
	readonly logger: Logger;
};

/** Opens the dispatcher, which tells the other instances of its load, its endpoints' rate limits and the shares that it wants. */
export function openDispatcher({settings, incarnation, routingState, peers, logger}: DispatcherParts): Dispatcher {
	return Dispatcher.create({
		incarnation,
		zone: settings.availabilityZone as ZoneName,
		routingState,
		logger: forPart(logger, 'Dispatch'),
		allowance: allowanceOf(settings),
		// What an instance has spent before it ended counts for a window.
		slackSharing: () => peers().roster.slackSharing((settings.stopSeconds + settings.retryWindowSeconds) * 1000, performance.now()),
		random: Math.random,
		tuning: parseTuning(process.env.CASSIAFLOW_TUNING, tuningOf(settings.placement)),
		onLoad(event) {
			peers().broadcastLoad(event);
		},
		instance: settings.instance,
		instances: () => peers().roster.presentNames(performance.now()),
		onRateLimitReport(report) {
			peers().announce(encodeRateLimitReport(report, performance.now()));
		},
		onSharesWanted(endpoints, now) {
			peers().announce(encodeSharesWanted(endpoints, now));
		},
	});
}

/** Opens the reader of what engines have cached, which tells the dispatcher and the other instances. */
export function openPromptCacheReader({settings, routingState, peers, logger}: DispatcherParts, dispatcher: Dispatcher, adapter: GatewayAdapter): PromptCacheReader {
	return PromptCacheReader.create({
		instance: settings.instance, routingState, logger: forPart(logger, 'Kept'),
		instances: () => peers().roster.instanceNames,
		read: async address => adapter.readCachedParts(address),
		statements: dispatcher.statements,
		onRead(list) {
			dispatcher.applyLoad({type: 'kept', ...list});
			peers().broadcastPromptCache(list);
		},
	});
}

/** The allowance of retries that the settings name. */
export function allowanceOf({retryRatio, retrySlack, retryWindowSeconds}: GatewaySettings): RetryAllowance {
	return {ratio: retryRatio, slack: retrySlack, windowMilliseconds: retryWindowSeconds * 1000};
}
