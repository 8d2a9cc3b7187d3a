import {Buffer} from 'node:buffer';
import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {z} from 'zod';

/** Faults that every fake supports: `reset` resets the connection of each call, `hang` never responds, `error` responds with 503. */
export const serverFaultShape = {
	mode: z.enum(['up', 'reset', 'hang', 'error']).default('up'),
	delayMilliseconds: z.number().nonnegative().default(0),
};

export type ServerFaults = {mode: 'up' | 'reset' | 'hang' | 'error'; delayMilliseconds: number};

/** One HTTP call, with its path split at slashes and decoded. */
export type Exchange = {
	readonly method: string;
	readonly path: readonly string[];
	readonly query: URLSearchParams;
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
};

export type FakeServerSettings<Faults extends ServerFaults> = {
	readonly port: number;
	readonly faults: Faults;
	/** Parses the complete set of faults after a change over HTTP. */
	readonly parseFaults: (value: unknown) => Faults;
	readonly handle: (exchange: Exchange) => Promise<void>;
	/** The response to `GET /counts`. */
	readonly counts?: () => unknown;
};

/** The HTTP server of each fake: common faults, `GET` and `POST /faults`, stop and restart on the same port. */
export class FakeServer<Faults extends ServerFaults> implements AsyncDisposable {
	static async create<Faults extends ServerFaults>(settings: FakeServerSettings<Faults>): Promise<FakeServer<Faults>> {
		const server = new FakeServer(settings);
		await server.#listen(settings.port);
		return server;
	}

	readonly #settings: FakeServerSettings<Faults>;
	readonly #sockets = new Set<Socket>();
	#server: Server | undefined;
	#port = 0;

	private constructor(settings: FakeServerSettings<Faults>) {
		this.#settings = settings;
	}

	get url(): string {
		return `http://127.0.0.1:${this.#port}`;
	}

	get port(): number {
		return this.#port;
	}

	get listening(): boolean {
		return this.#server !== undefined;
	}

	/** Resets every connection and refuses new ones, as a crash does. */
	async stop(): Promise<void> {
		const server = this.#server;
		this.#server = undefined;
		if (server === undefined) {
			return;
		}

		const closed = new Promise<void>(resolve => {
			server.close(() => {
				resolve();
			});
		});
		for (const socket of this.#sockets) {
			socket.resetAndDestroy();
		}

		await closed;
	}

	/** Listens again on the same port. */
	async start(): Promise<void> {
		if (this.#server === undefined) {
			await this.#listen(this.#port);
		}
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await this.stop();
	}

	async #listen(port: number): Promise<void> {
		const server = createServer((request, response) => {
			void this.#serve(request, response);
		});
		server.keepAliveTimeout = 60_000;
		server.on('connection', socket => {
			this.#sockets.add(socket);
			socket.setNoDelay(true);
			socket.once('close', () => {
				this.#sockets.delete(socket);
			});
		});
		this.#server = server;
		await new Promise<void>((resolve, reject) => {
			server.once('error', reject);
			server.listen(port, '127.0.0.1', resolve);
		});
		this.#port = (server.address() as AddressInfo).port;
	}

	async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const url = new URL(request.url ?? '/', 'http://fake');
		const path = url.pathname.split('/').slice(1).map(part => decodeURIComponent(part));
		const exchange = {method: request.method ?? 'GET', path, query: url.searchParams, request, response};
		response.on('error', ignore);
		request.on('error', ignore);
		try {
			if (!await this.#handleControl(exchange) && await this.#applyFaults(exchange)) {
				await this.#settings.handle(exchange);
			}
		} catch (error) {
			replyError(response, 400, error instanceof Error ? error.message : String(error));
		}
	}

	async #handleControl({method, path, request, response}: Exchange): Promise<boolean> {
		if (path[0] === 'counts' && this.#settings.counts !== undefined) {
			replyJson(response, 200, this.#settings.counts());
			return true;
		}

		if (path[0] !== 'faults') {
			return false;
		}

		if (method === 'POST') {
			const changes = await readJson(request) as Record<string, unknown>;
			Object.assign(this.#settings.faults, this.#settings.parseFaults({...this.#settings.faults, ...changes}));
		}

		replyJson(response, 200, this.#settings.faults);
		return true;
	}

	/** Applies the common faults; true if the call should be handled. */
	async #applyFaults({request, response}: Exchange): Promise<boolean> {
		const {faults} = this.#settings;
		if (faults.delayMilliseconds > 0) {
			await delay(faults.delayMilliseconds);
		}

		switch (faults.mode) {
			case 'up': {
				return true;
			}

			case 'reset': {
				request.socket.resetAndDestroy();
				return false;
			}

			case 'hang': {
				return false;
			}

			case 'error': {
				replyError(response, 503, 'told to fail');
				return false;
			}
		}
	}
}

function ignore(): void {
	// The peer disconnected; the call's handler sees it as a closed response.
}

export async function readBody(request: IncomingMessage): Promise<string> {
	const chunks: Uint8Array[] = [];
	for await (const chunk of request as AsyncIterable<Uint8Array>) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString('utf8');
}

export async function readJson(request: IncomingMessage): Promise<unknown> {
	return JSON.parse(await readBody(request)) as unknown;
}

export function replyJson(response: ServerResponse, status: number, body: unknown, headers: Record<string, string> = {}): void {
	if (response.headersSent || response.destroyed) {
		response.destroy();
		return;
	}

	const text = JSON.stringify(body);
	response.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text), ...headers});
	response.end(text);
}

export function replyError(response: ServerResponse, status: number, message: string, headers: Record<string, string> = {}): void {
	replyJson(response, status, {error: {message}}, headers);
}
