import {type ClassName, type RequestSummary, type Tier} from '../../model/index.js';
import {type Ledger, type Occupied} from './ledger.js';

/**
 * Slots that long work leaves free for the short work that is about to come.
 *
 * Load pattern: long jobs among short ones. Fair order alone decides only who takes the next slot that
 * frees up. Whenever the short class's queue is empty for a moment a long job takes its slot and keeps
 * it for a hundred times as long; soon long jobs hold every slot, and the short class, although far
 * below its share, waits seconds for one of them to end.
 *
 * A class is known by what it did lately: how many of its requests started, and how long they held
 * their slots. Their product is the number of slots it needs (Little's law). A class that holds slots
 * for longer leaves as many free, up to half of all; a class that has sent nothing for some seconds is
 * owed nothing, so a load of one kind uses every slot.
 */
export type Headroom = ReadonlyMap<ClassName, ClassUse>;

type ClassUse = {
	readonly tier: Tier;
	/** Requests that started lately, fading. */
	readonly starts: number;
	readonly updatedAt: number;
	/** Usual time that a request holds its slot. */
	readonly holdMilliseconds: number;
};

/** Counts a request that started. */
export function countStart(headroom: Headroom, {className, tier}: RequestSummary, now: number): Headroom {
	const use = headroom.get(className) ?? {tier, starts: 0, updatedAt: now, holdMilliseconds: 0};
	return new Map(headroom).set(className, {...use, tier, starts: fadedStarts(use, now) + 1, updatedAt: now});
}

/** Learns how long a request held its slot. */
export function learnHold(headroom: Headroom, {summary, offeredAt}: Occupied, now: number): Headroom {
	const use = headroom.get(summary.className);
	if (use === undefined) {
		return headroom;
	}

	const held = now - offeredAt;
	const holdMilliseconds = use.holdMilliseconds === 0 ? held : use.holdMilliseconds + ((held - use.holdMilliseconds) * learningRate);
	return new Map(headroom).set(summary.className, {...use, holdMilliseconds});
}

/** Usual time that a request like this one holds a slot, or nothing while none has ended. */
export function usualHold(headroom: Headroom, {className}: RequestSummary): number | undefined {
	const held = headroom.get(className)?.holdMilliseconds ?? 0;
	return held === 0 ? undefined : held;
}

/** How many slots a request like this one must leave free. */
export function slotsToLeave(headroom: Headroom, ledger: Ledger, summary: RequestSummary, now: number): (slots: number) => number {
	const own = seenHold(headroom, ledger, summary.className, now);
	let needed = 0;
	for (const [className, use] of headroom) {
		const isShorter = use.holdMilliseconds > 0 && use.holdMilliseconds * muchLonger < own;
		if (className !== summary.className && use.tier <= summary.tier && isShorter) {
			needed += Math.max(0, slotsNeeded(use, now) - heldBy(ledger, className));
		}
	}

	return slots => Math.min(Math.ceil(needed), Math.floor(slots / 2));
}

const learningRate = 0.1;
const memoryMilliseconds = 2000;
/** Classes within this factor of each other's length do not lock each other out for long. */
export const muchLonger = 4;
/** Starts come unevenly: what is needed on average is too little half of the time. */
const unevenness = 1.5;
const leastSlots = 0.5;

function slotsNeeded(use: ClassUse, now: number): number {
	const needed = unevenness * use.holdMilliseconds * fadedStarts(use, now) / memoryMilliseconds;
	return needed < leastSlots ? 0 : needed;
}

function fadedStarts({starts, updatedAt}: ClassUse, now: number): number {
	return starts * Math.exp((updatedAt - now) / memoryMilliseconds);
}

/** The usual time, or the age of what runs now: long work is known as such before the first of it ends. */
function seenHold(headroom: Headroom, ledger: Ledger, className: ClassName, now: number): number {
	const ages = [...ledger.occupied.values()].filter(({summary}) => summary.className === className).map(({offeredAt}) => now - offeredAt);
	return Math.max(headroom.get(className)?.holdMilliseconds ?? 0, ...ages);
}

function heldBy(ledger: Ledger, className: ClassName): number {
	return [...ledger.occupied.values()].filter(({summary}) => summary.className === className).length;
}
