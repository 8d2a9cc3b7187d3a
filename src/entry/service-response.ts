import {type PipelinedResponse} from '../connections/index.js';
import {type Failure, type RequestId} from '../model/index.js';
import {HeaderName, sendFailure} from './protocol/index.js';

/** Writes a plain service's response to the caller. Ended exactly once, by `finish` or `fail`. */
export class ServiceResponse {
	static create(response: PipelinedResponse, requestId: RequestId): ServiceResponse {
		return new ServiceResponse(response, requestId);
	}

	readonly #response: PipelinedResponse;
	readonly #requestId: RequestId;

	private constructor(response: PipelinedResponse, requestId: RequestId) {
		this.#response = response;
		this.#requestId = requestId;
	}

	/** True once the status line was sent; a failure can then no longer be reported by the status. */
	get hasStarted(): boolean {
		return this.#response.headersSent;
	}

	writeHead(status: number, headers: Readonly<Record<string, string>>): void {
		this.#response.writeHead(status, {...headers, [HeaderName.requestId]: this.#requestId});
	}

	/** False if the caller reads slowly: wait before the next write. */
	write(bytes: Uint8Array): boolean {
		return this.#response.destroyed || this.#response.write(bytes);
	}

	finish(): void {
		this.#response.end();
	}

	/**
	 * Reports a failure as a response if the status line was not sent yet. Otherwise closes the connection, so that
	 * a caller does not mistake a partial response for a complete one.
	 */
	fail(failure: Failure): void {
		sendFailure(this.#response, failure, this.#requestId);
	}
}
