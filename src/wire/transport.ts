import {once} from 'node:events';
import net, {type AddressInfo} from 'node:net';
import tls from 'node:tls';
import {Timeout} from '../concurrency/index.js';
import {splitAddress} from '../model/index.js';
import {Connection} from './connection.js';

/** Transport security between processes. Plain text must be configured explicitly. */
export type Security
	= | {readonly type: 'plaintext'}
		| {readonly type: 'mutual-tls'; readonly certificate: string; readonly key: string; readonly authority: string};

const dialTimeoutMilliseconds = 2000;

/** Accepts connections from peers. With mutual TLS, a peer without a certificate signed by the configured authority is rejected. */
export class Listener implements AsyncDisposable {
	static async create(options: {host: string; port: number; security: Security; onConnection: (connection: Connection) => void; onRefused?: (reason: string) => void}): Promise<Listener> {
		const accept = (socket: net.Socket): void => {
			socket.setNoDelay(true);
			options.onConnection(Connection.create(socket, `${socket.remoteAddress}:${socket.remotePort}`));
		};

		const server = options.security.type === 'plaintext' ? net.createServer(accept) : createTlsServer(options.security, accept, options.onRefused);
		server.listen(options.port, options.host);
		await once(server, 'listening');
		return new Listener(server, options.host);
	}

	/** IP address and port at which peers connect to this process. */
	readonly address: string;
	readonly #server: net.Server;

	private constructor(server: net.Server, host: string) {
		this.#server = server;
		this.address = `${host}:${(server.address() as AddressInfo).port}`;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#server.close();
	}
}

function createTlsServer(security: Extract<Security, {type: 'mutual-tls'}>, accept: (socket: net.Socket) => void, onRefused?: (reason: string) => void): net.Server {
	const server = tls.createServer({
		cert: security.certificate, key: security.key, ca: security.authority, requestCert: true, rejectUnauthorized: true, minVersion: 'TLSv1.3',
	}, accept);
	server.on('tlsClientError', error => {
		onRefused?.(error.message);
	});
	return server;
}

/** Connects to a peer. Rejects if the peer does not respond in time or its certificate is not signed by the configured authority. */
export async function dial(address: string, security: Security): Promise<Connection> {
	const {host, port} = splitAddress(address);
	const socket = security.type === 'plaintext'
		? net.connect({host, port})
		: tls.connect({
			host, port, cert: security.certificate, key: security.key, ca: security.authority, minVersion: 'TLSv1.3', checkServerIdentity: skipHostNameCheck,
		});
	const controller = new AbortController();
	using _timeout = Timeout.start(dialTimeoutMilliseconds, () => {
		controller.abort(new Error(`no connection within ${dialTimeoutMilliseconds} ms`));
	});
	try {
		await once(socket, security.type === 'plaintext' ? 'connect' : 'secureConnect', {signal: controller.signal});
	} catch (error) {
		socket.destroy();
		throw error;
	}

	socket.setNoDelay(true);
	return Connection.create(socket, address);
}

/** Replaces the host name check: instances are addressed by IP number and replaced at any time, so the authority's signature is their identity. */
function skipHostNameCheck(): undefined {
	return undefined;
}
