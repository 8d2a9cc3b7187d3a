/* eslint-disable no-await-in-loop -- steps of a case follow one another */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {sleep} from './world.mjs';

const firstMilliseconds = 60;
const gapMilliseconds = 30;
const events = 7;
const breakMilliseconds = 20;

function encodeEvent(request, number) {
	return Buffer.from(`id: ${number}\ndata: ${request} ${number}\n\n`);
}

/** A worker of streams, sound or not: of some answers it spoils a byte of one piece, and breaks them off there. */
export class StreamWorker {
	static async create(id, service) {
		const worker = new StreamWorker(id, service);
		worker.#server.listen(0, '127.0.0.1');
		await once(worker.#server, 'listening');
		return worker;
	}

	requests = [];
	/** Changes the bytes of a piece, by its number; returns whether the answer is broken off after it. */
	spoil = () => false;
	#server = createServer((request, response) => {
		this.#answer(request, response);
	});

	constructor(id, service) {
		this.id = id;
		this.service = service;
	}

	beat(more = {}) {
		return {
			service: this.service, address: `127.0.0.1:${this.#server.address().port}`, zone: 'zone-a', version: 'v1', slots: 16, state: 'ready', seq: 1, ...more,
		};
	}

	async [Symbol.asyncDispose]() {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	async #answer(request, response) {
		request.resume();
		const {'request-id': id, 'target-instance': target, 'last-event-id': after = '0'} = request.headers;
		if (target !== this.id) {
			response.writeHead(421, {'Instance-Id': this.id}).end();
			return;
		}

		this.requests.push({id, wasRun: true});
		response.writeHead(200, {'Request-Id': id, 'Upstream-Signature': `${this.id}.1`, 'Content-Type': 'text/event-stream'});
		await sleep(firstMilliseconds);
		for (let number = Number(after) + 1; number <= events; number++) {
			const bytes = encodeEvent(id, number);
			const isBrokenOff = this.spoil(bytes, number);
			response.write(bytes);
			await sleep(isBrokenOff ? breakMilliseconds : gapMilliseconds);
			if (isBrokenOff) {
				response.socket?.resetAndDestroy();
				return;
			}
		}

		response.end();
	}
}
