import {type PartLogger} from '../../telemetry/index.js';
import {type Connection, type GatewayMessage, type MessageOf} from '../../wire/index.js';

/** The connection to one peer. */
export type PeerLink = {
	readonly connection: Connection;
	readonly instance: string;
	readonly incarnation: string;
	/** True if this instance opened the connection. */
	readonly isDialled: boolean;
	/** When the peer's hello arrived. */
	readonly since: number;
	/** Whether the peer's build takes classes of engines. */
	readonly takesClasses: boolean;
	/** The newest version of the routing table that the peer has named. */
	routingVersion: number;
	/** Whether the peer has read what is stored of crashes, or was told all of it. */
	knowsCrashes: boolean;
};

/** The link that a peer's hello opens. It keeps the routing version of an existing link to the same incarnation. */
export function createPeerLink({instance, incarnation, takesClasses = false}: MessageOf<'gateway-hello'>, {connection, isDialled, existing}: {connection: Connection; isDialled: boolean; existing: PeerLink | undefined}): PeerLink {
	return {
		connection, instance, incarnation, isDialled, takesClasses, since: performance.now(),
		routingVersion: existing?.incarnation === incarnation ? existing.routingVersion : -Infinity,
		knowsCrashes: existing?.incarnation === incarnation && existing.knowsCrashes,
	};
}

/**
 * Whether a new connection to a peer replaces the existing one, if both instances dial each other at the same time: the one is kept that
 * the instance with the smaller name dialled, and of two that the same instance dialled the newer one, since an instance with a link does
 * not dial. Without a common rule each instance could close the other's connection, and they would stay unlinked.
 */
export function isPreferredLink(existing: PeerLink, isDialled: boolean, ownInstance: string): boolean {
	return existing.isDialled === isDialled || isDialled === (ownInstance < existing.instance);
}

/** Whether the peer's build takes such a message. */
export function takes({takesClasses}: Pick<PeerLink, 'takesClasses'>, {type}: GatewayMessage): boolean {
	return type !== 'engine-classes' || takesClasses;
}

/** Logs how many messages were dropped since the previous call because the peer takes less than it is sent. */
export function logDropped({connection, instance}: Pick<PeerLink, 'connection' | 'instance'>, logger: PartLogger): void {
	const messages = connection.takeDropped();
	if (messages > 0) {
		logger.warn('A peer takes less than it is sent, messages dropped.', {peer: instance, messages});
	}
}
