import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {type Metrics} from './metrics.js';

/** What a JSON route is asked. */
export type AdminRequest = {
	/** What follows the route's prefix, decoded, without a leading slash. */
	readonly rest: string;
	readonly query: URLSearchParams;
	/** The parsed body of a POST; undefined without one. */
	readonly body: unknown;
};

export type AdminAnswer = {
	readonly status: number;
	readonly value: unknown;
};

/** A JSON route of another part, found by method and path prefix; the longest prefix wins. */
export type AdminRoute = {
	readonly method: 'GET' | 'POST';
	readonly prefix: string;
	handle(request: AdminRequest): AdminAnswer | Promise<AdminAnswer>;
};

type AdminOptions = {
	readonly host: string;
	/** 0 for any free port. */
	readonly port: number;
	readonly metrics: Metrics;
	readonly routes?: readonly AdminRoute[];
	/** Where the balancer asks, if its path is its own. */
	readonly readyPath?: string;
	/** Whether the balancer should send requests here. */
	isReady(): boolean;
};

const bodyLimitBytes = 1_000_000;

/** A process's port for operators and the platform. It is kept apart from callers' traffic. */
export class AdminServer implements AsyncDisposable {
	static async create(options: AdminOptions): Promise<AdminServer> {
		const routes = [...options.routes ?? []].toSorted((first, second) => second.prefix.length - first.prefix.length);
		const server = createServer((request, response) => {
			void answer(request, response, {...options, routes});
		});
		server.listen(options.port, options.host);
		await once(server, 'listening');
		return new AdminServer(server);
	}

	readonly #server: Server;

	private constructor(server: Server) {
		this.#server = server;
	}

	get port(): number {
		return (this.#server.address() as AddressInfo).port;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		const closed = once(this.#server, 'close');
		this.#server.close();
		this.#server.closeAllConnections();
		await closed;
	}
}

async function answer(request: IncomingMessage, response: ServerResponse, options: AdminOptions & {routes: readonly AdminRoute[]}): Promise<void> {
	const url = new URL(request.url ?? '/', 'http://admin');
	switch (url.pathname) {
		case '/healthz': {
			sendText(response, 200, 'ok\n');
			return;
		}

		case '/readyz':
		case options.readyPath: {
			sendText(response, options.isReady() ? 200 : 503, options.isReady() ? 'ready\n' : 'not ready\n');
			return;
		}

		case '/metrics': {
			response.writeHead(200, {'Content-Type': options.metrics.contentType});
			response.end(await options.metrics.render());
			return;
		}

		default: {
			await answerRoute(request, response, {url, routes: options.routes});
		}
	}
}

async function answerRoute(request: IncomingMessage, response: ServerResponse, {url, routes}: {url: URL; routes: readonly AdminRoute[]}): Promise<void> {
	const route = routes.find(candidate => candidate.method === request.method && matches(url.pathname, candidate.prefix));
	if (route === undefined) {
		sendJson(response, {status: 404, value: errorValue('There is nothing at this path.')});
		return;
	}

	try {
		const body = route.method === 'POST' ? await readJson(request) : undefined;
		const rest = decodeURIComponent(url.pathname.slice(route.prefix.length).replace(/^\//v, ''));
		sendJson(response, await route.handle({rest, query: url.searchParams, body}));
	} catch (error) {
		const wrongInput = error instanceof SyntaxError || error instanceof URIError || error instanceof RangeError;
		sendJson(response, {status: wrongInput ? 400 : 500, value: errorValue(error instanceof Error ? error.message : 'The route failed.')});
	}
}

function matches(path: string, prefix: string): boolean {
	return path === prefix || path.startsWith(prefix.endsWith('/') ? prefix : `${prefix}/`);
}

async function readJson(request: IncomingMessage): Promise<unknown> {
	const chunks: Uint8Array[] = [];
	let length = 0;
	for await (const chunk of request) {
		length += (chunk as Uint8Array).length;
		if (length > bodyLimitBytes) {
			throw new RangeError('The body is too long.');
		}

		chunks.push(chunk as Uint8Array);
	}

	return length === 0 ? undefined : JSON.parse(Buffer.concat(chunks).toString());
}

function errorValue(message: string): unknown {
	return {error: {message}};
}

function sendText(response: ServerResponse, status: number, text: string): void {
	response.writeHead(status, {'Content-Type': 'text/plain; charset=utf-8'});
	response.end(text);
}

function sendJson(response: ServerResponse, {status, value}: AdminAnswer): void {
	response.writeHead(status, {'Content-Type': 'application/json'});
	response.end(`${JSON.stringify(value)}\n`);
}
