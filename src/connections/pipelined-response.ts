import {type IncomingMessage, ServerResponse} from 'node:http';

/** Emitted by a request, with a status, if the rest of its body is malformed or does not arrive in time. */
export const malformedEvent = 'malformed';

/** A response in its place among those of its connection, which decides, when the headers are sent, whether they say that the connection closes. */
export class PipelinedResponse<Request extends IncomingMessage = IncomingMessage> extends ServerResponse<Request> {
	/** Whether nothing can be read behind the request, so that the connection must close. */
	closesConnection = false;
	/** Resolves once the request may be begun: the responses before it on the connection are complete, or the connection is gone. */
	turn: Promise<void> = Promise.resolve();
	/** Resolves once the response is the next one that its connection sends: those before it are complete, or the connection is gone. */
	front: Promise<void> = Promise.resolve();
	/** Called before the headers are sent; returns whether they say that the connection closes. */
	onHead: () => boolean = () => false;

	override writeHead(status: number, ...more: readonly unknown[]): this {
		const closes = !this.headersSent && this.onHead();
		const headers = more.at(-1);
		if (closes && Array.isArray(headers)) {
			// After `setHeader` Node would set the headers of a list one by one, and keep only the last of each name.
			headers.push('Connection', 'close');
		} else if (closes) {
			this.setHeader('Connection', 'close');
		}

		return (super.writeHead as (...all: readonly unknown[]) => this).call(this, status, ...more);
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
