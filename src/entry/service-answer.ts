import {type ServerResponse} from 'node:http';
import {type Failure, type RequestId} from '../model/index.js';
import {HeaderName, sendFailure} from './protocol/index.js';

/** Writes a plain service's answer to its caller. Ends once, in `finish` or `fail`. */
export class ServiceAnswer {
	static create(response: ServerResponse, requestId: RequestId): ServiceAnswer {
		return new ServiceAnswer(response, requestId);
	}

	readonly #response: ServerResponse;
	readonly #requestId: RequestId;

	private constructor(response: ServerResponse, requestId: RequestId) {
		this.#response = response;
		this.#requestId = requestId;
	}

	/** True once the status line went out; a failure can no longer be told as a status. */
	get started(): boolean {
		return this.#response.headersSent;
	}

	writeHead(status: number, headers: Readonly<Record<string, string>>): void {
		this.#response.writeHead(status, {...headers, [HeaderName.requestId]: this.#requestId});
	}

	/** False: the caller is slow. */
	write(bytes: Uint8Array): boolean {
		return this.#response.destroyed || this.#response.write(bytes);
	}

	finish(): void {
		this.#response.end();
	}

	/** Before the status line a failure is an answer; after it the connection is cut, so that nobody takes half for all. */
	fail(failure: Failure): void {
		sendFailure(this.#response, failure, this.#requestId);
	}
}
