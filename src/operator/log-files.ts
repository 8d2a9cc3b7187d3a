import {readFileSync} from 'node:fs';
import {SettingsError} from '../settings/definition/index.js';
import {parseDutySettings, readGatewaySettings} from '../settings/gateway/index.js';
import {type CommandResult, formatTable, OperatorExit} from './result.js';

/** A line of a log file. `time` is ISO 8601; `fields` are those that are specific to its message. */
export type Line = {readonly time: string; readonly instance: string; readonly msg: string; readonly fields: Readonly<Record<string, unknown>>};

/** Fields that occur in each log line and are not specific to a decision. */
const commonFields = new Set(['name', 'instance', 'hostname', 'pid', 'level', 'msg', 'time', 'v', 'request']);

const dutyPrefix = 'Duties: ';
const heldMessage = 'Duties: Duties held.';
const lostMessage = 'Duties: Duties no longer held.';
/** Every instance has such lines at each change of the holder. */
const linkMessage = 'Duties: Connection to the holder';

/**
 * Shows the log lines about one request from log files of gateways, in chronological order. A collector may add
 * a prefix before the JSON of a line, or other lines in between.
 */
export function explainFromLogs(files: readonly string[], request: string): CommandResult {
	const lines = readLines(files, {text: request, isWanted: record => record.request === request});
	if (lines.length === 0) {
		return {exit: OperatorExit.notFound, value: {lines}, text: `No line in ${files.join(', ')} refers to ${request}.`};
	}

	return {exit: OperatorExit.ok, value: {lines}, text: formatLines(lines)};
}

/** Shows from log files of gateways who has held the duties of one instance, and what was decided and reported of each window. */
export function showDutiesFromLogs(files: readonly string[]): CommandResult {
	const lines = readLines(files, {text: dutyPrefix, isWanted: ({msg}) => String(msg).startsWith(dutyPrefix) && !String(msg).startsWith(linkMessage)});
	const tenures = lines.filter(({msg}) => msg === heldMessage).toSorted((left, right) => Number(left.fields.token) - Number(right.fields.token));
	const last = tenures.at(-1);
	if (last === undefined) {
		return {exit: OperatorExit.notFound, value: {lines}, text: `No instance in ${files.join(', ')} has held the duties.`};
	}

	const isLost = lines.some(({msg, fields}) => msg === lostMessage && fields.token === last.fields.token);
	const holder = {instance: last.instance, token: last.fields.token, since: last.time, isLost};
	return {exit: OperatorExit.ok, value: {holder, lines}, text: `${isLost ? 'Last held' : 'Held'} by ${last.instance} with token ${String(last.fields.token)} since ${last.time}.\n${formatLines(lines)}`};
}

/** Checks a gateway's settings file in the same way as its startup does. */
export function checkSettings(file: string): CommandResult {
	try {
		const duties = parseDutySettings(readGatewaySettings(file));
		if (duties.type === 'invalid') {
			throw duties.error;
		}

		return {exit: OperatorExit.ok, value: {outcome: 'right'}, text: `${file}: valid.`};
	} catch (error) {
		if (error instanceof SettingsError) {
			return {exit: OperatorExit.rejected, value: {outcome: 'wrong', problems: error.problems}, text: error.message};
		}

		throw error;
	}
}

/** Which lines are wanted: those that contain a text, and whose record passes a check. */
export type LineFilter = {readonly text: string; readonly isWanted: (record: Readonly<Record<string, unknown>>) => boolean};

/** The wanted lines of log files in chronological order. */
export function readLines(files: readonly string[], filter: LineFilter): Line[] {
	const lines = files.flatMap(file => readFileSync(file, 'utf8').split('\n').flatMap(text => parseLine(text, filter)));
	return lines.toSorted((left, right) => left.time < right.time ? -1 : (left.time > right.time ? 1 : 0));
}

function formatLines(lines: readonly Line[]): string {
	const rows = lines.map(({time, instance, msg, fields}) => [time, instance, msg, Object.entries(fields).map(([name, value]) => `${name}: ${String(value)}`).join('\n')]);
	return formatTable(['time', 'instance', 'decision', 'detail'], rows);
}

function parseLine(line: string, {text, isWanted}: LineFilter): Line[] {
	const start = line.indexOf('{');
	if (start === -1 || !line.includes(text)) {
		return [];
	}

	let record: Record<string, unknown>;
	try {
		record = JSON.parse(line.slice(start)) as Record<string, unknown>;
	} catch {
		// The collector truncated this line.
		return [];
	}

	if (!isWanted(record)) {
		return [];
	}

	const fields = Object.fromEntries(Object.entries(record).filter(([name]) => !commonFields.has(name)));
	return [{time: String(record.time), instance: String(record.instance), msg: String(record.msg), fields}];
}
