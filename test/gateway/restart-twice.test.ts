import {once} from 'node:events';
import {createServer, type Server, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import tap from 'tap';
import {ConnectionPools} from '../../src/gateway/endpoints/index.js';
import {Attempt, type AttemptEvent} from '../../src/gateway/requests/attempt.js';
import {type ZoneName} from '../../src/model/index.js';
import {type EndpointRecord} from '../../src/routing/index.js';
import {silenceMilliseconds} from '../../src/policy/incarnations/index.js';

/** Older than the time within which an instance learns of a restart. */
const ageMilliseconds = 2200;
/** Long enough that a silent connection is given up if it ever is. */
const workMilliseconds = ageMilliseconds + silenceMilliseconds + 1500;

async function sleep(milliseconds: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}

/** An endpoint whose answers wait until they are sent. */
async function createEndpoint(): Promise<{readonly server: Server; readonly address: string; readonly responses: ServerResponse[]}> {
	const responses: ServerResponse[] = [];
	const server = createServer((_request, response) => {
		responses.push(response);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return {server, address: `127.0.0.1:${(server.address() as AddressInfo).port}`, responses};
}

function recordAt(address: string): EndpointRecord {
	return {id: 'a', service: 'orders', address, zone: 'z' as ZoneName, isLeaving: false, slots: 4, revision: 1, bornAt: 1};
}

function start(pools: ConnectionPools, address: string): AttemptEvent[] {
	const events: AttemptEvent[] = [];
	Attempt.start({
		address, method: 'POST', path: '/', headers: ['Host', 'a.example', 'Content-Length', '0'], body: undefined, connectionPool: pools.forEndpoint(recordAt(address)), mayRunAgain: true,
		onEvent(event) {
			events.push(event);
		},
	});
	return events;
}

// An order at the first incarnation got 502 when the third began at the address of the second, although the first was at work.
tap.test('a restart at one address ends nothing at an earlier incarnation that had another address', async t => {
	using pools = ConnectionPools.create();
	const first = await createEndpoint();
	const second = await createEndpoint();
	const atFirst = start(pools, first.address);
	const atSecond = start(pools, second.address);
	await sleep(ageMilliseconds);
	pools.handleRestart({id: 'a', hadAnnouncedLeaving: false, isAtSameAddress: true, address: second.address});
	await sleep(workMilliseconds - ageMilliseconds);
	first.responses[0]!.end('posted');
	await sleep(100);
	t.equal(atFirst.at(-1)?.type, 'end', 'the first one ends its work');
	t.equal(atSecond.at(-1)?.type, 'broken', 'the process before at that address is gone');
	for (const {server} of [first, second]) {
		server.closeAllConnections();
		server.close();
	}
});
