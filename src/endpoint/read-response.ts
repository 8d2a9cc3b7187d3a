import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';

/** Load reports, model lists and error bodies are small; a larger body violates the protocol. */
const maxJsonBytes = 1024 * 1024;

/** The parsed body; `undefined` if it is incomplete, too large or not JSON. */
export async function readJson(response: IncomingMessage): Promise<unknown> {
	const chunks: Uint8Array[] = [];
	let total = 0;
	try {
		for await (const chunk of response as AsyncIterable<Uint8Array>) {
			chunks.push(chunk);
			total += chunk.length;
			if (total > maxJsonBytes) {
				return undefined;
			}
		}

		return JSON.parse(Buffer.concat(chunks).toString('utf8')) as unknown;
	} catch {
		return undefined;
	}
}

/** Closes the connection of a response whose body is not needed. */
export function discard(response: IncomingMessage): void {
	response.on('error', () => {
		// Caused by closing the connection.
	});
	response.destroy();
}
