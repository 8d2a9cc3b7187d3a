import {createHash} from 'node:crypto';
import {v7 as uuidv7} from 'uuid';

/** Names are branded strings, so that a workspace can't be passed where an endpoint is meant. */
type Branded<Kind extends string> = string & {readonly __kind: Kind};

/** One caller request, unique for ever; a UUIDv7, so it sorts by arrival. */
export type RequestId = Branded<'request'>;
/** One running process of the system, unique for one incarnation of it. */
export type InstanceId = Branded<'instance'>;
/** A back end: a model engine or a plain service, which one side process serves. */
export type EndpointId = Branded<'endpoint'>;
/** A customer, whose keys, classes and fair share stand in the catalogue. */
export type WorkspaceName = Branded<'workspace'>;
/** A class of requests of one workspace. */
export type ClassName = Branded<'class'>;
/** An availability zone, as the settings name it. */
export type ZoneName = Branded<'zone'>;
/** A model or a plain service: what a request wants to be run by. */
export type TargetName = Branded<'target'>;

/** A service tier: 0 is served first. Lower numbers are higher tiers. */
export const Tier = {highest: 0, middle: 1, lowest: 2} as const;
export type Tier = (typeof Tier)[keyof typeof Tier];
/** Every tier, highest first. */
export const tiers: readonly Tier[] = [Tier.highest, Tier.middle, Tier.lowest];

/** Makes a request id. */
export function createRequestId(): RequestId {
	return uuidv7() as RequestId;
}

/** Makes an id for a new incarnation of a process. */
export function createInstanceId(role: string): InstanceId {
	return `${role}-${uuidv7()}` as InstanceId;
}

/** The SHA-256 of a text, in hexadecimal: how keys and request fingerprints are stored. */
export function sha256(text: string | Uint8Array): string {
	return createHash('sha256').update(text).digest('hex');
}
