import {once} from 'node:events';
import net from 'node:net';
import tap from 'tap';
import {AcceptProbe} from '../../src/gateway/accept-probe.js';
import {eventually} from './testbed.js';

const silentLogger = {debug: () => undefined, info: () => undefined, warn: () => undefined, error: () => undefined};

function add(outcomes: string[]): (outcome: string) => void {
	return outcome => {
		outcomes.push(outcome);
	};
}

async function listen(): Promise<net.Server> {
	const server = net.createServer();
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return server;
}

async function nextConnection(server: net.Server): Promise<net.Socket> {
	const [socket] = await once(server, 'connection') as [net.Socket];
	return socket;
}

tap.test('a probe is told from the connections of callers', async t => {
	const server = await listen();
	const outcomes: string[] = [];
	using probe = AcceptProbe.create({address: () => server.address() as net.AddressInfo, logger: silentLogger, onEnd: add(outcomes)});
	const address = server.address() as net.AddressInfo;
	const callers = nextConnection(server);
	const caller = net.connect(address.port, address.address);
	const accepted = await callers;
	t.notOk(probe.accept(accepted), 'none is open');
	const own = nextConnection(server);
	probe.open();
	t.notOk(probe.accept(accepted));
	probe.accept(await own);
	await eventually(() => outcomes.length > 0);
	t.same(outcomes, ['accepted']);
	caller.destroy();
	accepted.destroy();
	server.close();
});

// A stopping instance whose port had just closed would have ended at once, with all requests that it still served.
tap.test('a probe of a port that is closed fails, and ends nothing', async t => {
	const outcomes: string[] = [];
	using closed = AcceptProbe.create({address: () => undefined, logger: silentLogger, onEnd: add(outcomes)});
	closed.open();
	t.same(outcomes, ['failed']);
	const server = await listen();
	const address = server.address() as net.AddressInfo;
	server.close();
	await once(server, 'close');
	using refused = AcceptProbe.create({address: () => address, logger: silentLogger, onEnd: add(outcomes)});
	refused.open();
	await eventually(() => outcomes.length > 1);
	t.same(outcomes, ['failed', 'failed']);
});
