/** A proxy whose open channels can be made silent for good, without a reset, while new ones work. */
import {connect, createServer} from 'node:net';

export class SilentPath {
	static async create(target, host = '127.0.0.1') {
		const path = new SilentPath(target);
		await new Promise(resolve => {
			path.#server.listen(0, host, resolve);
		});
		path.address = `${host}:${path.#server.address().port}`;
		return path;
	}

	address = '';
	#target;
	#channels = new Set();
	#server = createServer({allowHalfOpen: true}, socket => {
		this.#accept(socket);
	});

	constructor(target) {
		this.#target = target;
	}

	/** Makes all open channels silent: neither bytes nor closes pass any more. Returns how many there are. */
	silence() {
		const {size} = this.#channels;
		for (const channel of this.#channels) {
			channel.isSilent = true;
		}

		this.#channels.clear();
		return size;
	}

	close() {
		this.#server.close();
	}

	#accept(incoming) {
		const [host, port] = this.#target.split(':');
		const outgoing = connect({host, port: Number(port), allowHalfOpen: true});
		const channel = {isSilent: false};
		this.#channels.add(channel);
		this.#forward(incoming, outgoing, channel);
		this.#forward(outgoing, incoming, channel);
	}

	#forward(from, to, channel) {
		from.setNoDelay(true);
		from.on('data', bytes => {
			if (!channel.isSilent && !to.destroyed) {
				to.write(bytes);
			}
		});
		from.on('end', () => {
			if (!channel.isSilent && !to.destroyed) {
				to.end();
			}
		});
		from.on('error', () => {
			if (!channel.isSilent && !to.destroyed) {
				to.resetAndDestroy();
			}
		});
		from.once('close', () => {
			this.#channels.delete(channel);
		});
	}
}
