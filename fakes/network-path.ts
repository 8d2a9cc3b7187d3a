import {once} from 'node:events';
import {connect, createServer, type AddressInfo, type Server, type Socket} from 'node:net';

/** Faults of a network path between two processes. */
export type PathFaults = {
	/** Bytes and closes are held back without an error, as in a partition between zones or a half-open connection. */
	silent: boolean;
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

	readonly faults: PathFaults = {silent: false, refusing: false, delayMilliseconds: 0};
	readonly #target: {host: string; port: number};
	readonly #server: Server;
	readonly #sockets = new Set<Socket>();
	readonly #held: Array<() => void> = [];

	private constructor(target: string) {
		const separator = target.lastIndexOf(':');
		this.#target = {host: target.slice(0, separator), port: Number(target.slice(separator + 1))};
		this.#server = createServer(socket => {
			this.#accept(socket);
		});
	}

	get address(): string {
		return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	/** Closes every connection; both ends see the close. */
	cut(): void {
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	/** Ends `silent` and `refusing`; what was held back is delivered in order. */
	heal(): void {
		this.faults.silent = false;
		this.faults.refusing = false;
		for (const deliver of this.#held.splice(0)) {
			deliver();
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

		const outgoing = connect(this.#target);
		this.#forward(incoming, outgoing);
		this.#forward(outgoing, incoming);
	}

	#forward(from: Socket, to: Socket): void {
		this.#sockets.add(from);
		from.setNoDelay(true);
		from.on('data', (bytes: Uint8Array) => {
			this.#deliver(() => {
				if (!to.destroyed && !to.write(bytes)) {
					from.pause();
				}
			});
		});
		to.on('drain', () => {
			from.resume();
		});
		from.on('error', () => {
			// The 'close' event that follows closes the other end.
		});
		from.on('close', () => {
			this.#sockets.delete(from);
			this.#deliver(() => {
				to.destroy();
			});
		});
	}

	/** Delivers now, after the delay or once `silent` ends. The delay is the same for all actions, which keeps their order. */
	#deliver(action: () => void): void {
		if (this.faults.silent) {
			this.#held.push(action);
			return;
		}

		if (this.faults.delayMilliseconds > 0) {
			setTimeout(action, this.faults.delayMilliseconds);
			return;
		}

		action();
	}
}
