import {once} from 'node:events';
import {createServer, IncomingMessage, type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {CallerConnections, PipelinedResponse} from '../../src/connections/index.js';

export type ServerBedOptions = {
	readonly keepAliveMilliseconds?: number;
	readonly headersMilliseconds?: number;
	/** Without connections it is Node's own server. */
	readonly isPlain?: boolean;
	readonly serve?: (request: IncomingMessage, response: PipelinedResponse) => void;
};

/** Node looks this often for headers that are late. */
const checkMilliseconds = 50;

/** An HTTP server with the connections of callers, and what it has served. */
export class ServerBed implements AsyncDisposable {
	static async create(options: ServerBedOptions = {}): Promise<ServerBed> {
		const bed = new ServerBed(options);
		bed.server.listen(0, '127.0.0.1');
		await once(bed.server, 'listening');
		return bed;
	}

	readonly server: Server<typeof IncomingMessage, typeof PipelinedResponse>;
	readonly connections: CallerConnections | undefined;
	/** Paths of the requests that were served, in their order; one whose response was cut off is in `cut` as well. */
	readonly served: string[] = [];
	readonly cut: string[] = [];
	readonly ignored: string[] = [];

	private constructor({isPlain = false, keepAliveMilliseconds = 15_000, headersMilliseconds = 30_000, serve = serveAtOnce}: ServerBedOptions) {
		this.server = createServer({
			ServerResponse: PipelinedResponse, IncomingMessage, keepAliveTimeout: keepAliveMilliseconds, headersTimeout: headersMilliseconds, connectionsCheckingInterval: checkMilliseconds, noDelay: true,
		});
		const onRequest = (request: IncomingMessage, response: PipelinedResponse): void => {
			this.served.push(request.url!);
			response.once('close', () => {
				if (!response.writableFinished) {
					this.cut.push(request.url!);
				}
			});
			request.on('error', () => undefined);
			serve(request, response);
		};

		if (isPlain) {
			this.server.on('request', onRequest);
			return;
		}

		this.connections = CallerConnections.create({
			server: this.server,
			onRequest,
			onExcess(_, response) {
				response.writeHead(503, {'Content-Length': 0});
				response.end();
			},
			onIgnored: request => {
				this.ignored.push(request.url!);
			},
			onMalformed: () => undefined,
		});
	}

	get port(): number {
		return (this.server.address() as AddressInfo).port;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.server.close();
		this.server.closeAllConnections();
	}
}

/** Blocks the event loop. */
export function block(milliseconds: number): void {
	const end = performance.now() + milliseconds;
	while (performance.now() < end) {
		// Nothing is read meanwhile.
	}
}

export function requestOf(path: string, {method = 'GET', version = '1.1', more = '\r\n'}: {readonly method?: string; readonly version?: string; readonly more?: string} = {}): string {
	return `${method} ${path} HTTP/${version}\r\nHost: studio.example\r\n${more}`;
}

/** A body that tells its request. */
export function answer(request: IncomingMessage, response: PipelinedResponse, more = ''): void {
	const body = `answer to ${request.url!}${more}`;
	response.writeHead(200, {'Content-Length': body.length});
	response.end(body);
}

function serveAtOnce(request: IncomingMessage, response: PipelinedResponse): void {
	request.resume();
	answer(request, response);
}
