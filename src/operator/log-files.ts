import {readFileSync} from 'node:fs';
import {readGatewaySettings} from '../bin/settings/gateway-settings.js';
import {SettingsError} from '../bin/settings/definition.js';
import {type CommandResult, formatTable, OperatorExit} from './result.js';

/** A log line about the request. */
type Line = {readonly time: string; readonly instance: string; readonly msg: string; readonly fields: Readonly<Record<string, unknown>>};

/** Fields that occur in each log line and are not specific to a decision. */
const commonFields = new Set(['name', 'instance', 'hostname', 'pid', 'level', 'msg', 'time', 'v', 'request']);

/**
 * Shows the log lines about one request from log files of gateways, in chronological order. A collector may add
 * a prefix before the JSON of a line, or other lines in between.
 */
export function explainFromLogs(files: readonly string[], request: string): CommandResult {
	const lines = files.flatMap(file => readFileSync(file, 'utf8').split('\n').flatMap(text => parseLine(text, request)));
	lines.sort((left, right) => left.time < right.time ? -1 : (left.time > right.time ? 1 : 0));
	if (lines.length === 0) {
		return {exit: OperatorExit.notFound, value: {lines}, text: `No line in ${files.join(', ')} refers to ${request}.`};
	}

	const rows = lines.map(({time, instance, msg, fields}) => [time, instance, msg, Object.entries(fields).map(([name, value]) => `${name}: ${String(value)}`).join('\n')]);
	return {exit: OperatorExit.ok, value: {lines}, text: formatTable(['time', 'instance', 'decision', 'detail'], rows)};
}

/** Checks a gateway's settings file in the same way as its startup does. */
export function checkSettings(file: string): CommandResult {
	try {
		readGatewaySettings(file);
		return {exit: OperatorExit.ok, value: {outcome: 'right'}, text: `${file}: valid.`};
	} catch (error) {
		if (error instanceof SettingsError) {
			return {exit: OperatorExit.rejected, value: {outcome: 'wrong', problems: error.problems}, text: error.message};
		}

		throw error;
	}
}

function parseLine(text: string, request: string): Line[] {
	const start = text.indexOf('{');
	if (start === -1 || !text.includes(request)) {
		return [];
	}

	let record: Record<string, unknown>;
	try {
		record = JSON.parse(text.slice(start)) as Record<string, unknown>;
	} catch {
		// The collector truncated this line.
		return [];
	}

	if (record.request !== request) {
		return [];
	}

	const fields = Object.fromEntries(Object.entries(record).filter(([name]) => !commonFields.has(name)));
	return [{time: String(record.time), instance: String(record.instance), msg: String(record.msg), fields}];
}
