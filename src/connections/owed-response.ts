import {type IncomingMessage, ServerResponse} from 'node:http';

/** Emitted by a request, with a status, if the rest of its body is malformed or does not arrive in time. */
export const malformedEvent = 'malformed';

/** How long a connection that closes after a response stays open for the rest of a body that nobody reads. */
const lingerMilliseconds = 500;

/** A response whose connection decides, when its headers are sent, whether they say that the connection closes. */
export class OwedResponse<Request extends IncomingMessage = IncomingMessage> extends ServerResponse<Request> {
	/** Whether nothing can be read behind the request, so that the connection must close. */
	closesConnection = false;
	/** Resolves once the request may be begun: the responses before it on the connection are complete, or the connection is gone. */
	turn: Promise<void> = Promise.resolve();
	/** Whether the headers, which are sent, say that the connection closes. */
	#isLast = false;
	/** Called before the headers are sent; returns whether they say that the connection closes. */
	onHead: () => boolean = () => false;

	override writeHead(status: number, ...more: readonly unknown[]): this {
		if (!this.headersSent && this.onHead()) {
			this.#isLast = true;
			this.setHeader('Connection', 'close');
		}

		return (super.writeHead as (...all: readonly unknown[]) => this).call(this, status, ...more);
	}

	/**
	 * Ends a response that does not depend on the rest of its request's body. If it closes the connection, it ends once that has arrived, or a moment later:
	 * a connection that is closed while bytes still arrive is reset, and the reset can overtake the response, so that its caller would see neither that its
	 * request has not run nor when to come back. The headers must have been sent.
	 */
	endOnceRead(body: string | Uint8Array): void {
		if (!this.#isLast || this.req.complete) {
			this.end(body);
			return;
		}

		this.write(body);
		const timer = setTimeout(() => {
			this.end();
		}, lingerMilliseconds);
		for (const event of ['end', 'close']) {
			this.req.once(event, () => {
				clearTimeout(timer);
				this.end();
			});
		}

		this.req.resume();
	}

	/**
	 * Closes a response that waits behind others when its connection is gone. Node does so only for the response that the connection sends at that moment:
	 * the work for the others would go on, and they would count as open for ever.
	 */
	closeUnsent(): void {
		if (this.socket === null && !this.destroyed) {
			this.destroy();
			this.emit('close');
		}
	}
}
