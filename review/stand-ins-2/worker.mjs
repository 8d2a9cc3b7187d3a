/** A stand-in for a sound worker of the platform: it runs each request that names it, and answers with its own id. */
import {createServer} from 'node:http';
import {buffer} from 'node:stream/consumers';
import {sleep} from './time.mjs';

export class Worker {
	static async create(id, service, host = '127.0.0.1') {
		const worker = new Worker(id, service);
		await new Promise(resolve => {
			worker.#server.listen(0, host, resolve);
		});
		worker.address = `${host}:${worker.#server.address().port}`;
		return worker;
	}

	address = '';
	/** Ids and times of the requests that it ran. */
	runs = [];
	workMilliseconds = 0;
	#server = createServer((request, response) => {
		this.#answer(request, response);
	});

	constructor(id, service) {
		this.id = id;
		this.service = service;
		this.#server.keepAliveTimeout = 15_000;
	}

	/** What it writes to the store under its id. */
	entry(more = {}) {
		return {
			service: this.service, address: this.address, zone: 'zone-a', version: 'v1', slots: 16, state: 'ready', coldRemainingMs: 0, seq: 1, ...more,
		};
	}

	close() {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	async #answer(request, response) {
		await buffer(request);
		const id = request.headers['request-id'];
		if (id === undefined) {
			response.writeHead(200, {'Content-Type': 'application/json'}).end('{"epoch":1,"next":1,"held":[]}');
			return;
		}

		if (request.headers['target-instance'] !== this.id) {
			response.writeHead(421, {'Request-Id': id, 'Instance-Id': this.id}).end();
			return;
		}

		this.runs.push({id, at: performance.now()});
		await sleep(this.workMilliseconds);
		response.writeHead(200, {'Request-Id': id, 'Upstream-Signature': `${this.id}.${id}`}).end(this.id);
	}
}
