/**
 * Lends an instance's share of an endpoint's rate limit to another instance. Load pattern: the balancer sends most callers to one
 * of many instances while every endpoint of a service states a limit. With even shares the busy instance may use a small part of
 * what the endpoints take, and refuses nearly all its requests, while the others leave their shares unused.
 *
 * An instance whose requests have to wait for its share asks its neighbours. One that has had no such wait lately lends its whole
 * share for a short time. The borrower counts that time from its own question and the lender from its answer, which is later:
 * however late messages are, both never use one share at the same time. If the borrower or the link fails, the share
 * comes back by itself; if the lender fails, the lease ends.
 */

/** The part of another instance's share that this instance may use. */
export type ShareLease = {readonly lender: string; readonly requestsPerSecond: number; readonly until: number};

/** What an instance has lent and borrowed of one endpoint's rate limit. Times are milliseconds of the monotonic clock. */
export type ShareLending = {
	readonly borrower: string | undefined;
	/** Until then the own share is lent. */
	readonly lentUntil: number;
	readonly leases: readonly ShareLease[];
	/** When a request of this instance last waited for its share. */
	readonly shortAt: number;
};

const millisecondsPerSecond = 1000;
/** A share is lent for this time. */
export const leaseMilliseconds = 1000;
/** An instance that is short asks this often: twice within a lease, so that one lost answer does not end it. */
export const askIntervalMilliseconds = 400;
/** An instance that has been short within this time keeps its share. */
const keepMilliseconds = 2000;

export const nothingLent: ShareLending = {borrower: undefined, lentUntil: -Infinity, leases: [], shortAt: -Infinity};

/** Whether the instance may lend its share to this one now: it has not needed it lately, nor lent it to another. */
export function mayLend({borrower, lentUntil, leases, shortAt}: ShareLending, asker: string, now: number): boolean {
	const isLentToAnother = lentUntil > now && borrower !== asker;
	return !isLentToAnother && now - shortAt > keepMilliseconds && !leases.some(({until}) => until > now);
}

export function lend(lending: ShareLending, borrower: string, now: number): ShareLending {
	return {...lending, borrower, lentUntil: now + leaseMilliseconds};
}

/** Adds a lease, in place of an earlier one of the same lender; those that have ended are dropped. */
export function borrow(lending: ShareLending, lease: ShareLease, now: number): ShareLending {
	const others = lending.leases.filter(({lender, until}) => lender !== lease.lender && until > now);
	return {...lending, leases: [...others, lease]};
}

/** Ends the leases of an instance that is gone: its next incarnation uses the share itself. */
export function forgetLender(lending: ShareLending, lender: string): ShareLending {
	return lending.leases.some(lease => lease.lender === lender)
		? {...lending, leases: lending.leases.filter(lease => lease.lender !== lender)}
		: lending;
}

/** Requests that the own rate and the leases have allowed between two times. */
export function allowedBetween({lentUntil, leases}: ShareLending, ownRequestsPerSecond: number, {from, to}: {from: number; to: number}): number {
	const own = ownRequestsPerSecond * Math.max(0, to - Math.max(from, lentUntil));
	const borrowed = leases.reduce((sum, {requestsPerSecond, until}) => sum + (requestsPerSecond * Math.max(0, Math.min(to, until) - from)), 0);
	return (own + borrowed) / millisecondsPerSecond;
}

/** Requests a second that the instance may send at this time. */
export function currentRate({lentUntil, leases}: ShareLending, ownRequestsPerSecond: number, now: number): number {
	const own = lentUntil > now ? 0 : ownRequestsPerSecond;
	return leases.reduce((sum, {requestsPerSecond, until}) => sum + (until > now ? requestsPerSecond : 0), own);
}
