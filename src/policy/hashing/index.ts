/** Rendezvous hashing: many processes rank the same candidates alike without talking. */
import murmurHash from 'imurmurhash';

/** A uniform 32-bit number for a text; equal in every process and version. */
export function hash32(text: string): number {
	return murmurHash(text).result();
}

/**
 * The candidates, best first for this key. Taking one away moves only the keys that it was first
 * for, which a hash modulo the number of candidates doesn't achieve.
 */
export function rankByRendezvous<Candidate extends string>(key: string, candidates: Iterable<Candidate>): Candidate[] {
	const scored = Array.from(candidates, candidate => ({candidate, score: hash32(`${key}\n${candidate}`)}));
	scored.sort((left, right) => right.score - left.score || (left.candidate < right.candidate ? -1 : 1));
	return scored.map(({candidate}) => candidate);
}

/* eslint-disable no-bitwise -- mixing integers has no other form */
/** Mixes two hashes into one: for scores of many pairs, whose parts are hashed once each. */
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
