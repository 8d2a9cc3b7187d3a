import {type ClassName, type RequestSummary, type Tier} from '../../model/index.js';
import {type Reservations, type SlotHolder} from './reservations.js';

/**
 * Headroom: slots that long requests leave free for short requests that are about to arrive.
 *
 * This guards against long jobs among short ones. Fair order only decides which request takes the next free
 * slot. Whenever the queue of the short class is empty for a moment, a long job takes its slot and keeps
 * it for a hundred times as long. Soon long jobs hold every slot, and the short class waits seconds for one
 * of them to end, although it is far below its share.
 *
 * A class is characterized by its recent requests: how many started, and how long they held their slots.
 * The product is the number of slots that it needs (Little's law). A class that holds slots longer leaves
 * that many free, up to half of all slots. A class that has sent nothing for some seconds needs none, so a
 * load of one kind uses every slot.
 */
export type Headroom = ReadonlyMap<ClassName, ClassUsage>;

type ClassUsage = {
	readonly tier: Tier;
	/** Requests that started recently, exponentially decayed. */
	readonly starts: number;
	readonly updatedAt: number;
	/** Moving average of the time that a request holds its slot; 0 until one has completed. */
	readonly slotMilliseconds: number;
};

/** Counts a request that started. */
export function countStart(headroom: Headroom, {className, tier}: RequestSummary, now: number): Headroom {
	const usage = headroom.get(className) ?? {tier, starts: 0, updatedAt: now, slotMilliseconds: 0};
	return new Map(headroom).set(className, {...usage, tier, starts: decayedStarts(usage, now) + 1, updatedAt: now});
}

/** Adds the time for which a completed request held its slot to the average of its class. */
export function observeSlotTime(headroom: Headroom, {summary, offeredAt}: SlotHolder, now: number): Headroom {
	const usage = headroom.get(summary.className);
	if (usage === undefined) {
		return headroom;
	}

	const heldMilliseconds = now - offeredAt;
	const slotMilliseconds = usage.slotMilliseconds === 0 ? heldMilliseconds : usage.slotMilliseconds + ((heldMilliseconds - usage.slotMilliseconds) * smoothingFactor);
	return new Map(headroom).set(summary.className, {...usage, slotMilliseconds});
}

/** Average time that a request of this class holds a slot, or undefined while none has completed. */
export function averageSlotTime(headroom: Headroom, {className}: RequestSummary): number | undefined {
	const average = headroom.get(className)?.slotMilliseconds ?? 0;
	return average === 0 ? undefined : average;
}

/** Returns a function from the number of slots to how many of them must stay free when a request of this class starts. */
export function slotsToKeepFree(headroom: Headroom, reservations: Reservations, summary: RequestSummary, now: number): (slots: number) => number {
	const ownSlotTime = observedSlotTime(headroom, reservations, summary.className, now);
	let needed = 0;
	for (const [className, usage] of headroom) {
		const isShorter = usage.slotMilliseconds > 0 && usage.slotMilliseconds * longerClassFactor < ownSlotTime;
		if (className !== summary.className && usage.tier <= summary.tier && isShorter) {
			needed += Math.max(0, slotsNeeded(usage, now) - slotsHeldBy(reservations, className));
		}
	}

	return slots => Math.min(Math.ceil(needed), Math.floor(slots / 2));
}

const smoothingFactor = 0.1;
const decayMilliseconds = 2000;
/** Classes whose slot times differ by no more than this factor don't block each other for long. */
export const longerClassFactor = 4;
/** Factor on the average need: starts are irregular, so that the average is too low half of the time. */
const burstFactor = 1.5;
const minimumSlotsNeeded = 0.5;

function slotsNeeded(usage: ClassUsage, now: number): number {
	const needed = burstFactor * usage.slotMilliseconds * decayedStarts(usage, now) / decayMilliseconds;
	return needed < minimumSlotsNeeded ? 0 : needed;
}

function decayedStarts({starts, updatedAt}: ClassUsage, now: number): number {
	return starts * Math.exp((updatedAt - now) / decayMilliseconds);
}

/** The average slot time, or the age of the oldest request that holds a slot: a class is known to be long before its first request ends. */
function observedSlotTime(headroom: Headroom, reservations: Reservations, className: ClassName, now: number): number {
	const ages = [...reservations.holders.values()].filter(({summary}) => summary.className === className).map(({offeredAt}) => now - offeredAt);
	return Math.max(headroom.get(className)?.slotMilliseconds ?? 0, ...ages);
}

function slotsHeldBy(reservations: Reservations, className: ClassName): number {
	return [...reservations.holders.values()].filter(({summary}) => summary.className === className).length;
}
