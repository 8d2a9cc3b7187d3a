/** Hashes and rendezvous hashing: processes rank the same candidates in the same order without communication. */
import murmurHash from 'imurmurhash';

/** A uniformly distributed 32-bit hash of a text (MurmurHash3); equal in every process and version. */
export function hash32(text: string): number {
	return murmurHash(text).result();
}

/**
 * Ranks candidates for a key by rendezvous hashing, best first. Removing a candidate moves only the keys for
 * which it ranked first, unlike a hash modulo the number of candidates.
 */
export function rankByRendezvous<Candidate extends string>(key: string, candidates: Iterable<Candidate>): Candidate[] {
	const scored = Array.from(candidates, candidate => ({candidate, score: hash32(`${key}\n${candidate}`)}));
	scored.sort((left, right) => right.score - left.score || (left.candidate < right.candidate ? -1 : 1));
	return scored.map(({candidate}) => candidate);
}

/* eslint-disable no-bitwise -- mixing integers has no other form */
/** Combines two hashes into one, for scores of many pairs whose parts are each hashed once. */
export function mixHashes(left: number, right: number): number {
	let mixed = Math.imul(left ^ right, 0x85_EB_CA_6B);
	mixed = Math.imul(mixed ^ (mixed >>> 13), 0xC2_B2_AE_35);
	return (mixed ^ (mixed >>> 16)) >>> 0;
}
/* eslint-enable no-bitwise */

/** The partition of a key, from 0 to `partitions` - 1. */
export function partitionOf(key: string, partitions: number): number {
	return hash32(key) % partitions;
}
