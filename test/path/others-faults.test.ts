import {once} from 'node:events';
import http, {type IncomingMessage} from 'node:http';
import tap from 'tap';
import {keyOf, planCatalogue} from '../../bench/harness/catalogue.js';
import {LocalFleet, until} from '../../bench/harness/local-fleet.js';

const fleet = await LocalFleet.create({
	entries: 1, endpoints: 0, zones: ['zone-a'], models: [], random: () => 0.5, logLevel: 'fatal',
});
await fleet.addService('kitchen', 'zone-a');
await fleet.publish([
	...planCatalogue([], ['cuarto-andino']),
	{kind: 'service', name: 'kitchen', owner: 'platform', idempotentMethods: ['GET', 'PUT']},
]);
const {entry} = fleet.entries[0]!;
await until(() => entry.fleet.connected.length === 1);
tap.teardown(async () => fleet[Symbol.asyncDispose]());

const [host, port] = entry.address.split(':') as [string, string];

function open(method: string, path: string): http.ClientRequest {
	return http.request({host, port, method, path: `/services/kitchen/${path}`, agent: false, headers: {authorization: `Bearer ${keyOf('cuarto-andino')}`}});
}

async function responseTo(request: http.ClientRequest): Promise<IncomingMessage> {
	const [response] = await once(request, 'response') as [IncomingMessage];
	return response;
}

// A path that is longer than a message may carry ended the connection to the side, and every request on it.
tap.test('a path that is too long ends no other request', async t => {
	const other = open('PUT', 'echo');
	other.write('first');
	const response = await responseTo(other);
	const long = open('GET', `echo?${'x'.repeat(9000)}`);
	long.end();
	const {statusCode} = await responseTo(long);
	t.equal(statusCode, 400);
	other.end('second');
	let text = '';
	for await (const part of response.setEncoding('utf8')) {
		text += part as string;
	}

	t.equal(text, 'firstsecond');
});
