import {type CommandResult, formatTable, formatTime, OperatorExit} from './result.js';
import {type Line, readLines} from './log-files.js';

/** What an endpoint has stated about itself and not withdrawn, as one instance has logged it. Times are ISO 8601. */
export type LoggedStatement = {readonly endpoint: string; readonly service: string; readonly instance: string; readonly since: string} & (
	| {readonly type: 'rate-limit'; readonly requestsPerSecond: number; readonly isReported: boolean}
	| {readonly type: 'leaving'}
	| {readonly type: 'backoff'; readonly until: string}
);

/** Which logs to read, and which statements to show. */
export type StatementQuery = {
	readonly files: readonly string[];
	/** Only those of this endpoint. */
	readonly endpoint?: string | undefined;
	/** Those that were in force at this time, in ISO 8601; by default at the end of the logs. */
	readonly at?: string | undefined;
};

/** Messages of the gateway's logs, without the prefix of their part. */
const Message = {
	limited: 'Endpoint states a rate limit.',
	unlimited: 'Endpoint states no rate limit any more.',
	leaving: 'Endpoint states that it leaves.',
	backingOff: 'Endpoint asks for a backoff.',
	ended: 'Endpoint ended.',
	restarted: 'Endpoints restarted.',
} as const;
type Message = (typeof Message)[keyof typeof Message];
const messages: readonly Message[] = Object.values(Message);

/** Shows from log files of gateways what endpoints have stated about themselves, for each instance that keeps to it. */
export function showStatementsFromLogs({files, endpoint, at}: StatementQuery): CommandResult {
	const wantedAt = at === undefined ? Infinity : Date.parse(at);
	if (Number.isNaN(wantedAt)) {
		const message = `--at is not a time in ISO 8601: ${at}`;
		return {exit: OperatorExit.usage, value: {outcome: 'failed', message}, text: message};
	}

	let end = -Infinity;
	const lines = readLines(files, {
		text: '',
		isWanted({msg, time}) {
			end = Math.max(end, Date.parse(String(time)) || -Infinity);
			return messageOf(String(msg)) !== undefined;
		},
	});
	const now = Math.min(wantedAt, end);
	const statements = statementsAt(lines, now).filter(statement => endpoint === undefined || statement.endpoint === endpoint);
	if (statements.length === 0) {
		return {exit: OperatorExit.notFound, value: {statements}, text: `No statement${endpoint === undefined ? '' : ` of ${endpoint}`} in ${files.join(', ')} is in force${end === -Infinity ? '' : ` at ${formatTime(now)}`}.`};
	}

	const rows = statements.map(statement => [statement.endpoint, statement.service, statement.type, detailOf(statement), statement.instance, statement.since]);
	return {exit: OperatorExit.ok, value: {at: formatTime(now), statements}, text: `At ${formatTime(now)}:\n${formatTable(['endpoint', 'service', 'statement', 'detail', 'instance', 'since'], rows)}`};
}

/** Folds the lines up to a time, in milliseconds since the Unix epoch, into the statements in force then. */
function statementsAt(lines: readonly Line[], now: number): LoggedStatement[] {
	const inForce = new Map<string, LoggedStatement>();
	for (const line of lines.filter(({time}) => Date.parse(time) <= now)) {
		apply(inForce, line);
	}

	return [...inForce.values()].filter(statement => statement.type !== 'backoff' || Date.parse(statement.until) > now);
}

function apply(inForce: Map<string, LoggedStatement>, {time, instance, msg, fields}: Line): void {
	const message = messageOf(msg);
	if (message === undefined) {
		return;
	}

	const common = {endpoint: String(fields.endpoint), service: String(fields.service), instance, since: time};
	const put = (statement: LoggedStatement): void => {
		const key = keyOf(statement);
		inForce.set(key, {...statement, since: inForce.get(key)?.since ?? time});
	};

	switch (message) {
		case Message.limited: {
			put({...common, type: 'rate-limit', requestsPerSecond: Number(fields.requestsPerSecond), isReported: fields.isReported === true});
			return;
		}

		case Message.unlimited: {
			inForce.delete(keyOf({...common, type: 'rate-limit'}));
			return;
		}

		case Message.leaving: {
			put({...common, type: 'leaving'});
			return;
		}

		case Message.backingOff: {
			put({...common, type: 'backoff', until: formatTime(Date.parse(time) + Number(fields.milliseconds))});
			return;
		}

		case Message.ended: {
			forget(inForce, [common.endpoint], instance, ['rate-limit', 'backoff']);
			return;
		}

		case Message.restarted: {
			forget(inForce, fields.endpoints as readonly string[], instance, ['rate-limit', 'backoff', 'leaving']);
		}
	}
}

function forget(inForce: Map<string, LoggedStatement>, endpoints: readonly string[], instance: string, types: ReadonlyArray<LoggedStatement['type']>): void {
	for (const endpoint of endpoints) {
		for (const type of types) {
			inForce.delete(keyOf({endpoint, instance, type}));
		}
	}
}

function keyOf({endpoint, instance, type}: Pick<LoggedStatement, 'endpoint' | 'instance' | 'type'>): string {
	return `${endpoint} ${instance} ${type}`;
}

function messageOf(text: string): Message | undefined {
	return messages.find(message => text.endsWith(message));
}

function detailOf(statement: LoggedStatement): string {
	switch (statement.type) {
		case 'rate-limit': {
			return `${statement.requestsPerSecond} requests a second from all instances${statement.isReported ? ', reported by a peer' : ''}`;
		}

		case 'leaving': {
			return 'takes no new requests';
		}

		case 'backoff': {
			return `no requests until ${statement.until}`;
		}
	}
}
