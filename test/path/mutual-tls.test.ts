import {once} from 'node:events';
import net from 'node:net';
import tls from 'node:tls';
import {generate} from 'selfsigned';
import tap from 'tap';
import {callModel} from '../../bench/harness/caller.js';
import {keyOf, planCatalogue} from '../../bench/harness/catalogue.js';
import {LocalFleet} from '../../bench/harness/local-fleet.js';
import {dial, encodeFrame, type Security} from '../../src/wire/index.js';

type Mutual = Extract<Security, {type: 'mutual-tls'}>;

/** Creates a certificate authority and a certificate that it signed. */
async function createIdentity(name: string): Promise<Mutual> {
	const authority = await generate([{name: 'commonName', value: `${name} authority`}], {
		keySize: 2048, extensions: [{name: 'basicConstraints', cA: true, critical: true}, {name: 'keyUsage', keyCertSign: true, digitalSignature: true}],
	});
	const signed = await generate([{name: 'commonName', value: name}], {
		keySize: 2048, ca: {key: authority.private, cert: authority.cert}, extensions: [{name: 'extKeyUsage', serverAuth: true, clientAuth: true}],
	});
	return {type: 'mutual-tls', key: signed.private, certificate: signed.cert, authority: authority.cert};
}

// With mutual TLS between the processes callers are served as usual. A peer that connects to the side without a
// certificate, with one of another authority, or in plain text is disconnected before it has
// received a byte of application data, and the side keeps serving.
tap.test('between processes only certificates of the fleet\'s authority are accepted', async t => {
	const security = await createIdentity('fleet');
	const stranger = await createIdentity('stranger');
	await using fleet = await LocalFleet.create({
		entries: 1, endpoints: 1, zones: ['zone-a'], models: ['model'], random: () => 0.5, logLevel: 'fatal', security,
	});
	await fleet.publish(planCatalogue(['model'], ['stickwerk']));
	await fleet.connected();
	const call = async () => callModel({address: fleet.entries[0]!.entry.address, key: keyOf('stickwerk'), model: 'model', prompt: 'x [[tokens=10]]'});
	t.match(await call(), {outcome: 'whole', tokens: 10});

	const {address} = fleet.endpoints[0]!.side;
	const port = Number(address.split(':')[1]);
	const trusting = {host: '127.0.0.1', port, rejectUnauthorized: false} as const;
	const hello = encodeFrame({type: 'hello', protocol: 1, role: 'entry', instance: 'stranger', zone: 'zone-a', catalogueOffset: 0});
	t.equal(await bytesRead(tls.connect(trusting), hello), 0, 'no certificate');
	t.equal(await bytesRead(tls.connect({...trusting, key: stranger.key, cert: stranger.certificate}), hello), 0, 'another authority');
	t.equal(await bytesRead(net.connect(port, '127.0.0.1'), hello), 0, 'plain text');
	await t.rejects(dial(address, stranger), 'a peer with another authority rejects the side\'s certificate too');
	t.match(await call(), {outcome: 'whole'});
});

// The entry aborts the handshake with a side whose certificate is not of the fleet's authority.
tap.test('an entry sends nothing to a side without the right certificate', async t => {
	const security = await createIdentity('fleet');
	const stranger = await createIdentity('stranger');
	let receivedBytes = 0;
	const server = tls.createServer({key: stranger.key, cert: stranger.certificate}, socket => {
		socket.on('data', (bytes: Uint8Array) => {
			receivedBytes += bytes.length;
		});
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as net.AddressInfo;
	await t.rejects(dial(`127.0.0.1:${port}`, security));
	t.equal(receivedBytes, 0);
	server.close();
});

/** How many bytes of application data a peer gets before its connection ends. */
async function bytesRead(socket: net.Socket, sent: Uint8Array): Promise<number> {
	let bytes = 0;
	socket.on('error', ignore);
	socket.on('data', (data: Uint8Array) => {
		bytes += data.length;
	});
	socket.write(sent);
	await new Promise(resolve => {
		socket.once('close', resolve);
	});
	return socket instanceof tls.TLSSocket ? bytes : Math.max(0, bytes - alertBytes);
}

/** Length of the TLS alert sent in reply to plain text, which is not application data. */
const alertBytes = 7;

function ignore(): void {
	// The 'close' event that follows is awaited instead.
}
