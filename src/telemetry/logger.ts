import process from 'node:process';
import bunyan from 'bunyan';
import {redactedJson} from './redaction.js';

/** The process's logger. Parts write through `forPart`. */
export type Logger = bunyan;

/** The levels that a setting may name, most talkative first. */
export const logLevels = ['trace', 'debug', 'info', 'warn', 'error', 'fatal'] as const;
export type LogLevel = (typeof logLevels)[number];

/** Anything that takes a line. */
type LineWriter = {write(line: string): unknown};

export type LoggerOptions = {
	/** The program's name, in each line. */
	readonly name: string;
	readonly level: LogLevel;
	/** Where lines go; standard error unless named. */
	readonly output?: LineWriter;
	/** Fields that stand in each line, such as the instance. */
	readonly fields?: Readonly<Record<string, unknown>>;
};

/** Makes a logger that writes one JSON object a line. */
export function createLogger({name, level, output = process.stderr, fields = {}}: LoggerOptions): Logger {
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

/** Writes short sentences, each with the prefix of one part. An `err` field keeps message and stack. */
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
