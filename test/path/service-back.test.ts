import {once} from 'node:events';
import http, {type IncomingMessage} from 'node:http';
import tap from 'tap';
import {keyOf, planCatalogue} from '../../bench/harness/catalogue.js';
import {LocalFleet, until} from '../../bench/harness/local-fleet.js';

// A service that was down once was refused ever after: nothing told its side that it is back.
tap.test('a service that was down is used again', async t => {
	await using fleet = await LocalFleet.create({entries: 1, endpoints: 0, zones: ['zone-a'], models: [], random: () => 0.5, logLevel: 'fatal'});
	const service = await fleet.addService('kitchen', 'zone-a');
	await fleet.publish([...planCatalogue([], ['cuarto-andino']), {kind: 'service', name: 'kitchen', owner: 'platform', idempotentMethods: ['GET', 'PUT']}]);
	const {entry} = fleet.entries[0]!;
	await until(() => entry.fleet.connected.length === 1);
	const [host, port] = entry.address.split(':') as [string, string];
	const statusOf = async (): Promise<number | undefined> => {
		const request = http.request({host, port, method: 'PUT', path: '/services/kitchen/echo', agent: false, headers: {authorization: `Bearer ${keyOf('cuarto-andino')}`}});
		request.end('echo');
		const [response] = await once(request, 'response') as [IncomingMessage];
		response.resume();
		return response.statusCode;
	};

	const before = await statusOf();
	await service.crash();
	const during = await statusOf();
	t.same([before, during], [200, 503]);
	await service.start();
	let last: number | undefined;
	for (let attempt = 0; attempt < 10 && last !== 200; attempt++) {
		last = await statusOf();
	}

	t.equal(last, 200);
});
