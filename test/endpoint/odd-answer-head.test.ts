import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {IncomingMessage, ServerResponse} from 'node:http';
import net, {type AddressInfo} from 'node:net';
import tap from 'tap';
import {EngineClient, type EngineEvent, ServiceClient} from '../../src/endpoint/index.js';

const whole = 'HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Type: text/event-stream\r\n\r\n';
/** Places within the head of a response: in the status line, in a header's name, in its value, after a line, within the last line end. */
const places = ['HTTP/1.1 20', 'HTTP/1.1 200 OK', 'HTTP/1.1 200 OK\r\n', 'Connec', 'Connection: close\r\n', 'event-stream\r\n', 'event-stream\r\n\r'];

/** An endpoint that writes bytes in answer to each request and closes, in an orderly way or not. */
async function serve(bytes: () => Uint8Array, isReset = false): Promise<{url: string; server: net.Server}> {
	const server = net.createServer(socket => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			socket.write(bytes(), () => {
				if (isReset) {
					socket.resetAndDestroy();
				} else {
					socket.end();
				}
			});
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return {url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, server};
}

// Callers would get a 200 with an empty or short body, framed as whole.
tap.test('an answer whose endpoint closes within its head is a failure', async t => {
	for (const place of places) {
		for (const isReset of [false, true]) {
			const {url, server} = await serve(() => Buffer.from(whole.slice(0, whole.indexOf(place) + place.length)), isReset);
			await using services = ServiceClient.create({baseUrl: url});
			const answer = await services.call({requestId: 'r', method: 'POST', path: '/tickets', headers: {}, body: Buffer.from('soup')});
			t.match(answer, {type: 'failed', failure: {verdict: 'may-have-run'}}, `service, after ${JSON.stringify(place)}`);
			await using engines = EngineClient.create({baseUrl: url});
			const events: EngineEvent[] = [];
			for await (const turn of engines.run({requestId: 'r', method: 'POST', path: '/v1/chat/completions', headers: {}, body: Buffer.from('{"model":"m","stream":true}'), resumeTokens: 0, resumeText: '', priority: 0})) {
				events.push(...turn);
			}

			t.match(events, [{type: 'failed', failure: {verdict: 'may-have-run'}}], `engine, after ${JSON.stringify(place)}`);
			server.close();
		}
	}
});

// A header that Node's parser lets pass on some processors, or a status below 100, ended the instance that wrote it to its caller.
tap.test('an answer that can be forwarded is one that Node writes', async t => {
	let head = '';
	const {url, server} = await serve(() => Buffer.from(`${head}\r\nContent-Length: 2\r\n\r\nok`, 'latin1'));
	await using services = ServiceClient.create({baseUrl: url});
	const heads = ['000', '001', '099', '199', '204', '304', '599', '600', '999'].map(status => `HTTP/1.1 ${status} X`);
	for (let code = 0; code <= 255; code++) {
		heads.push(`HTTP/1.1 200 OK\r\nX-Odd${String.fromCodePoint(code)}: b`, `HTTP/1.1 200 OK\r\nX-Odd: a${String.fromCodePoint(code)}b`);
	}

	for (head of heads) {
		const answer = await services.call({requestId: 'r', method: 'GET', path: '/menu', headers: {}, body: Buffer.alloc(0)});
		if (answer.type === 'answered') {
			t.doesNotThrow(() => {
				write(answer);
			}, JSON.stringify(head));
			await answer.body.return(undefined);
		}
	}

	t.pass('all were played');
	server.close();
});

/** Writes a head as an entry does. */
function write({status, headers}: {status: number; headers: Record<string, string>}): void {
	const socket = new net.Socket();
	const response = new ServerResponse(new IncomingMessage(socket));
	response.writeHead(status, headers);
	socket.destroy();
}
