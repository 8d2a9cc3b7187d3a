import {type FakePlatformWorker} from '../../fakes/platform-worker.js';
import {eventCount, type Exchanged} from './caller.js';

/** Statuses that promise a caller that its request has not run and never will. */
const promises = new Set([408, 421, 429, 503]);

/** Every rule that the records break, judged by callers and workers alone. */
export function violations(records: readonly Exchanged[], workers: readonly FakePlatformWorker[]): string[] {
	const runs = countRuns(workers);
	return records.flatMap(record => broken(record, runs.get(record.id) ?? 0).map(rule => `${rule}: ${record.kind} ${record.id}, status ${record.status}, ${runs.get(record.id) ?? 0} runs`));
}

/** What worked on each request: a worker that refuses one does not count. */
function countRuns(workers: readonly FakePlatformWorker[]): Map<string, number> {
	const runs = new Map<string, number>();
	for (const {requests} of workers) {
		for (const {id, wasRun} of requests) {
			runs.set(id, (runs.get(id) ?? 0) + (wasRun ? 1 : 0));
		}
	}

	return runs;
}

function broken({id, kind, status, body, isWhole}: Exchanged, runs: number): string[] {
	const found: string[] = [];
	const isOnce = kind === 'release' || kind === 'question';
	if (isOnce && runs > 1) {
		found.push('run more than once');
	}

	if (promises.has(status) && runs > 0) {
		found.push('said not to have run');
	}

	const isStream = kind === 'chart' || kind === 'question';
	if (status === 200 && isStream && !isStreamOf(id, body, isWhole)) {
		found.push('a stream with a gap, a repeat or another\'s events, or whole too soon');
	}

	if (status === 200 && !isStream && isWhole && body !== `answer to ${id}`) {
		found.push('not its own whole answer');
	}

	return found;
}

/** The events are the request's own, from the first on without a gap; all of them if the stream is whole. */
function isStreamOf(id: string, body: string, isWhole: boolean): boolean {
	const events = [...body.matchAll(/^id: (?<number>\d+)\ndata: (?<owner>\S+) \k<number>\n\n/gmv)];
	const isOwn = events.every((event, index) => Number(event.groups?.number) === index + 1 && event.groups?.owner === id);
	return isOwn && (!isWhole || events.length === eventCount);
}
