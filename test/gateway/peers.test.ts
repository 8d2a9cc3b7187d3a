import process from 'node:process';
import tap from 'tap';
import {type ZoneName} from '../../src/model/index.js';
import {Beliefs, Peers} from '../../src/gateway/index.js';
import {type RoutingTableInput} from '../../src/routing/index.js';
import {dial, protocolVersion} from '../../src/wire/index.js';
import {LoadBook, type LoadEvent} from '../../src/policy/dispatch/index.js';

const quiet = {debug: () => undefined, info: () => undefined, warn: () => undefined, error: () => undefined};

type Made = {readonly peers: Peers; readonly events: LoadEvent[]; readonly beliefs: Beliefs};

async function createPeers(instance: string, {port, seeds}: {port: number; seeds: readonly string[]}): Promise<Made> {
	const events: LoadEvent[] = [];
	const beliefs = Beliefs.create(quiet);
	const peers = await Peers.create({
		instance, zone: 'zone-a' as ZoneName, incarnation: `${instance}-first`, host: '127.0.0.1', port, security: {type: 'plaintext'}, seeds, beliefs, logger: quiet,
		onKept: () => undefined,
		onLoad(event) {
			events.push(event);
		},
		onView: () => undefined,
		knowsEndpoints: () => false,
	});
	return {peers, events, beliefs};
}

async function until(holds: () => boolean): Promise<void> {
	while (!holds()) {
		await new Promise(resolve => {
			setTimeout(resolve, 10);
		});
	}
}

// An instance is killed while prompts that it sent wait to be read. Nobody tells of their end any more.
// Counted on for two minutes, they made endpoints look full that were idle, and callers of all other
// instances were refused or waited; they have to go with the connection.
tap.test('what a lost instance had placed no longer counts', async t => {
	const port = 21_700 + (process.pid % 1000);
	const stays = await createPeers('stays', {port, seeds: []});
	const dies = await createPeers('dies', {port: port + 1000, seeds: [`127.0.0.1:${port}`]});
	const book = LoadBook.create();
	await until(() => dies.peers.count === 1);
	dies.peers.tellLoad({type: 'placed', run: {id: 'dies-first/1', owner: 'dies-first', endpoint: 'e', service: 'models', unreadTokens: 9000, isTight: true, parts: [{id: 1, tokens: 9000}]}});
	await until(() => stays.events.length === 1);
	book.step(stays.events[0]!, 0);
	t.match(book.load('e', 0), {running: 1, tightRuns: 1});
	await dies.peers[Symbol.asyncDispose]();
	await until(() => stays.events.length > 1);
	for (const event of stays.events.slice(1)) {
		book.step(event, 10);
	}

	t.match(book.load('e', 10), {running: 0, tightRuns: 0, backlogMilliseconds: 0});
	await stays.peers[Symbol.asyncDispose]();
});

function table(version: number): RoutingTableInput {
	const routes = Array.from({length: 60}, (_, index) => ({
		name: `route-${index}`, host: 'studio.example', pathPrefix: `/route-${index}/`, kind: 'safe' as const, resumable: false, shares: [{service: 'orders', weight: 1}],
		timeoutMilliseconds: 1000, targetMilliseconds: 100, urgency: 1, largestAttempts: 2, isPublic: true, longestPauseMilliseconds: undefined,
	}));
	return {version, routes, services: [{name: 'orders', largestConnections: 10, engine: undefined}], workspaces: undefined, limits: {headerBytes: 1, bodyBytes: 1, headerMilliseconds: 1, idleMilliseconds: 1}};
}

// The operator publishes ten times in a row, and the store tells every instance. Each of 26 sent each table
// to each other one besides: small links were full for seconds, new connections to endpoints came too
// late, and callers got failures from a fleet in good health. Told are versions; a table goes where it lacks.
tap.test('tables that the store brings are not sent to those that have them', async t => {
	const port = 24_700 + (process.pid % 1000);
	const one = await createPeers('one', {port, seeds: []});
	const connection = await dial(`127.0.0.1:${port}`, {type: 'plaintext'});
	connection.send({type: 'gateway-hello', protocol: protocolVersion, instance: 'two', incarnation: 'two-first', knowsEndpoints: true});
	await until(() => one.peers.count === 1);
	const before = connection.counts.receivedBytes;
	for (let version = 1; version <= 10; version++) {
		one.beliefs.offerTable(table(version), 'store');
	}

	await until(() => connection.counts.receivedMessages >= 12);
	t.ok(connection.counts.receivedBytes - before < 1000, `${connection.counts.receivedBytes - before} bytes for ten tables`);
	connection.close('the test ends');
	await one.peers[Symbol.asyncDispose]();
});

// The store refuses an instance while the operator publishes. It hears of the version from a peer and asks
// for the table; without that its callers would be served by the old one until the store is back.
tap.test('an instance that the store refuses gets the table from a peer', async t => {
	const port = 27_700 + (process.pid % 1000);
	const one = await createPeers('one', {port, seeds: []});
	const two = await createPeers('two', {port: port + 1000, seeds: [`127.0.0.1:${port}`]});
	await until(() => two.peers.count === 1);
	one.beliefs.offerTable(table(7), 'store');
	await until(() => two.beliefs.table?.version === 7);
	one.beliefs.offerTable(table(9), 'store');
	await until(() => two.beliefs.table?.version === 9);
	t.pass();
	await two.peers[Symbol.asyncDispose]();
	await one.peers[Symbol.asyncDispose]();
});
