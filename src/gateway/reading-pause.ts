/**
 * An endpoint's leaving is known well within two seconds, the shortest time it still serves. Instances that
 * are in touch read at different moments and tell each other: the more of them, the less often each reads, so
 * that one of all reads every 0.4 s, or each one every 6 s where they are many.
 */
const pauses = {alone: 900, amongPeers: 1400, eachPeer: 350, longest: 6000};
/** From so many peers on. */
const peersThatTell = 2;
/**
 * Failure: instances that started together read in the same moments. Symptom: an endpoint's leaving is unknown to all of them for up to a
 * whole pause, and it gets requests after it has stopped serving. The first pauses are any part of a whole one, so that each goes
 * on at its own moments; later ones differ by a fifth, so that no two keep step for long.
 */
const leastPart = {first: 0, later: 0.8};
/** With so many the first pauses last until the others are known, and one or two whole ones longer. */
const firstReadings = 6;

/** A pause between two readings: how many readings there were before it, and a draw from 0 to 1 that stays the same while it lasts. */
export type ReadingPause = {readonly readings: number; readonly draw: number};

/** How long an instance with so many peers waits until it reads the endpoints again, in milliseconds. */
export function endpointPause(peers: number, {readings, draw}: ReadingPause): number {
	const least = readings <= firstReadings ? leastPart.first : leastPart.later;
	return wholePause(peers) * (least + ((1 - least) * draw));
}

function wholePause(peers: number): number {
	return peers < peersThatTell ? pauses.alone : Math.min(pauses.longest, Math.max(pauses.amongPeers, peers * pauses.eachPeer));
}
