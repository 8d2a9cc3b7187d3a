import {type RequestRecord, type RequestKind, VirtualFleet} from './virtual-fleet.js';
import {type VirtualTime} from './virtual-time.js';

/** Tickets have the strictest pause limit. A confirmation's caller waits 2 s; the caller of a draft, which is four times as long, waits 4.8 s. */
export const ticket: RequestKind = {
	name: 'ticket', urgency: 0, targetMilliseconds: 250, maxPauseMilliseconds: 150, timeoutMilliseconds: 15_000, sharedTokens: 172, sharedPrefixes: 40, ownTokens: 543, responseMilliseconds: 1000,
};
export const confirmation: RequestKind = {
	name: 'confirmation', urgency: 1, targetMilliseconds: 400, maxPauseMilliseconds: 250, timeoutMilliseconds: 3000, sharedTokens: 568, sharedPrefixes: 40, ownTokens: 1800, responseMilliseconds: 100,
};
export const draft: RequestKind = {
	name: 'draft', urgency: 2, targetMilliseconds: 1000, maxPauseMilliseconds: 600, timeoutMilliseconds: 5000, sharedTokens: 6300, sharedPrefixes: 30, ownTokens: 2890, responseMilliseconds: 250,
};
/** Most workspaces have the same urgency, one is more urgent. */
export const workspaceUrgencies = [...Array.from({length: 19}, () => 1), 0];

/** Four instances and six engines that together prefill 342 tokens per millisecond. */
export function createFleet(time: VirtualTime, seed: number, rateLimits?: ReadonlyMap<number, number>): VirtualFleet {
	return VirtualFleet.create({time, kinds: [ticket, confirmation, draft], instances: 4, engines: 6, slots: 64, tokensPerMillisecond: 57, workspaceUrgencies, seed, ...(rateLimits !== undefined && {rateLimits})});
}

export type BurstOptions = {
	readonly drafts: number;
	readonly confirmations: number;
	readonly forMilliseconds: number;
	/** Multiple of these rates at each of the four instances. */
	readonly shares: readonly number[];
};

/** Sends these requests per second, times its share, to each instance, and a few tickets besides. Runs until the last request has ended; returns the span of the arrivals. */
export function runBurst(time: VirtualTime, fleet: VirtualFleet, {drafts, confirmations, forMilliseconds, shares}: BurstOptions): {from: number; to: number} {
	const from = time.now;
	for (const [instance, share] of shares.entries()) {
		fleet.scheduleArrivals('draft', instance, {perSecond: drafts * share, forMilliseconds});
		fleet.scheduleArrivals('confirmation', instance, {perSecond: confirmations * share, forMilliseconds});
		fleet.scheduleArrivals('ticket', instance, {perSecond: ticketsPerSecond * share, forMilliseconds});
	}

	time.runFor(forMilliseconds + maxRequestMilliseconds);
	return {from, to: from + forMilliseconds};
}

const ticketsPerSecond = 5;
/** Time after which the last arrival has been served or refused. */
const maxRequestMilliseconds = 6000;
const windowMilliseconds = 5000;
const stepMilliseconds = 500;
/** Refusals that users accept in any five seconds: fewer than ten, or at most a twelfth of the requests. */
const tolerance = {count: 10, share: 1 / 12};

/** A span in which more confirmations were refused than is tolerated, while drafts of workspaces of the same urgency started. */
export type PriorityInversion = {readonly from: number; readonly refused: number; readonly arrived: number; readonly draftsStarted: number};

/** All five-second spans with a priority inversion, among the workspaces of this urgency, or among all workspaces if it is undefined. */
export function priorityInversions(all: readonly RequestRecord[], workspaceUrgency: number | undefined, {from, to}: {from: number; to: number}): PriorityInversion[] {
	const found: PriorityInversion[] = [];
	const own = all.filter(one => workspaceUrgency === undefined || one.workspaceUrgency === workspaceUrgency);
	const confirmations = own.filter(({kind}) => kind === confirmation.name);
	const drafts = own.filter(({kind}) => kind === draft.name);
	for (let start = from; start + windowMilliseconds <= to; start += stepMilliseconds) {
		const isWithin = (at: number | undefined): boolean => at !== undefined && at >= start && at < start + windowMilliseconds;
		const arrived = confirmations.filter(({arrivedAt}) => isWithin(arrivedAt));
		const refused = arrived.filter(({decision}) => decision?.type === 'refused').length;
		const draftsStarted = drafts.filter(({firstEventAt}) => isWithin(firstEventAt)).length;
		if (draftsStarted > 0 && refused >= tolerance.count && refused > arrived.length * tolerance.share) {
			found.push({from: start, refused, arrived: arrived.length, draftsStarted});
		}
	}

	return found;
}
