/** The operator's command: publishes catalogue changes, checks configurations, and shows the state and the decisions of the fleet. */
import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {
	checkFile, checkRouting, checkSettings, explainFromLogs, showDutiesFromLogs, explainRequest, listQuarantine, MissingSettingError, OperatorExit, publishFile, releaseQuarantine, showAudit, showCatalogue, showHistory, showStatementsFromLogs, showStatus,
	type CommandResult, type OperatorContext, type RoutingReader,
} from '../../operator/index.js';
import {HttpLogClient, HttpMembershipClient, PlatformError} from '../../platform/index.js';
import {endProcess, packageVersion} from '../../settings/index.js';

/** Timeout of one request to the platform's log or membership list. */
const requestTimeoutMilliseconds = 5000;

/** The command line names no command, or options and arguments that its command does not have. */
class CommandLineError extends Error {
	static create(message: string): CommandLineError {
		return new CommandLineError(message);
	}

	private constructor(message: string) {
		super(message);
	}
}

type Settings = {logUrl?: string; membersUrl?: string; instance?: string[]; author: string; json: boolean};
type Command = (context: OperatorContext) => Promise<CommandResult>;

async function run(settings: Settings, command: Command): Promise<void> {
	await using log = settings.logUrl === undefined ? undefined : HttpLogClient.create({baseUrl: settings.logUrl, timeoutMilliseconds: requestTimeoutMilliseconds});
	await using members = settings.membersUrl === undefined ? undefined : HttpMembershipClient.create({baseUrl: settings.membersUrl, timeoutMilliseconds: requestTimeoutMilliseconds});
	const context = {log, members, instances: settings.instance ?? [], author: settings.author};
	const result = await command(context).catch((error: unknown) => toFailure(error));
	process.exitCode = result.exit;
	process.stdout.write(`${settings.json ? JSON.stringify(result.value) : result.text}\n`);
}

function toFailure(error: unknown): CommandResult {
	const message = error instanceof Error ? error.message : String(error);
	const exit = error instanceof MissingSettingError || isFileError(error) ? OperatorExit.usage : OperatorExit.unreachable;
	if (exit === OperatorExit.unreachable && !(error instanceof PlatformError)) {
		throw error;
	}

	return {exit, value: {outcome: 'failed', message}, text: message};
}

function isFileError(error: unknown): boolean {
	return error instanceof Error && 'syscall' in error && 'path' in error;
}

const {env} = process;
const limitOption = {type: 'number', default: 50, describe: 'the newest so many'} as const;
const fileArgument = {type: 'string', demandOption: true, describe: 'a catalogue file in YAML or JSON'} as const;
const explainOptions = {
	'log-file': {type: 'string', array: true, requiresArg: true, describe: 'log files of gateways to read, in place of asking instances'},
} as const;
const logFileOptions = {
	'log-file': {type: 'string', array: true, requiresArg: true, demandOption: true, describe: 'log files of gateways to read'},
} as const;
const statementOptions = {
	...logFileOptions,
	at: {type: 'string', requiresArg: true, describe: 'a time, in ISO 8601; by default the end of the logs'},
} as const;
const publishOptions = {
	'dry-run': {type: 'boolean', default: false, describe: 'only tell what would change'},
	wait: {type: 'boolean', default: false, describe: 'wait until every instance has it in force'},
	'patience-milliseconds': {type: 'number', default: 30_000, describe: 'how long to wait for the record, and for the instances'},
} as const;

const routingOptions = {
	against: {type: 'string', requiresArg: true, describe: 'a file with the version to compare with'},
	'store-address': {type: 'string', requiresArg: true, conflicts: 'against', describe: 'HOST:PORT of the platform\'s store, to compare with the version in force [CASSIAFLOW_STORE_ADDRESS]'},
} as const;

/** Runs the command of the process's arguments, and ends the process. Without a reader, routing tables can't be checked. */
export async function runOperator(reader?: RoutingReader): Promise<never> {
	try {
		await createParser(reader).parseAsync();
	} catch (error) {
		if (!(error instanceof CommandLineError)) {
			throw error;
		}

		process.stderr.write(`${error.message}\nSee cassiaflow --help.\n`);
		process.exitCode = OperatorExit.usage;
	}

	return endProcess(Number(process.exitCode ?? OperatorExit.ok));
}

