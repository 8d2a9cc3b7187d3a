import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';

/** Reports, model lists and error bodies are small; more than this is not from an endpoint that keeps the protocol. */
const maximumBytes = 1024 * 1024;

/** The parsed body; `undefined` if it is lost, too large or no JSON. */
export async function readJson(response: IncomingMessage): Promise<unknown> {
	const chunks: Uint8Array[] = [];
	let total = 0;
	try {
		for await (const chunk of response as AsyncIterable<Uint8Array>) {
			chunks.push(chunk);
			total += chunk.length;
			if (total > maximumBytes) {
				return undefined;
			}
		}

		return JSON.parse(Buffer.concat(chunks).toString('utf8')) as unknown;
	} catch {
		return undefined;
	}
}

/** Cuts an answer that nobody is to read. */
export function discard(response: IncomingMessage): void {
	response.on('error', () => {
		// The cut is ours.
	});
	response.destroy();
}
