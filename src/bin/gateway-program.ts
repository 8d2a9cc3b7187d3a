import {readFileSync} from 'node:fs';
import process from 'node:process';
import {createLogger, forPart, LineSink, type PartLogger} from '../telemetry/index.js';
import {type GatewaySettings, parseGatewaySettings} from '../settings/gateway/index.js';
import {type GatewayAdapter} from './gateway-adapter.js';
import {GatewayProcess} from './gateway-process.js';
import {readStartSettings, waitForPorts} from './gateway-start.js';
import {firstStopRequest, onSignal} from './early-signals.js';
import {describeStop, logIgnoredSignals, stopRequest} from './stop-signal.js';

/** Poll interval of the settings file, for changes without a signal. */
const settingsPollMilliseconds = 2000;

/** Runs one gateway with the settings of a file until a signal stops it. */
export async function runGateway(settingsFile: string, adapter: GatewayAdapter): Promise<void> {
	const start = await readStartSettings(settingsFile);
	if (start.type === 'stopped' || !await waitForPorts(start.settings)) {
		process.stderr.write(`cassiaflow-gateway: Stopped by ${firstStopRequest()?.signal} before the start.\n`);
		return;
	}

	const {text, settings} = start;
	using sink = LineSink.create(process.stdout.fd);
	const logger = createLogger({name: 'cassiaflow-gateway', level: settings.logLevel, output: sink, fields: {instance: settings.instance}});
	const log = forPart(logger, 'Gateway');
	process.on('uncaughtExceptionMonitor', error => {
		log.error('Exiting after an uncaught error.', {err: error});
		sink[Symbol.dispose]();
	});
	await using program = await GatewayProcess.create({settings, adapter, logger});
	using _reload = reloadOnChange(settingsFile, text, {logger: log, apply(changed) {
		program.apply(changed);
	}});
	log.info('Started.', {version: process.version, milliseconds: Math.round(performance.now()), settings: describe(settings)});
	const request = await stopRequest();
	using _signals = logIgnoredSignals(log, 'reloads');
	log.info('Stopping.', {...describeStop(request), open: program.gateway.openRequests});
	const isDrained = await program.drain(request);
	log.info('Stopped.', {isWhole: isDrained, open: program.gateway.openRequests});
}

type ReloadCause = 'SIGHUP' | 'file';

type Reload = {readonly logger: PartLogger; readonly apply: (settings: GatewaySettings) => void};

/** Reloads the file on SIGHUP and when its content changes. If the file is invalid, the old settings stay in force. */
function reloadOnChange(file: string, initialText: string, reload: Reload): Disposable {
	let lastText = initialText;
	const check = (cause: ReloadCause): void => {
		lastText = reloadIfChanged(file, lastText, cause, reload);
	};

	const poll = setInterval(check, settingsPollMilliseconds, 'file');
	const hangups = onSignal(signal => {
		if (signal === 'SIGHUP') {
			check('SIGHUP');
		}
	});
	return {
		[Symbol.dispose]() {
			clearInterval(poll);
			hangups[Symbol.dispose]();
		},
	};
}

/** Applies the file if its text is not the last one that was read; returns the text that counts as read from now on. */
function reloadIfChanged(file: string, lastText: string, cause: ReloadCause, {logger, apply}: Reload): string {
	let text = lastText;
	try {
		text = readFileSync(file, 'utf8');
		if (text !== lastText) {
			apply(parseGatewaySettings(text));
			logger.info('Reloaded.', {cause});
		} else if (cause === 'SIGHUP') {
			logger.info('Reloaded, nothing changed.', {cause});
		}
	} catch (error) {
		logger.error('The settings file is invalid, the old settings stay in force.', {cause, reason: String(error)});
	}

	return text;
}

function describe({availabilityZone, callerAddress, adminAddress, peerAddress, storeAddress}: GatewaySettings): Readonly<Record<string, string>> {
	return {availabilityZone, callerAddress, adminAddress, peerAddress, storeAddress};
}