/** The command line. */
const createParser = (reader: RoutingReader | undefined) => yargs(hideBin(process.argv))
	.scriptName('cassiaflow')
	.usage('$0 <command>\n\nPublishes catalogue changes, checks configurations, and tells what the fleet did.')
	.options({
		'log-url': {type: 'string', default: env.CASSIAFLOW_LOG_URL, describe: 'address of the platform\'s log [CASSIAFLOW_LOG_URL]'},
		'members-url': {type: 'string', default: env.CASSIAFLOW_MEMBERS_URL, describe: 'address of the platform\'s membership list [CASSIAFLOW_MEMBERS_URL]'},
		instance: {type: 'string', array: true, requiresArg: true, nargs: 1, describe: 'admin address to ask, in place of the membership list; may be repeated'},
		author: {type: 'string', default: env.CASSIAFLOW_AUTHOR ?? env.USER ?? 'unknown', describe: 'who publishes, for the audit trail [CASSIAFLOW_AUTHOR]'},
		json: {type: 'boolean', default: false, describe: 'print JSON for programs'},
	})
	.command('catalogue', 'check, publish and show the catalogue', catalogue => catalogue
		.command('check <file>', 'check a file, and against the catalogue in force if a log is given', command => command.positional('file', fileArgument), async settings => {
			await run(settings, async context => checkFile(context, settings.file));
		})
		.command('publish <file>', 'publish a file', command => command.positional('file', fileArgument).options(publishOptions), async settings => {
			await run(settings, async context => publishFile(context, settings.file, settings));
		})
		.command('show [filter]', 'the entries in force, with revisions', command => command.positional('filter', {type: 'string', describe: 'part of KIND:NAME'}), async settings => {
			await run(settings, async context => showCatalogue(context, settings.filter));
		})
		.command('history', 'the changes, one line each', command => command.option('limit', limitOption), async settings => {
			await run(settings, async context => showHistory(context, settings.limit));
		})
		.demandCommand(1, 'Say which: check, publish, show or history.'))
	.command('audit', 'each change: who, when, before, after, verdict', command => command.option('limit', limitOption), async settings => {
		await run(settings, async context => showAudit(context, settings.limit));
	})
	.command('status', 'the instances, their queues and the catalogue they have in force', {}, async settings => {
		await run(settings as unknown as Settings, showStatus);
	})
	.command('explain <request>', 'what was decided about a request, in the order of time', command => command.positional('request', {type: 'string', demandOption: true}).options(explainOptions), async settings => {
		await run(settings, async context => settings.logFile === undefined ? explainRequest(context, settings.request) : explainFromLogs(settings.logFile, settings.request));
	})
	.command('duties', 'from logs of gateways, who held the duties of one instance, and what was reported', command => command.options(logFileOptions), async settings => {
		await run(settings, async () => showDutiesFromLogs(settings.logFile));
	})
	.command('statements [endpoint]', 'from logs of gateways, what endpoints have stated of themselves that is in force: rate limits, leaving, backoffs', command => command.positional('endpoint', {type: 'string', describe: 'only of this endpoint'}).options(statementOptions), async settings => {
		await run(settings, async () => showStatementsFromLogs({files: settings.logFile, endpoint: settings.endpoint, at: settings.at}));
	})
	.command('settings', 'settings files of gateways', group => group
		.command('check <file>', 'check one as a start does', command => command.positional('file', {type: 'string', demandOption: true}), async settings => {
			await run(settings, async () => checkSettings(settings.file));
		})
		.demandCommand(1, 'Say what: check.'))
	.command('routing', 'routing tables of gateways', group => group
		.command('check <file>', 'check one before it is sent, and what differs from the version in force; nothing is written', command => command.positional('file', {type: 'string', demandOption: true}).options(routingOptions), async settings => {
			const {file, against} = settings;
			const storeAddress = settings.storeAddress ?? (against === undefined ? env.CASSIAFLOW_STORE_ADDRESS : undefined);
			await run(settings, async () => checkRouting(reader, {file, against, storeAddress}));
		})
		.demandCommand(1, 'Say what: check.'))
	.command('quarantine', 'requests that are refused because they crashed endpoints', quarantine => quarantine
		.command('list', 'show them', {}, async settings => {
			await run(settings as unknown as Settings, listQuarantine);
		})
		.command('release <fingerprint>', 'let one run again', command => command.positional('fingerprint', {type: 'string', demandOption: true}), async settings => {
			await run(settings, async context => releaseQuarantine(context, settings.fingerprint));
		})
		.demandCommand(1, 'Say which: list or release.'))
	.completion('completion', 'print a script that completes commands in the shell')
	.version(packageVersion())
	.demandCommand(1, 'Say what to do; --help lists the commands.')
	.strict()
	.exitProcess(false)
	.wrap(null)
	.fail((message, error: Error | undefined) => {
		// Thrown, because yargs runs the command all the same after a handler that returns.
		throw error ?? CommandLineError.create(message);
	})
	.epilogue('Exit codes: 0 done, 1 rejected or wrong file, 2 wrong command line, 3 unknown whether it was kept or in force, 4 nothing could be reached, 5 not found.');
