import {once} from 'node:events';
import {connect, createServer, type AddressInfo, type Server, type Socket} from 'node:net';

/** What a path between two processes does to the bytes on it. */
export type PathFaults = {
	/** Nothing passes, nobody is told: a cut between zones, or a half-open connection. */
	silent: boolean;
	/** New connections are refused by closing them at once. */
	refusing: boolean;
	delayMilliseconds: number;
};

/** A TCP path to `target`, IP number and port, that can be cut, silenced and slowed. */
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
			this.#join(socket);
		});
	}

	get address(): string {
		return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	/** Breaks every connection; both ends are told. */
	cut(): void {
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	/** Ends a silence: what was held passes, in order. */
	heal(): void {
		this.faults.silent = false;
		this.faults.refusing = false;
		for (const pass of this.#held.splice(0)) {
			pass();
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

	#join(near: Socket): void {
		if (this.faults.refusing) {
			near.destroy();
			return;
		}

		const far = connect(this.#target);
		this.#carry(near, far);
		this.#carry(far, near);
	}

	#carry(from: Socket, to: Socket): void {
		this.#sockets.add(from);
		from.setNoDelay(true);
		from.on('data', (bytes: Uint8Array) => {
			this.#pass(() => {
				if (!to.destroyed && !to.write(bytes)) {
					from.pause();
				}
			});
		});
		to.on('drain', () => {
			from.resume();
		});
		from.on('error', () => {
			// The close that follows tells the other end.
		});
		from.on('close', () => {
			this.#sockets.delete(from);
			this.#pass(() => {
				to.destroy();
			});
		});
	}

	/** Passes now, later or once the silence ends; a delay is the same for all, so the order stays. */
	#pass(action: () => void): void {
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
