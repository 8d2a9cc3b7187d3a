import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import tap from 'tap';
import {httpCall} from '../../platform/http-call.js';
import {HttpCaller} from '../../src/platform/index.js';

const timeoutMilliseconds = 200;

/** A server whose response is in the kernel before the event loop of this process is held up for longer than the timeout. */
class PromptServer implements AsyncDisposable {
	static async create(): Promise<PromptServer> {
		const prompt = new PromptServer();
		prompt.#server.listen(0, '127.0.0.1');
		await once(prompt.#server, 'listening');
		return prompt;
	}

	/** How long the loop is held up after each response. */
	holdMilliseconds = 0;
	readonly #server: Server = createServer((request, response) => {
		request.resume();
		response.setHeader('content-type', 'application/json');
		response.end('{}');
		hold(this.holdMilliseconds);
	});

	get port(): number {
		return (this.#server.address() as AddressInfo).port;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#server.close();
		this.#server.closeAllConnections();
	}
}

function hold(milliseconds: number): void {
	const until = performance.now() + milliseconds;
	while (performance.now() < until) {
		// The event loop reads nothing meanwhile.
	}
}

// A busy instance took the store for silent, and an accepted change was not in force in time.
tap.test('a response that has arrived is read before its call times out', async t => {
	await using server = await PromptServer.create();
	const {port} = server;
	server.holdMilliseconds = 2 * timeoutMilliseconds;

	const response = await httpCall({host: '127.0.0.1', port, method: 'GET', path: '/', timeoutMilliseconds});
	t.equal(response.status, 200);

	await using caller = HttpCaller.create({baseUrl: `http://127.0.0.1:${port}`, timeoutMilliseconds});
	t.match(await caller.call({method: 'GET', path: '/'}), {status: 200});
});

// A busy instance needs several turns for a call: its connection, then its response. Each turn may take longer than the timeout.
tap.test('a call whose every turn of the event loop is late is not given up between its turns', async t => {
	await using server = await PromptServer.create();
	server.holdMilliseconds = 2 * timeoutMilliseconds;
	const call = httpCall({host: '127.0.0.1', port: server.port, method: 'GET', path: '/', timeoutMilliseconds});
	hold(2 * timeoutMilliseconds);
	t.match(await call, {status: 200});
});
