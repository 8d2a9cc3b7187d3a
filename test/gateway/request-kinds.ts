import {type Asked, type Kind, VirtualFleet} from './virtual-fleet.js';
import {type VirtualTime} from './virtual-time.js';

/** A ticket's pauses are the tightest; a confirmation is given up after 2 s, a draft, four times as long, after 4.8 s. */
export const ticket: Kind = {
	name: 'ticket', urgency: 0, targetMilliseconds: 250, pauseMilliseconds: 150, timeoutMilliseconds: 15_000, sharedTokens: 172, beginnings: 40, ownTokens: 543, answerMilliseconds: 1000,
};
export const confirmation: Kind = {
	name: 'confirmation', urgency: 1, targetMilliseconds: 400, pauseMilliseconds: 250, timeoutMilliseconds: 3000, sharedTokens: 568, beginnings: 40, ownTokens: 1800, answerMilliseconds: 100,
};
export const draft: Kind = {
	name: 'draft', urgency: 2, targetMilliseconds: 1000, pauseMilliseconds: 600, timeoutMilliseconds: 5000, sharedTokens: 6300, beginnings: 30, ownTokens: 2890, answerMilliseconds: 250,
};
/** Most workspaces have one urgency, a few another. */
export const workspaces = [...Array.from({length: 19}, () => 1), 0];

/** Four instances before six engines that read 342 tokens a millisecond together. */
export function createFleet(time: VirtualTime, seed: number): VirtualFleet {
	return VirtualFleet.create({time, kinds: [ticket, confirmation, draft], instances: 4, engines: 6, slots: 64, tokensPerMillisecond: 57, workspaces, seed});
}

export type Burst = {
	readonly drafts: number;
	readonly confirmations: number;
	readonly forMilliseconds: number;
	/** How many times these come to each of the four instances. */
	readonly shares: readonly number[];
};

/** So many requests a second for each instance with a share of one, and a few tickets; runs until the last of them has ended. */
export function runBurst(time: VirtualTime, fleet: VirtualFleet, {drafts, confirmations, forMilliseconds, shares}: Burst): {from: number; to: number} {
	const from = time.now;
	for (const [instance, share] of shares.entries()) {
		fleet.arrive('draft', instance, {perSecond: drafts * share, forMilliseconds});
		fleet.arrive('confirmation', instance, {perSecond: confirmations * share, forMilliseconds});
		fleet.arrive('ticket', instance, {perSecond: ticketsPerSecond * share, forMilliseconds});
	}

	time.runFor(forMilliseconds + longestMilliseconds);
	return {from, to: from + forMilliseconds};
}

const ticketsPerSecond = 5;
/** After this, whatever came last has been served or refused. */
const longestMilliseconds = 6000;
const windowMilliseconds = 5000;
const stepMilliseconds = 500;
/** What the users allow in any five seconds: fewer than ten, or at most a twelfth. */
const allowed = {count: 10, share: 1 / 12};

/** A span in which more confirmations of a workspace's urgency got nothing than is allowed while drafts of equal workspaces began. */
export type Breach = {readonly from: number; readonly refused: number; readonly asked: number; readonly draftsBegun: number};

/** All spans of five seconds in which that happened; of all workspaces together where none is named. */
export function breaches(all: readonly Asked[], workspaceUrgency: number | undefined, {from, to}: {from: number; to: number}): Breach[] {
	const found: Breach[] = [];
	const own = all.filter(one => workspaceUrgency === undefined || one.workspaceUrgency === workspaceUrgency);
	const confirmations = own.filter(({kind}) => kind === confirmation.name);
	const drafts = own.filter(({kind}) => kind === draft.name);
	for (let start = from; start + windowMilliseconds <= to; start += stepMilliseconds) {
		const isWithin = (at: number | undefined): boolean => at !== undefined && at >= start && at < start + windowMilliseconds;
		const asked = confirmations.filter(({at}) => isWithin(at));
		const refused = asked.filter(({decision}) => decision?.type === 'refused').length;
		const draftsBegun = drafts.filter(({firstEventAt}) => isWithin(firstEventAt)).length;
		if (draftsBegun > 0 && refused >= allowed.count && refused > asked.length * allowed.share) {
			found.push({from: start, refused, asked: asked.length, draftsBegun});
		}
	}

	return found;
}
