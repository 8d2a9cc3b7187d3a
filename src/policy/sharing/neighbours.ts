/**
 * Load pattern: hundreds of instances, each of which places a few requests a second. Told to all, each request is a
 * message to each of them: what instances tell each other then costs more than all that they serve, and fills the
 * links of small ones. Told to too few, nobody knows which engines are full or what they keep.
 *
 * Up to some number all are linked with all. Above it an instance is linked with those of its availability zone, whose
 * messages cross no zone, and besides with few others: names stand in a ring in the order of their hashes, and each
 * instance is linked with those 1, 2, 4, 8, ... places on and with those that have it there. News thus reaches all
 * in as many hops as the logarithm of their number, whichever few links are missing, and links grow with that and with a bounded part of
 * the zone. Every instance that knows the same names finds the same links, without a word.
 */
import {type ZoneName} from '../../model/index.js';
import {hash32} from '../hashing/index.js';

/** Up to so many instances each one is linked with all others. */
export const largestMesh = 32;
/** Up to so many instances of a zone each one is linked with all others of it; above it they stand in a ring of their own. */
export const largestZoneMesh = 16;

/** An instance that may be a neighbour. */
export type Member = {readonly name: string; readonly zone: ZoneName | undefined};

/** The links of one instance. */
export type Neighbours = {
	/** All that it is to be linked with. */
	readonly linked: ReadonlySet<string>;
	/** Those of them that it dials; it is dialled by the others. Of each pair just one dials. */
	readonly dials: readonly string[];
};

/** Whom it looks for, and who looks for it. */
type Wanted = {readonly byOwn: ReadonlySet<string>; readonly byThem: ReadonlySet<string>};

/**
 * The neighbours of an instance among all members known, its own included or not. Who can't be reached is stood in for
 * by the next one that can: names of instances that are gone for good stay known for long.
 */
export function neighboursOf(own: Member, members: Iterable<Member>, isReachable: (name: string) => boolean): Neighbours {
	const ring = ringOf(own, members);
	const reachable = ring.filter(({name}) => name === own.name || isReachable(name));
	if (reachable.length <= largestMesh) {
		return toNeighbours(own, [mesh(own, reachable)]);
	}

	const zone = reachable.filter(member => member.zone === own.zone);
	return toNeighbours(own, [own.zone === undefined ? nobody : zonePart(own, zone, isReachable), fingers(own, ring, isReachable)]);
}

const nobody: Wanted = {byOwn: new Set(), byThem: new Set()};

function toNeighbours(own: Member, parts: readonly Wanted[]): Neighbours {
	const byOwn = new Set(parts.flatMap(part => [...part.byOwn]));
	const byThem = new Set(parts.flatMap(part => [...part.byThem]));
	return {linked: new Set([...byOwn, ...byThem]), dials: [...byOwn].filter(name => !byThem.has(name) || name > own.name)};
}

function zonePart(own: Member, zone: readonly Member[], isReachable: (name: string) => boolean): Wanted {
	return zone.length <= largestZoneMesh ? mesh(own, zone) : fingers(own, zone, isReachable);
}

function mesh(own: Member, members: readonly Member[]): Wanted {
	const others = new Set(members.map(({name}) => name).filter(name => name !== own.name));
	return {byOwn: others, byThem: others};
}

function fingers(own: Member, ring: readonly Member[], isReachable: (name: string) => boolean): Wanted {
	const place = ring.findIndex(({name}) => name === own.name);
	const at = (index: number): string => ring[(index + ring.length) % ring.length]!.name;
	const byThem = new Set(distances(ring.length).map(distance => at(place - distance)));
	const byOwn = new Set(distances(ring.length).map(distance => firstReachable(place + distance, {at, count: ring.length, isReachable})).filter(name => name !== own.name));
	return {byOwn, byThem};
}

type Ring = {readonly at: (place: number) => string; readonly count: number; readonly isReachable: (name: string) => boolean};

/** The first from a place on that can be reached; the one there if none can. */
function firstReachable(place: number, {at, count, isReachable}: Ring): string {
	for (let step = 0; step < count; step++) {
		if (isReachable(at(place + step))) {
			return at(place + step);
		}
	}

	return at(place);
}

/** Every member once, in the order of hashes. */
function ringOf(own: Member, members: Iterable<Member>): Member[] {
	const byName = new Map([...members, own].map(member => [member.name, member]));
	const hashed = Array.from(byName.values(), member => ({member, hash: hash32(member.name)}));
	hashed.sort((left, right) => left.hash - right.hash || (left.member.name < right.member.name ? -1 : 1));
	return hashed.map(({member}) => member);
}

/** 1, 2, 4, ... up to half of the ring: further ones are met from the other side. */
function distances(count: number): number[] {
	const found: number[] = [];
	for (let distance = 1; distance * 2 <= count; distance *= 2) {
		found.push(distance);
	}

	return found;
}
