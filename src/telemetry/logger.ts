import process from 'node:process';
import bunyan from 'bunyan';
import {redactedJson} from './redaction.js';

/** The logger of a process. Its parts write through `forPart`. */
export type Logger = bunyan;

/** The log levels that a setting accepts, most verbose first. */
export const logLevels = ['trace', 'debug', 'info', 'warn', 'error', 'fatal'] as const;
export type LogLevel = (typeof logLevels)[number];

/** A destination for log lines. */
type LineWriter = {write(line: string): unknown};

export type LoggerOptions = {
	/** The program's name, included in each line. */
	readonly name: string;
	readonly level: LogLevel;
	/** The destination of the lines; standard error by default. */
	readonly output?: LineWriter;
	/** Fields included in each line, such as the instance. */
	readonly fields?: Readonly<Record<string, unknown>>;
};

/**
 * Without a listener the first line after the reader of the logs has left ends the process, with all requests in progress.
 */
function outliveReader(): void {
	process.stderr.removeListener('error', ignoreError);
	process.stderr.on('error', ignoreError);
}

function ignoreError(): void {
	// There is nobody to tell it to.
}

/** Creates a logger that writes one JSON object per line. */
export function createLogger({name, level, output = process.stderr, fields = {}}: LoggerOptions): Logger {
	if (output === process.stderr) {
		outliveReader();
	}

	const stream = {
		write(record: unknown) {
			output.write(`${redactedJson(record)}\n`);
		},
	};
	return bunyan.createLogger({
		name,
		serializers: {err: bunyan.stdSerializers.err},
		streams: [{type: 'raw', level, stream}],
		...fields,
	});
}

type Fields = Readonly<Record<string, unknown>>;

/** Writes log messages with the prefix of one part. An `err` field is serialized with its message and stack. */
export type PartLogger = {
	debug(message: string, fields?: Fields): void;
	info(message: string, fields?: Fields): void;
	warn(message: string, fields?: Fields): void;
	error(message: string, fields?: Fields): void;
};

/** The logger of one part: `forPart(logger, 'Queue').info('Full.')` writes "Queue: Full.". */
export function forPart(logger: Logger, part: string): PartLogger {
	const prefix = `${part}: `;
	return {
		debug(message, fields = {}) {
			logger.debug(fields, prefix + message);
		},
		info(message, fields = {}) {
			logger.info(fields, prefix + message);
		},
		warn(message, fields = {}) {
			logger.warn(fields, prefix + message);
		},
		error(message, fields = {}) {
			logger.error(fields, prefix + message);
		},
	};
}
