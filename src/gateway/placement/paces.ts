import {type ClassChange, type EnginePaces, type LatePauses} from '../../policy/dispatch/index.js';
import {type PartLogger} from '../../telemetry/index.js';
import {type DispatcherOptions} from './dispatcher-options.js';

/** Connects what is learned of engines' speeds with the settings, the log and the other instances. */
export function connectPaces(paces: EnginePaces, latePauses: LatePauses, {tuning, incarnation, logger, onLoad}: DispatcherOptions): void {
	paces.setting = tuning.learnsEngines;
	paces.teller = incarnation;
	paces.onTell = statement => {
		onLoad({type: 'classes', statement});
	};

	paces.isNeeded = service => latePauses.isNeeded(service);
	paces.onAlike = service => {
		latePauses.reset(service);
	};

	paces.onChange = (service, change) => {
		logClassChange(logger, {service, isNeeded: latePauses.isNeeded(service)}, change);
	};

	paces.onTold = (service, engines) => {
		logger.info(engines === undefined ? 'Engine classes no longer told by others.' : 'Engine classes told by others.', {service, engines});
	};
}

/** Logs that an engine has changed its class, with what it follows from. Where speeds are needed, requests go elsewhere from now on. */
function logClassChange(logger: PartLogger, of: {readonly service: string; readonly isNeeded: boolean}, {endpoint, from, to, relativeSpeed, spread, samples, spanMilliseconds, ageMilliseconds}: ClassChange): void {
	logger.info('Engine class changed.', {
		endpoint, ...of, from, to, speed: rounded(relativeSpeed), spread: rounded(spread), samples, span: Math.round(spanMilliseconds), age: Math.round(ageMilliseconds),
	});
}

function rounded(value: number): number {
	return Math.round(value * 100) / 100;
}
