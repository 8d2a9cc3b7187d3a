import {createHash} from 'node:crypto';
import {v7 as uuidv7} from 'uuid';

/** Identifiers are branded strings, so that the name of a workspace can't be passed as that of an endpoint. */
type Branded<Kind extends string> = string & {readonly __kind: Kind};

/** The id of one request of a caller, globally unique; a UUIDv7, so that ids sort by arrival. */
export type RequestId = Branded<'request'>;
/** The id of one running process. A process that restarts gets a new id, so each incarnation has its own. */
export type InstanceId = Branded<'instance'>;
/** The id of a backend, which is a model engine or a plain service. One side (a sidecar process) serves each endpoint. */
export type EndpointId = Branded<'endpoint'>;
/** A customer, whose keys, classes and fair share are defined in the catalogue. */
export type WorkspaceName = Branded<'workspace'>;
/** A class of requests of one workspace. */
export type ClassName = Branded<'class'>;
/** An availability zone, as named in the settings. */
export type ZoneName = Branded<'zone'>;
/** A model or a plain service: the target of a request. */
export type TargetName = Branded<'target'>;

/** A service tier: 0 is the highest and is served first. */
export const Tier = {highest: 0, middle: 1, lowest: 2} as const;
export type Tier = (typeof Tier)[keyof typeof Tier];
/** All tiers, the highest first. */
export const tiers: readonly Tier[] = [Tier.highest, Tier.middle, Tier.lowest];

/** Creates a request id. */
export function createRequestId(): RequestId {
	return uuidv7() as RequestId;
}

/** Creates an id for a new incarnation of a process. */
export function createInstanceId(role: string): InstanceId {
	return `${role}-${uuidv7()}` as InstanceId;
}

/** The SHA-256 hash of texts, one after the other, in hexadecimal, the form in which keys and request fingerprints are stored. */
export function sha256(...texts: ReadonlyArray<string | Uint8Array>): string {
	const hash = createHash('sha256');
	for (const text of texts) {
		hash.update(text);
	}

	return hash.digest('hex');
}
