import {readFileSync} from 'node:fs';
import {readGatewaySettings} from '../bin/settings/gateway-settings.js';
import {SettingsError} from '../bin/settings/definition.js';
import {type CommandResult, formatTable, OperatorExit} from './result.js';

type Line = {readonly time: string; readonly instance: string; readonly msg: string; readonly fields: Readonly<Record<string, unknown>>};

/** Fields that stand in each line and tell nothing of one decision. */
const commonFields = new Set(['name', 'instance', 'hostname', 'pid', 'level', 'msg', 'time', 'v', 'request']);

/**
 * What log files of gateways say of one request, in the order of time. Other output may stand between
 * and before the JSON of a line, as a platform's collector writes it.
 */
export function explainFromLogs(files: readonly string[], request: string): CommandResult {
	const lines = files.flatMap(file => readFileSync(file, 'utf8').split('\n').flatMap(text => parseLine(text, request)));
	lines.sort((left, right) => left.time < right.time ? -1 : (left.time > right.time ? 1 : 0));
	if (lines.length === 0) {
		return {exit: OperatorExit.notFound, value: {lines}, text: `No line of ${files.join(', ')} names ${request}.`};
	}

	const rows = lines.map(({time, instance, msg, fields}) => [time, instance, msg, Object.entries(fields).map(([name, value]) => `${name}: ${String(value)}`).join('\n')]);
	return {exit: OperatorExit.ok, value: {lines}, text: formatTable(['time', 'instance', 'decision', 'detail'], rows)};
}

/** Checks a gateway's settings file as its start does. */
export function checkSettings(file: string): CommandResult {
	try {
		readGatewaySettings(file);
		return {exit: OperatorExit.ok, value: {outcome: 'right'}, text: `${file}: right.`};
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
		// A line that a collector cut off.
		return [];
	}

	if (record.request !== request) {
		return [];
	}

	const fields = Object.fromEntries(Object.entries(record).filter(([name]) => !commonFields.has(name)));
	return [{time: String(record.time), instance: String(record.instance), msg: String(record.msg), fields}];
}
