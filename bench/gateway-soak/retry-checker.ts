/** Checks by what the workers saw whether all gateways together stayed within the allowance of retries for each service. */
import {type FakePlatformWorker} from '../../fakes/platform-worker.js';
import {type ExchangeRecord, type Kind} from './caller.js';

/** The allowance that the gateways get in their settings. */
export const retryAllowance = {ratio: 0.2, slack: 54, windowSeconds: 10} as const;

/** The service of each kind of request. */
const serviceOf: Readonly<Record<Kind, string>> = {lookup: 'orders', release: 'orders', chart: 'models', question: 'models'};

/** Retries of one service that arrived within one window, and how many are allowed in it. */
export type RetryWindow = {readonly service: string; readonly retries: number; readonly allowed: number};

/** Of each service, the window whose retries exceed the allowance most or come closest to it. */
export function fullestWindows(records: readonly ExchangeRecord[], workers: readonly FakePlatformWorker[]): RetryWindow[] {
	return [...new Set(Object.values(serviceOf))].map(service => {
		const retriedAt = listRetries(workers.filter(worker => worker.service === service));
		const sentAt = records.filter(({kind}) => serviceOf[kind] === service).map(record => record.sentAt);
		const windows = retriedAt.map(until => ({service, retries: countBefore(retriedAt, until), allowed: allowedIn(sentAt, until)}));
		return windows.toSorted((left, right) => fillOf(right) - fillOf(left)).at(0) ?? {service, retries: 0, allowed: retryAllowance.slack};
	});
}

function fillOf({retries, allowed}: RetryWindow): number {
	return retries / allowed;
}

/** Returns the services that got more retries than allowed. */
export function retryViolations(windows: readonly RetryWindow[]): string[] {
	return windows.filter(({retries, allowed}) => retries > allowed).map(({service, retries, allowed}) => `${service} got ${retries} retries in ${retryAllowance.windowSeconds} s, ${Math.floor(allowed)} are allowed`);
}

/** Times of all arrivals beyond the first of each request, in order. */
function listRetries(workers: readonly FakePlatformWorker[]): number[] {
	const arrivals = workers.flatMap(({requests}) => requests).toSorted((left, right) => left.at - right.at);
	const seen = new Set<string>();
	return arrivals.filter(({id}) => seen.has(id) || !seen.add(id)).map(({at}) => at);
}

const windowMilliseconds = retryAllowance.windowSeconds * 1000;

/** Counts the times in the window that ends at a time, which it includes. */
function countBefore(times: readonly number[], until: number): number {
	return times.filter(at => at > until - windowMilliseconds && at <= until).length;
}

/** The requests that count are those of the window, of the one before it, or of the one half a window before it, whichever has most. */
function allowedIn(sentAt: readonly number[], until: number): number {
	const requests = Math.max(...[0, 0.5, 1].map(windows => countBefore(sentAt, until - (windows * windowMilliseconds))));
	return (retryAllowance.ratio * requests) + retryAllowance.slack;
}
