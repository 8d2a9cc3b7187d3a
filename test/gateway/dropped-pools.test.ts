import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import tap from 'tap';
import {ConnectionPools} from '../../src/gateway/endpoints/index.js';
import {Attempt, type AttemptEvent} from '../../src/gateway/requests/attempt.js';
import {type ZoneName} from '../../src/model/index.js';
import {type EndpointRecord} from '../../src/routing/index.js';
import {eventually} from './testbed.js';

/** Of which an instance uses 8, the least. */
const largestConnections = 8;

/** An endpoint that answers nothing before it is told to, and the pools of an instance. */
class Play implements AsyncDisposable {
	static async create(): Promise<Play> {
		const play = new Play();
		play.#server.listen(0, '127.0.0.1');
		await once(play.#server, 'listening');
		return play;
	}

	readonly pools = ConnectionPools.create();
	readonly responses: ServerResponse[] = [];
	readonly #server = createServer((_request, response) => {
		this.responses.push(response);
	});

	get record(): EndpointRecord {
		const {port} = this.#server.address() as AddressInfo;
		return {id: 'a', service: 'orders', address: `127.0.0.1:${port}`, zone: 'z' as ZoneName, isLeaving: false, slots: 4, revision: 1, bornAt: 1};
	}

	start(): AttemptEvent[] {
		const events: AttemptEvent[] = [];
		Attempt.start({
			address: this.record.address, method: 'POST', path: '/', headers: ['Host', 'a.example', 'Content-Length', '0'], body: undefined,
			connectionPool: this.pools.forEndpoint(this.record, largestConnections),
			mayRunAgain: true,
			onEvent(event) {
				events.push(event);
			},
		});
		return events;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.pools[Symbol.dispose]();
		this.#server.closeAllConnections();
		this.#server.close();
	}
}

async function sleep(milliseconds: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}

// The pool of an endpoint that was gone for two minutes was dropped under its streams: when the endpoint came back, it got a second limit of connections, and resets those beyond its own.
tap.test('the streams at an endpoint that is forgotten and comes back count against its limit of connections', async t => {
	await using play = await Play.create();
	const before = Array.from({length: largestConnections}, () => play.start());
	await eventually(() => play.responses.length === largestConnections);
	play.pools.retain(new Set());
	const beyond = play.start();
	await sleep(200);
	t.equal(play.responses.length, largestConnections, 'none beyond the limit');
	for (const response of play.responses) {
		response.end('whole');
	}

	await eventually(() => before.every(events => events.at(-1)?.type === 'end'));
	await eventually(() => play.responses.length > largestConnections);
	play.responses.at(-1)!.end('whole');
	await eventually(() => beyond.at(-1)?.type === 'end');
});

// What ends with the pool must not be kept: one more for each endpoint that ever was.
tap.test('the pool of an endpoint that is gone is dropped once it has no connections', async t => {
	await using play = await Play.create();
	const events = play.start();
	await eventually(() => play.responses.length === 1);
	const pool = play.pools.forEndpoint(play.record);
	play.pools.retain(new Set());
	t.ok(play.pools.forEndpoint(play.record) === pool, 'kept while it carries a request');
	play.responses[0]!.writeHead(200, {connection: 'close'}).end('whole');
	await eventually(() => events.at(-1)?.type === 'end');
	await eventually(() => {
		play.pools.retain(new Set());
		return play.pools.forEndpoint(play.record) !== pool;
	});
});

// A stream at an endpoint that is forgotten goes on, whatever becomes of the pool.
tap.test('a stream at an endpoint that is forgotten ends whole', async t => {
	await using play = await Play.create();
	const events = play.start();
	await eventually(() => play.responses.length === 1);
	play.responses[0]!.write('half');
	await eventually(() => events.some(({type}) => type === 'data'));
	play.pools.retain(new Set());
	play.pools.retain(new Set());
	play.responses[0]!.end('half');
	await eventually(() => events.at(-1)?.type === 'end');
	t.same(events.map(({type}) => type), ['head', 'data', 'data', 'end']);
});
