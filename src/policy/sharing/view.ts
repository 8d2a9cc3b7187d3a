/** How much of the fleet an instance learns of directly. */
export type FleetView = {
	/** Instances that report their load to it. */
	readonly links: number;
	/** Live instances, as far as is known, this one included. */
	readonly instances: number;
};

/** The view of a fleet that consists of one instance. */
export const singleInstanceView: FleetView = {links: 0, instances: 1};

/** The part of all requests that an instance knows of (its own and its neighbours'), from 0 to 1. */
export function visibleRequestShare({links, instances}: FleetView): number {
	return Math.min(1, (links + 1) / Math.max(1, instances));
}
