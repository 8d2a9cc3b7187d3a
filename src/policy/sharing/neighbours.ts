/**
 * Load pattern: hundreds of instances, each of which places a few requests a second. If every instance reports to all
 * others, each request becomes a message to each of them: this traffic then costs more than serving the requests, and fills the
 * network links of small instances. If it reports to too few, instances don't know which engines are full or what these have cached.
 *
 * Up to a number of instances the links form a full mesh. Above it an instance is linked with those of its availability zone, whose
 * messages cross no zone boundary, and with a few others: names form a ring in the order of their hashes, and each
 * instance is linked with those 1, 2, 4, 8, ... positions ahead and with those that have it there (a Chord ring with finger links).
 * A report thus reaches all instances within a number of hops that is logarithmic in their number, even if a few links are missing. The
 * number of links grows with the same logarithm and with a bounded part of the zone. Every instance that knows the same names computes the
 * same links without any coordination.
 */
import {type ZoneName} from '../../model/index.js';
import {hash32} from '../hashing/index.js';

/** Up to this many instances the links form a full mesh. */
export const maxMeshInstances = 32;
/** Up to this many instances of a zone their links form a full mesh; above it they form a ring of their own. */
export const maxZoneMeshInstances = 16;

/** An instance that may be a neighbour. */
export type Member = {readonly name: string; readonly zone: ZoneName | undefined};

/** The links of one instance. */
export type Neighbours = {
	/** All instances that it should be linked with. */
	readonly linked: ReadonlySet<string>;
	/** Those of them to which it opens the connection; the others dial it. Exactly one instance of each pair dials. */
	readonly dials: readonly string[];
};

/** Links that an instance selects by its own rule, and links by which others select it. */
type DirectedLinks = {readonly outgoing: ReadonlySet<string>; readonly incoming: ReadonlySet<string>};

/**
 * The neighbours of an instance among all known members; `members` may or may not include the instance itself. An unreachable
 * instance is replaced by the next reachable one in the ring, since names of instances that are gone for good remain known for long.
 */
export function neighboursOf(own: Member, members: Iterable<Member>, isReachable: (name: string) => boolean): Neighbours {
	const ring = createRing(own, members);
	const reachable = ring.filter(({name}) => name === own.name || isReachable(name));
	if (reachable.length <= maxMeshInstances) {
		return toNeighbours(own, [meshLinks(own, reachable)]);
	}

	const zone = reachable.filter(member => member.zone === own.zone);
	return toNeighbours(own, [own.zone === undefined ? noLinks : zoneLinks(own, zone, isReachable), fingerLinks(own, ring, isReachable)]);
}

const noLinks: DirectedLinks = {outgoing: new Set(), incoming: new Set()};

function toNeighbours(own: Member, parts: readonly DirectedLinks[]): Neighbours {
	const outgoing = new Set(parts.flatMap(part => [...part.outgoing]));
	const incoming = new Set(parts.flatMap(part => [...part.incoming]));
	return {linked: new Set([...outgoing, ...incoming]), dials: [...outgoing].filter(name => !incoming.has(name) || name > own.name)};
}

function zoneLinks(own: Member, zone: readonly Member[], isReachable: (name: string) => boolean): DirectedLinks {
	return zone.length <= maxZoneMeshInstances ? meshLinks(own, zone) : fingerLinks(own, zone, isReachable);
}

function meshLinks(own: Member, members: readonly Member[]): DirectedLinks {
	const others = new Set(members.map(({name}) => name).filter(name => name !== own.name));
	return {outgoing: others, incoming: others};
}

function fingerLinks(own: Member, ring: readonly Member[], isReachable: (name: string) => boolean): DirectedLinks {
	const ownIndex = ring.findIndex(({name}) => name === own.name);
	const nameAt = (index: number): string => ring[(index + ring.length) % ring.length]!.name;
	const incoming = new Set(fingerDistances(ring.length).map(distance => nameAt(ownIndex - distance)));
	const outgoing = new Set(fingerDistances(ring.length).map(distance => firstReachable(ownIndex + distance, {nameAt, count: ring.length, isReachable})).filter(name => name !== own.name));
	return {outgoing, incoming};
}

type Ring = {readonly nameAt: (index: number) => string; readonly count: number; readonly isReachable: (name: string) => boolean};

/** The first reachable instance from an index on; the instance at that index if none is reachable. */
function firstReachable(start: number, {nameAt, count, isReachable}: Ring): string {
	for (let step = 0; step < count; step++) {
		if (isReachable(nameAt(start + step))) {
			return nameAt(start + step);
		}
	}

	return nameAt(start);
}

/** Every member once, ordered by the hash of its name. */
function createRing(own: Member, members: Iterable<Member>): Member[] {
	const byName = new Map([...members, own].map(member => [member.name, member]));
	const hashed = Array.from(byName.values(), member => ({member, hash: hash32(member.name)}));
	hashed.sort((left, right) => left.hash - right.hash || (left.member.name < right.member.name ? -1 : 1));
	return hashed.map(({member}) => member);
}

/** 1, 2, 4, ... up to half of the ring: larger distances are covered from the other direction. */
function fingerDistances(count: number): number[] {
	const found: number[] = [];
	for (let distance = 1; distance * 2 <= count; distance *= 2) {
		found.push(distance);
	}

	return found;
}
