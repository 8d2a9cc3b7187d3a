import process from 'node:process';
import tap from 'tap';
import {type ZoneName} from '../../src/model/index.js';
import {RoutingState, initialMessages, PeerRoster, Peers} from '../../src/gateway/index.js';
import {type RoutingTableInput} from '../../src/routing/index.js';
import {dial, protocolVersion} from '../../src/wire/index.js';
import {LoadTracker, type LoadEvent} from '../../src/policy/dispatch/index.js';

const quiet = {debug: () => undefined, info: () => undefined, warn: () => undefined, error: () => undefined};

type Made = {readonly peers: Peers; readonly events: LoadEvent[]; readonly beliefs: RoutingState};

async function createPeers(instance: string, {port, seeds}: {port: number; seeds: readonly string[]}): Promise<Made> {
	const events: LoadEvent[] = [];
	const beliefs = RoutingState.create(quiet);
	const peers = await Peers.create({
		instance, zone: 'zone-a' as ZoneName, incarnation: `${instance}-first`, host: '127.0.0.1', port, security: {type: 'plaintext'}, seeds, routingState: beliefs, logger: quiet,
		onPromptCache: () => undefined, onStaleTable: () => undefined,
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
	const book = LoadTracker.create();
	await until(() => dies.peers.count === 1);
	dies.peers.broadcastLoad({type: 'placed', run: {id: 'dies-first/1', owner: 'dies-first', endpoint: 'e', service: 'models', prefillTokens: 9000, isLatencyCritical: true, parts: [{id: 1, tokens: 9000}]}});
	await until(() => stays.events.length === 1);
	book.step(stays.events[0]!, 0);
	t.match(book.load('e', 0), {running: 1, latencyCriticalRuns: 1});
	await dies.peers[Symbol.asyncDispose]();
	await until(() => stays.events.length > 1);
	for (const event of stays.events.slice(1)) {
		book.step(event, 10);
	}

	t.match(book.load('e', 10), {running: 0, latencyCriticalRuns: 0, backlogMilliseconds: 0});
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
		one.beliefs.applyTable(table(version), 'store');
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
	one.beliefs.applyTable(table(7), 'store');
	await until(() => two.beliefs.table?.version === 7);
	one.beliefs.applyTable(table(9), 'store');
	await until(() => two.beliefs.table?.version === 9);
	t.pass();
	await two.peers[Symbol.asyncDispose]();
	await one.peers[Symbol.asyncDispose]();
});

// Guards against two instances that dial each other at one moment and end both connections.
tap.test('two that dial each other stay linked, by one connection', async t => {
	const port = 30_700 + (process.pid % 1000);
	const [one, two] = await Promise.all([createPeers('one', {port, seeds: [`127.0.0.1:${port + 1000}`]}), createPeers('two', {port: port + 1000, seeds: [`127.0.0.1:${port}`]})]);
	await until(() => one.peers.count === 1 && two.peers.count === 1);
	await new Promise(resolve => {
		setTimeout(resolve, 1500);
	});
	t.equal(one.peers.count, 1);
	t.equal(two.peers.count, 1);
	one.peers.broadcastLoad({type: 'ended', id: 'one-first/1'});
	two.peers.broadcastLoad({type: 'ended', id: 'two-first/1'});
	await until(() => one.events.some(({type}) => type === 'ended') && two.events.some(({type}) => type === 'ended'));
	t.notOk([...one.events, ...two.events].some(({type}) => type === 'owner-lost'), 'nobody takes the other for lost');
	await one.peers[Symbol.asyncDispose]();
	await two.peers[Symbol.asyncDispose]();
});

// Guards against load of a peer's earlier incarnation that counts on because the peer was back before its silence showed.
tap.test('what a peer had placed is forgotten when it has started anew', async t => {
	const port = 33_700 + (process.pid % 1000);
	const one = await createPeers('one', {port, seeds: []});
	const before = await dial(`127.0.0.1:${port}`, {type: 'plaintext'});
	before.send({type: 'gateway-hello', protocol: protocolVersion, instance: 'two', incarnation: 'two-first', knowsEndpoints: true});
	await until(() => one.peers.count === 1);
	const after = await dial(`127.0.0.1:${port}`, {type: 'plaintext'});
	after.send({type: 'gateway-hello', protocol: protocolVersion, instance: 'two', incarnation: 'two-second', knowsEndpoints: true});
	await until(() => one.events.some(event => event.type === 'owner-lost' && event.owner === 'two-first'));
	t.equal(one.peers.count, 1);
	after.close('the test ends');
	before.close('the test ends');
	await one.peers[Symbol.asyncDispose]();
});

// Guards against lists of endpoints that say what the peer has just read itself, while callers come back.
tap.test('who has read the endpoints lately is told only what has ended since', async t => {
	const beliefs = RoutingState.create(quiet);
	const record = (id: string, isLeaving: boolean) => ({id, service: 's', address: '1.2.3.4:5', zone: 'z' as ZoneName, slots: 1, isLeaving, revision: 1});
	beliefs.applyEndpointChanges([{type: 'registered', era: 1, offset: 1, record: record('stays', false)}, {type: 'registered', era: 1, offset: 2, record: record('leaves', true)}], 'store', 0);
	const told = (knowsEndpoints: boolean, now: number): string[] => initialMessages(beliefs, {knowsEndpoints, now}).flatMap(message => message.type === 'endpoints' ? message.changes.map(change => change.type === 'registered' ? change.record.id : change.id) : []);
	t.same(told(false, 10), ['stays', 'leaves']);
	t.same(told(true, 10), ['leaves']);
	t.same(told(true, 60_000), []);
});

tap.test('an instance dials its neighbours, those that were there before it, and stands in for who is gone', async t => {
	const own = {name: 'm', zone: 'zone-a' as ZoneName};
	const roster = PeerRoster.create(own);
	const peer = (instance: string) => ({instance, address: `${instance}:1`, zone: own.zone});
	roster.addPeers([peer('a')], true);
	roster.addPeers([peer('b'), peer('z')], false);
	t.same(roster.addressesToDial(new Set(), [], 0).toSorted(), ['a:1', 'z:1'], 'the smaller name dials, but who comes later dials who was there');
	t.same(roster.addressesToDial(new Set(['a', 'z']), ['seed:1'], 0), [], 'seeds only while nobody is linked');
	for (let now = 0, tries = 0; tries < 6; tries++) {
		now += roster.recordDial('z:1', now);
	}

	t.equal(roster.reachableCount, 2, 'z is taken for gone');
	t.same(roster.addressesToDial(new Set(['a']), [], 1e6), ['z:1'], 'and tried again all the same');
	roster.recordConnected('z:1');
	t.equal(roster.reachableCount, 3);
	roster.removePeer('z');
	t.same(roster.instanceNames, ['a', 'b']);
});
