import {type Catalogue} from '../catalogue/index.js';

/** The source of an entry's catalogue, usually the platform's `CatalogueFollower`. */
export type CatalogueSource = {
	readonly isReady: boolean;
	current(): Catalogue;
};
