/** A small stand-in for the platform's store: keyed topics of one partition, long polls, and the newest record of each key. */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {buffer} from 'node:stream/consumers';

const longestPage = 500;

export class Store {
	static async create(host = '127.0.0.1') {
		const store = new Store();
		await new Promise(resolve => {
			store.#server.listen(0, host, resolve);
		});
		store.address = `${host}:${store.#server.address().port}`;
		return store;
	}

	address = '';
	/** Changes the value of an appended record: an address in it can be made to lead over a proxy. */
	rewrite = (_topic, _key, value) => value;
	#topics = new Map();
	#server = createServer((request, response) => {
		this.#answer(request, response);
	});

	constructor() {
		// A sound server keeps an idle channel for a minute.
		this.#server.keepAliveTimeout = 65_000;
	}

	/** Appends a record as the operator or a worker does; without a value the key is dropped. */
	put(topic, key, value) {
		this.#append(topic, Buffer.from(key), Buffer.from(value === undefined ? '' : JSON.stringify(value)));
	}

	close() {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	#topic(name) {
		const topic = this.#topics.get(name) ?? {records: [], newest: new Map(), waiting: new Set()};
		this.#topics.set(name, topic);
		return topic;
	}

	#append(name, key, original) {
		const value = original.length === 0 ? original : Buffer.from(this.rewrite(name, key.toString(), original.toString()));
		const topic = this.#topic(name);
		const offset = topic.records.length;
		topic.records.push({key, value});
		topic.newest.delete(key.toString());
		if (value.length > 0) {
			topic.newest.set(key.toString(), {value, offset});
		}

		for (const wake of topic.waiting) {
			wake();
		}
	}

	async #answer(request, response) {
		const url = new URL(request.url, 'http://store');
		const body = await buffer(request);
		const name = url.searchParams.get('topic') ?? '';
		switch (url.pathname) {
			case '/v1/log-newest': {
				this.#answerNewest(response, name, url.searchParams.get('after'));
				return;
			}

			case '/v1/log-read': {
				await this.#answerRead(response, name, {from: Number(url.searchParams.get('from')), waitMilliseconds: Number(url.searchParams.get('waitMs') ?? 0)});
				return;
			}

			case '/v1/log-append': {
				this.#answerAppend(response, name, {at: url.searchParams.get('at'), body});
				return;
			}

			default: {
				response.writeHead(404).end();
			}
		}
	}

	#answerNewest(response, name, after) {
		const {records, newest} = this.#topic(name);
		const all = Array.from(newest, ([key, {value, offset}]) => ({key, value: value.toString('base64'), offset}));
		const rest = all.slice(1 + all.findIndex(({key}) => key === after));
		sendJson(response, 200, {items: rest.slice(0, longestPage), more: rest.length > longestPage, end: records.length});
	}

	async #answerRead(response, name, {from, waitMilliseconds}) {
		const topic = this.#topic(name);
		if (from >= topic.records.length && waitMilliseconds > 0) {
			await new Promise(resolve => {
				const wake = () => {
					clearTimeout(timer);
					topic.waiting.delete(wake);
					resolve();
				};

				const timer = setTimeout(wake, waitMilliseconds);
				topic.waiting.add(wake);
			});
		}

		const offsets = Buffer.alloc(16);
		offsets.writeBigUInt64BE(BigInt(topic.records.length), 0);
		response.end(Buffer.concat([offsets, ...topic.records.slice(from).map(record => frame(record))]));
	}

	#answerAppend(response, name, {at, body}) {
		const {records} = this.#topic(name);
		const offset = records.length;
		if (at !== null && Number(at) !== offset) {
			sendJson(response, 412, {end: offset});
			return;
		}

		for (let position = 0; position < body.length;) {
			const start = position + 4;
			const end = start + body.readUInt32BE(position);
			const valueStart = start + 1 + body[start];
			this.#append(name, Buffer.from(body.subarray(start + 1, valueStart)), Buffer.from(body.subarray(valueStart, end)));
			position = end;
		}

		sendJson(response, 200, {offset, end: records.length});
	}
}

function frame({key, value}) {
	const content = Buffer.concat([Buffer.from([key.length]), key, value]);
	const length = Buffer.alloc(4);
	length.writeUInt32BE(content.length);
	return Buffer.concat([length, content]);
}

function sendJson(response, status, value) {
	response.writeHead(status, {'Content-Type': 'application/json'});
	response.end(JSON.stringify(value));
}
