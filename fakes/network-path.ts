import {once} from 'node:events';
import {connect, createServer, type AddressInfo, type Server, type Socket} from 'node:net';
import {Holding, NetworkDirection} from './network-direction.js';

/** Faults of a network path between two processes. */
export type PathFaults = {
	/** Bytes and closes are held back without an error, as in a partition between zones or a half-open connection. */
	silent: boolean;
	/** The target's process stands still: its kernel accepts connections and bytes, and nothing takes them back. */
	stalled: boolean;
	/** New connections are closed immediately. */
	refusing: boolean;
	delayMilliseconds: number;
};

/** A TCP proxy to `target` (IP address and port) that can break, hold back and delay its connections. */
export class FakePath implements AsyncDisposable {
	static async create(target: string): Promise<FakePath> {
		const path = new FakePath(target);
		path.#server.listen(0, '127.0.0.1');
		await once(path.#server, 'listening');
		return path;
	}

	readonly faults: PathFaults = {silent: false, stalled: false, refusing: false, delayMilliseconds: 0};
	#target: {host: string; port: number};
	readonly #server: Server;
	readonly #sockets = new Set<Socket>();
	readonly #directions = new Set<NetworkDirection>();

	private constructor(target: string) {
		this.#target = parseTarget(target);
		this.#server = createServer({allowHalfOpen: true}, socket => {
			this.#accept(socket);
		});
	}

	get address(): string {
		return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	/** Where new connections lead from now on, as when an address is assigned again. */
	redirect(target: string): void {
		this.#target = parseTarget(target);
	}

	/** Closes every connection; both ends see the close. */
	cut(): void {
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	/**
	 * Ends `silent`, `stalled` and `refusing`; what was held back is delivered in order. If it is retransmitted, it arrives when the sender's kernel
	 * sends it again, up to as long after the heal as it was held.
	 */
	heal({isRetransmitted = false}: {readonly isRetransmitted?: boolean} = {}): void {
		this.faults.silent = false;
		this.faults.stalled = false;
		this.faults.refusing = false;
		for (const direction of this.#directions) {
			direction.release({isRetransmitted});
		}
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.cut();
		await new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
		});
	}

	#accept(incoming: Socket): void {
		if (this.faults.refusing) {
			incoming.destroy();
			return;
		}

		const outgoing = connect({...this.#target, allowHalfOpen: true});
		this.#forward(incoming, outgoing);
		this.#forward(outgoing, incoming);
	}

	#forward(from: Socket, to: Socket): void {
		const direction = NetworkDirection.create(from, to, {holding: () => this.#holding, delayMilliseconds: () => this.faults.delayMilliseconds});
		this.#sockets.add(from);
		this.#directions.add(direction);
		from.once('close', () => {
			this.#sockets.delete(from);
		});
		to.once('close', () => {
			this.#directions.delete(direction);
		});
	}

	get #holding(): Holding {
		if (this.faults.silent) {
			return Holding.inTransit;
		}

		return this.faults.stalled ? Holding.atReceiver : Holding.none;
	}
}

function parseTarget(target: string): {host: string; port: number} {
	const separator = target.lastIndexOf(':');
	return {host: target.slice(0, separator), port: Number(target.slice(separator + 1))};
}
