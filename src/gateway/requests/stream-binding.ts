import {type Body, wait} from '../../concurrency/index.js';
import {RouteKind} from '../../routing/index.js';
import {type ExchangeOptions} from './exchange-options.js';

/** The build that one request's stream is bound to: the one that began it, in this response or in the one that its caller takes up. */
export class StreamBinding {
	static create(options: ExchangeOptions): StreamBinding {
		return new StreamBinding(options);
	}

	/** The build that all further endpoints must have; undefined while any will do. */
	build: string | undefined;
	readonly #options: ExchangeOptions;

	private constructor(options: ExchangeOptions) {
		this.#options = options;
	}

	/** Finds the build of a stream that the caller takes up; false if the stream may not go on. */
	* find(): Body<boolean> {
		const {facts: {id, resumption}, route, workspace, service, streams} = this.#options;
		if (resumption === undefined || route.kind !== RouteKind.stream) {
			return true;
		}

		const takeUp = yield * wait(streams.takeUp({request: id, resumes: resumption.request, workspace: workspace?.name, service}));
		this.build = takeUp.type === 'go-on' ? takeUp.build : undefined;
		return takeUp.type === 'go-on';
	}

	/** Binds a stream to the build that has brought its first event, and remembers it for its caller's next try. */
	bindTo(build: string): void {
		const {facts: {id}, workspace, service, route, streams} = this.#options;
		this.build ??= build;
		if (route.resumable) {
			streams.recordBegun({request: id, workspace: workspace?.name, service}, build);
		}
	}
}
