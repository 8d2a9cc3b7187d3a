import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {type Metrics} from './metrics.js';

/** A request to a JSON route. */
export type AdminRequest = {
	/** The decoded path after the route's prefix, without a leading slash. */
	readonly rest: string;
	readonly query: URLSearchParams;
	/** The parsed body of a POST request; undefined if it is empty. */
	readonly body: unknown;
};

export type AdminResponse = {
	readonly status: number;
	readonly value: unknown;
};

/** A JSON route that another part adds, matched by method and path prefix; the longest prefix wins. */
export type AdminRoute = {
	readonly method: 'GET' | 'POST';
	readonly prefix: string;
	handle(request: AdminRequest): AdminResponse | Promise<AdminResponse>;
};

type AdminOptions = {
	readonly host: string;
	/** The TCP port; 0 selects any free one. */
	readonly port: number;
	readonly metrics: Metrics;
	readonly routes?: readonly AdminRoute[];
	/** A second path for the readiness check, if the balancer uses its own. */
	readonly readyPath?: string;
	/** Tells whether the balancer should send requests to this instance. */
	isReady(): boolean;
};

const bodyLimitBytes = 1_000_000;

/** The HTTP server for operators and the platform, on a port separate from callers' traffic. */
export class AdminServer implements AsyncDisposable {
	static async create(options: AdminOptions): Promise<AdminServer> {
		const routes = [...options.routes ?? []].toSorted((first, second) => second.prefix.length - first.prefix.length);
		const server = createServer((request, response) => {
			void serve(request, response, {...options, routes});
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

/** Handles a request to its end. An error ends this request alone, and not the process with all of its callers' requests. */
async function serve(request: IncomingMessage, response: ServerResponse, options: AdminOptions & {routes: readonly AdminRoute[]}): Promise<void> {
	try {
		await handleRequest(request, response, options);
	} catch (error) {
		if (response.headersSent) {
			response.destroy();
			return;
		}

		sendJson(response, {status: 500, value: errorValue(`The request failed. ${String(error)}`)});
	}
}

async function handleRequest(request: IncomingMessage, response: ServerResponse, options: AdminOptions & {routes: readonly AdminRoute[]}): Promise<void> {
	const target = request.url ?? '/';
	if (!URL.canParse(target, 'http://admin')) {
		sendJson(response, {status: 400, value: errorValue('The target is no URL.')});
		return;
	}

	const url = new URL(target, 'http://admin');
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
			await handleRoute(request, response, {url, routes: options.routes});
		}
	}
}

async function handleRoute(request: IncomingMessage, response: ServerResponse, {url, routes}: {url: URL; routes: readonly AdminRoute[]}): Promise<void> {
	const route = routes.find(candidate => candidate.method === request.method && matches(url.pathname, candidate.prefix));
	if (route === undefined) {
		sendJson(response, {status: 404, value: errorValue('No route matches this method and path.')});
		return;
	}

	try {
		const body = route.method === 'POST' ? await readJson(request) : undefined;
		const rest = decodeURIComponent(url.pathname.slice(route.prefix.length).replace(/^\//v, ''));
		sendJson(response, await route.handle({rest, query: url.searchParams, body}));
	} catch (error) {
		const isInvalidInput = error instanceof SyntaxError || error instanceof URIError || error instanceof RangeError;
		sendJson(response, {status: isInvalidInput ? 400 : 500, value: errorValue(error instanceof Error ? error.message : 'The route failed.')});
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

function sendJson(response: ServerResponse, {status, value}: AdminResponse): void {
	response.writeHead(status, {'Content-Type': 'application/json'});
	response.end(`${JSON.stringify(value)}\n`);
}
