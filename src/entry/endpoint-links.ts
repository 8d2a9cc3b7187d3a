import {type EndpointId} from '../model/index.js';
import {chooseConnection} from '../policy/membership/index.js';
import {type SideLink} from './side-link.js';

/**
 * The connections to sides that have said who they are. An endpoint has several while its side is replaced: one of them gets its new requests, and
 * none is closed for another, since requests that have begun may go on there. A connection whose side is gone is found by its heartbeats.
 */
export class EndpointLinks {
	static create(): EndpointLinks {
		return new EndpointLinks();
	}

	/** By endpoint, in the order in which the links were added. */
	readonly #links = new Map<EndpointId, readonly SideLink[]>();

	private constructor() {
		// Starts empty.
	}

	/** Every link. */
	get all(): readonly SideLink[] {
		return [...this.#links.values()].flat();
	}

	/** The link of each endpoint that gets its new requests. */
	get current(): readonly SideLink[] {
		return [...this.#links.values()].map(links => choose(links)!);
	}

	/** The link to an endpoint that gets its new requests, if there is one. */
	linkTo(endpoint: EndpointId): SideLink | undefined {
		return choose(this.#links.get(endpoint) ?? []);
	}

	/** Adds a link unless it is known. */
	add(endpoint: EndpointId, link: SideLink): void {
		const known = this.#links.get(endpoint) ?? [];
		if (!known.includes(link)) {
			this.#links.set(endpoint, [...known, link]);
		}
	}

	/** Removes a link; false if it was not known. */
	delete(endpoint: EndpointId, link: SideLink): boolean {
		const known = this.#links.get(endpoint) ?? [];
		const rest = known.filter(other => other !== link);
		if (rest.length === 0) {
			this.#links.delete(endpoint);
		} else {
			this.#links.set(endpoint, rest);
		}

		return rest.length < known.length;
	}
}

function choose(links: readonly SideLink[]): SideLink | undefined {
	return links.length <= 1 ? links[0] : chooseConnection(links.map(link => ({phase: link.state?.phase, link})))?.link;
}
