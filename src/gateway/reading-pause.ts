/**
 * An endpoint's leaving is known well within two seconds, the shortest time it still serves. Instances that
 * are in touch read at different moments and tell each other: the more of them, the less often each reads, so
 * that one of all reads every 0.4 s, or each one every 6 s where they are many.
 */
const pauses = {alone: 900, amongPeers: 1400, eachPeer: 350, longest: 6000};
/** From so many peers on. */
const peersThatTell = 2;

/** A pause between two readings: how many readings there were before it, and a draw from 0 to 1 that stays the same while it lasts. */
export type ReadingPause = {readonly readings: number; readonly draw: number};

/** How long an instance with so many peers waits until it reads the endpoints again, in milliseconds. */
export function endpointPause(peers: number, _pause: ReadingPause): number {
	return peers < peersThatTell ? pauses.alone : Math.min(pauses.longest, Math.max(pauses.amongPeers, peers * pauses.eachPeer));
}
