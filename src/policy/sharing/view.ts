/** How much of the fleet an instance hears of at first hand. */
export type FleetView = {
	/** Instances that tell it their load. */
	readonly links: number;
	/** Live instances, as far as is known, this one included. */
	readonly instances: number;
};

/** An instance by itself. */
export const singleInstanceView: FleetView = {links: 0, instances: 1};

/** The part of all requests of which an instance knows, its own and its neighbours', 0 to 1. */
export function visibleRequestShare({links, instances}: FleetView): number {
	return Math.min(1, (links + 1) / Math.max(1, instances));
}
