import {type EndpointId, type TargetName, type ZoneName} from '../model/index.js';

/** A side's identity, from its hello message. */
export type SideIdentity = {readonly instance: string; readonly endpoint: EndpointId; readonly zone: ZoneName; readonly targets: readonly TargetName[]};
