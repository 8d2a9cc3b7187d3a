import {type ReceivedCall} from '../../fakes/duty-receiver.js';
import {type FakePlatformWorker} from '../../fakes/platform-worker.js';
import {eventCount, type ExchangeRecord} from './caller.js';

/** An endpoint with the requests that it received. */
type Endpoint = Pick<FakePlatformWorker, 'requests'>;

/** Statuses that guarantee that the request has not run and never will. */
const notRunStatuses = new Set([408, 421, 429, 503]);

/** Returns the violations found by comparing the callers' records with those of the workers; streams have a number of events that the course names. */
export function violations(records: readonly ExchangeRecord[], workers: readonly Endpoint[], eventsOf: (id: string) => number = () => eventCount): string[] {
	const runs = countRuns(workers);
	return records.flatMap(record => violatedRules(record, runs.get(record.id) ?? 0, eventsOf(record.id)).map(rule => `${rule}: ${record.kind} ${record.id}, status ${record.status}, ${runs.get(record.id) ?? 0} runs`));
}

type UsageBody = {readonly window: number; readonly counts: Readonly<Record<string, number>>};

/**
 * Returns the violations among the calls that the receiver of usage reports has carried out: two reports of one window, a fencing token
 * with two holders, more requests reported than endpoints ran, a holder that returns within a lease.
 */
export function dutyViolations(calls: readonly ReceivedCall[], workers: readonly FakePlatformWorker[], leaseMilliseconds: number): string[] {
	const accepted = calls.filter(({status}) => status === 200);
	const found: string[] = [];
	const reports = new Map<number, string>();
	for (const {body} of accepted) {
		const {window} = body as UsageBody;
		const text = JSON.stringify(body);
		if ((reports.get(window) ?? text) !== text) {
			found.push(`two reports of window ${window}: ${reports.get(window)} and ${text}`);
		}

		reports.set(window, text);
	}

	const holders = new Map<number, string>();
	for (const {token, holder} of calls) {
		if ((holders.get(token) ?? holder) !== holder) {
			found.push(`token ${token} was used by ${holders.get(token)} and ${holder}`);
		}

		holders.set(token, holder);
	}

	const reported = [...reports.values()].flatMap(text => Object.values((JSON.parse(text) as UsageBody).counts)).reduce((sum, count) => sum + count, 0);
	const ran = countRuns(workers).size;
	if (reported > ran) {
		found.push(`${reported} requests were reported, endpoints ran ${ran}`);
	}

	const returned = accepted.find((call, index) => accepted.slice(0, index).some((own, ownIndex) => own.holder === call.holder && call.at - own.at < leaseMilliseconds
		&& accepted.slice(ownIndex, index).some(({holder}) => holder !== call.holder)));
	return returned === undefined ? found : [...found, `${returned.holder} acted again within a lease of another holder`];
}

/** Counts the runs of each request; refusals by a worker do not count. */
function countRuns(workers: readonly Endpoint[]): Map<string, number> {
	const runs = new Map<string, number>();
	for (const {requests} of workers) {
		for (const {id, wasRun} of requests) {
			runs.set(id, (runs.get(id) ?? 0) + (wasRun ? 1 : 0));
		}
	}

	return runs;
}

function violatedRules({id, kind, status, body, isWhole}: ExchangeRecord, runs: number, events: number): string[] {
	const found: string[] = [];
	const isAtMostOnce = kind === 'release' || kind === 'question';
	if (isAtMostOnce && runs > 1) {
		found.push('run more than once');
	}

	if (notRunStatuses.has(status) && runs > 0) {
		found.push('said not to have run');
	}

	const isStream = kind === 'chart' || kind === 'question';
	if (status === 200 && isStream && !isStreamOf(id, body, {isWhole, count: events})) {
		found.push('a stream with a gap, a repeat or another\'s events, or whole too soon');
	}

	if (status === 200 && !isStream && isWhole && body !== `answer to ${id}`) {
		found.push('not its own whole answer');
	}

	return found;
}

/** Whether the events belong to the request, start with the first, have no gap, and are all there if the stream ended cleanly. */
function isStreamOf(id: string, body: string, {isWhole, count}: {readonly isWhole: boolean; readonly count: number}): boolean {
	const events = [...body.matchAll(/^id: (?<number>\d+)\ndata: (?<owner>\S+) \k<number>\n\n/gmv)];
	const isOwn = events.every((event, index) => Number(event.groups?.number) === index + 1 && event.groups?.owner === id);
	return isOwn && (!isWhole || events.length === count);
}
