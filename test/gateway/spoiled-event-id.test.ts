import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import tap from 'tap';
import {type CallerResponse, Testbed} from './testbed.js';

function idsOf({body}: CallerResponse): string[] {
	return [...body.matchAll(/^id: (?<id>.*)$/gmv)].map(({groups}) => groups!.id!);
}

/** An endpoint whose stream has a spoiled id in its third event, and ends there. */
async function serveSpoiled(testbed: Testbed, spoiledId: string): Promise<AsyncDisposable> {
	const answer = (request: IncomingMessage, response: ServerResponse): void => {
		response.writeHead(200, {'Request-Id': String(request.headers['request-id']), 'Upstream-Signature': 's', 'Content-Type': 'text/event-stream'});
		response.write('id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n');
		response.write(Buffer.from(`id: ${spoiledId}\ndata: 3\n\n`, 'latin1'));
		setTimeout(() => {
			response.destroy();
		}, 50);
	};

	const server = createServer(answer);
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	testbed.store.put('keyed.servers', 'spoiled', {service: 'models', address: `127.0.0.1:${(server.address() as AddressInfo).port}`, zone: 'zone-a', version: 'v1', slots: 16, state: 'ready', seq: 1});
	return {
		async [Symbol.asyncDispose]() {
			server.closeAllConnections();
			server.close();
		},
	};
}

const spoiledIds: ReadonlyArray<{readonly name: string; readonly id: string}> = [
	{name: 'a control character', id: '\u{13}'},
	{name: 'a zero byte', id: '3\0'},
	{name: 'a letter in place of a number', id: 's'},
	{name: 'nothing', id: ''},
];

// The spoiled id went into the header of the request that goes on; the error ended the instance, or the next endpoint began again at the first event.
for (const {name, id} of spoiledIds) {
	tap.test(`a stream with an event whose id has become ${name} goes on after the event before it`, async t => {
		await using testbed = await Testbed.create({services: ['orders']});
		await using _spoiled = await serveSpoiled(testbed, id);
		const gateway = await testbed.startGateway();
		const first = testbed.send({path: '/chart/1', id: 'stream'});
		await new Promise(resolve => {
			setTimeout(resolve, 20);
		});
		const next = await testbed.addWorker('next', 'models');
		next.answer = () => ({type: 'events', count: 5, gapMilliseconds: 5});
		const stream = await first;
		t.same(idsOf(stream).slice(0, 2), ['1', '2']);
		t.ok(idsOf(stream).every((text, index) => text === String(index + 1)), 'nothing spoiled is passed on');
		t.ok(next.requests.every(({headers}) => headers['last-event-id'] === '2'));
		t.equal(await testbed.statusOf(), 200, 'the others are served');
		t.equal(gateway.gateway.openRequests, 0);
	});
}
