import {once} from 'node:events';
import net from 'node:net';
import tap from 'tap';
import {splitAddress, type ZoneName} from '../../src/model/index.js';
import {RoutingState, initialMessages, noCrashNews, PeerRoster, Peers} from '../../src/gateway/index.js';
import {type RoutingTableInput} from '../../src/routing/index.js';
import {dial, encodeFrame, FrameDecoder, protocolVersion} from '../../src/wire/index.js';
import {takes} from '../../src/gateway/peers/peer-link.js';
import {type ClassStatement, LoadTracker, type LoadEvent} from '../../src/policy/dispatch/index.js';

const silentLogger = {debug: () => undefined, info: () => undefined, warn: () => undefined, error: () => undefined};

type TestInstance = {readonly peers: Peers; readonly events: LoadEvent[]; readonly routingState: RoutingState};

async function createPeers(instance: string, seeds: readonly string[] = []): Promise<TestInstance> {
	const events: LoadEvent[] = [];
	const routingState = RoutingState.create(silentLogger);
	const peers = await Peers.create({
		instance, zone: 'zone-a' as ZoneName, incarnation: `${instance}-first`, host: '127.0.0.1', port: 0, security: {type: 'plaintext'}, seeds, routingState, logger: silentLogger,
		onPromptCache: () => undefined, onRateLimitReport: () => undefined, onSharesWanted: () => [], onSharesLent: () => undefined, onLenderLost: () => undefined, onCrashNews: () => undefined, crashNews: () => noCrashNews, knowsCrashes: () => false, onStreamOrigins: () => undefined, holderAnnouncement: () => undefined, onHolderAnnouncement: () => undefined, onStaleTable: () => undefined,
		onLoad(event) {
			events.push(event);
		},
		onView: () => undefined,
		knowsEndpoints: () => false,
	});
	return {peers, events, routingState};
}

/** Several times what the kernel's buffers of a connection hold. */
const floodBytes = 48 * 1024 * 1024;

async function waitUntil(holds: () => boolean): Promise<void> {
	while (!holds()) {
		await new Promise(resolve => {
			setTimeout(resolve, 10);
		});
	}
}

// An instance is killed while prompts that it sent wait for prefill, so no report of their end follows. Counted for another two
// minutes, they made idle endpoints look full, and requests at all other instances were refused or waited. They must be removed
// when the connection ends.
tap.test('runs that a lost instance had placed no longer count', async t => {
	const survivor = await createPeers('stays');
	const lost = await createPeers('dies', [survivor.peers.address]);
	const loadTracker = LoadTracker.create();
	await waitUntil(() => lost.peers.count === 1);
	lost.peers.broadcastLoad({
		type: 'placed',
		run: {id: 'dies-first/1', owner: 'dies-first', endpoint: 'e', service: 'models', prefillTokens: 9000, outputTokens: 0, isLatencyCritical: true, parts: [{id: 1, tokens: 9000}]},
	});
	await waitUntil(() => survivor.events.length === 1);
	loadTracker.step(survivor.events[0]!, 0);
	t.match(loadTracker.load('e', 0), {running: 1, latencyCriticalRuns: 1});
	await lost.peers[Symbol.asyncDispose]();
	await waitUntil(() => survivor.events.length > 1);
	for (const event of survivor.events.slice(1)) {
		loadTracker.step(event, 10);
	}

	t.match(loadTracker.load('e', 10), {running: 0, latencyCriticalRuns: 0, backlogMilliseconds: 0});
	await survivor.peers[Symbol.asyncDispose]();
});

function table(version: number): RoutingTableInput {
	const routes = Array.from({length: 60}, (_, index) => ({
		name: `route-${index}`, host: 'studio.example', pathPrefix: `/route-${index}/`, kind: 'safe' as const, resumable: false, shares: [{service: 'orders', weight: 1}],
		timeoutMilliseconds: 1000, targetMilliseconds: 100, urgency: 1, largestAttempts: 2, isPublic: true, longestPauseMilliseconds: undefined,
	}));
	return {
		version, routes, services: [{name: 'orders', largestConnections: 10, engine: undefined}], workspaces: undefined,
		limits: {headerBytes: 1, bodyBytes: 1, headerMilliseconds: 1, idleMilliseconds: 1},
	};
}

// The operator publishes ten times in a row, and every instance reads each table from the store. When each of 26 instances also sent
// each table to every other one, small links were saturated for seconds, new connections to endpoints came too late, and callers got
// errors from a healthy fleet. Instances announce versions, and send a table only to a peer that lacks it.
tap.test('a table from the store is not sent to peers that have it', async t => {
	const one = await createPeers('one');
	const connection = await dial(one.peers.address, {type: 'plaintext'});
	connection.send({type: 'gateway-hello', protocol: protocolVersion, instance: 'two', incarnation: 'two-first', knowsEndpoints: true});
	await waitUntil(() => one.peers.count === 1);
	const before = connection.counts.receivedBytes;
	for (let version = 1; version <= 10; version++) {
		one.routingState.applyTable(table(version), 'store');
	}

	await waitUntil(() => connection.counts.receivedMessages >= 12);
	t.ok(connection.counts.receivedBytes - before < 1000, `${connection.counts.receivedBytes - before} bytes for ten tables`);
	connection.close('the test ends');
	await one.peers[Symbol.asyncDispose]();
});

// An instance of an older build closes the link over a message that it does not know.
tap.test('classes of engines are told to peers whose build takes them', async t => {
	const one = await createPeers('one');
	const two = await createPeers('two', [one.peers.address]);
	await waitUntil(() => one.peers.count === 1);
	const statement: ClassStatement = {teller: 'one-first', service: 'models', engines: [{endpoint: 'e', engineClass: 'fast', relativeSpeed: 1.23}, {endpoint: 'f', engineClass: 'slow', relativeSpeed: 0.6}]};
	one.peers.broadcastLoad({type: 'classes', statement});
	await waitUntil(() => two.events.length > 0);
	t.same(two.events[0], {type: 'classes', statement});
	t.notOk(takes({takesClasses: false}, {type: 'engine-classes', service: 'models', engines: []}));
	await one.peers[Symbol.asyncDispose]();
	await two.peers[Symbol.asyncDispose]();
});

// Links of small instances were full of news of crashes, and a table that was in force elsewhere was told and sent to them many seconds late.
tap.test('the version of a new table does not wait behind crash news that its link cannot carry', async t => {
	const one = await createPeers('one');
	const socket = net.connect(splitAddress(one.peers.address));
	await once(socket, 'connect');
	socket.write(encodeFrame({type: 'gateway-hello', protocol: protocolVersion, instance: 'two', incarnation: 'two-first', knowsEndpoints: true}));
	await waitUntil(() => one.peers.count === 1);
	socket.pause();
	const news = {type: 'request-crashes' as const, records: [], pending: [], runs: Array.from({length: 500}, (_, index) => ({fingerprint: `${index}`.repeat(10), instance: 'one', runs: index + 1})), now: 0};
	const newsBytes = encodeFrame(news).byteLength;
	const count = Math.ceil(floodBytes / newsBytes);
	for (let sent = 0; sent < count; sent++) {
		one.peers.announce(news);
		if (sent % 20 === 0) {
			await new Promise(resolve => {
				setImmediate(resolve);
			});
		}
	}

	one.routingState.applyTable(table(2), 'store');
	const decoder = FrameDecoder.create();
	let before = 0;
	let isTold = false;
	socket.on('data', (bytes: Uint8Array) => {
		const messages = decoder.push(bytes);
		isTold ||= messages.some(({type}) => type === 'routing-version');
		before += isTold ? 0 : bytes.byteLength;
	});
	socket.resume();
	await waitUntil(() => isTold);
	t.ok(before < floodBytes / 2, `${before} of ${floodBytes} bytes came before it`);
	socket.destroy();
	await one.peers[Symbol.asyncDispose]();
});

// The store refuses an instance while the operator publishes. The instance receives the version from a peer and requests the table;
// without this it would use the old table until the store is available again.
tap.test('an instance that the store refuses gets the table from a peer', async t => {
	const one = await createPeers('one');
	const two = await createPeers('two', [one.peers.address]);
	await waitUntil(() => two.peers.count === 1);
	one.routingState.applyTable(table(7), 'store');
	await waitUntil(() => two.routingState.table?.version === 7);
	one.routingState.applyTable(table(9), 'store');
	await waitUntil(() => two.routingState.table?.version === 9);
	t.pass();
	await two.peers[Symbol.asyncDispose]();
	await one.peers[Symbol.asyncDispose]();
});

// Two instances that dial each other at the same moment must not close both connections.
tap.test('two instances that dial each other stay linked by one connection', async t => {
	const [one, two] = await Promise.all([createPeers('one'), createPeers('two')]);
	one.peers.addPeers([{instance: 'two', address: two.peers.address}], true);
	two.peers.addPeers([{instance: 'one', address: one.peers.address}], true);
	await waitUntil(() => one.peers.count === 1 && two.peers.count === 1);
	await new Promise(resolve => {
		setTimeout(resolve, 1500);
	});
	t.equal(one.peers.count, 1);
	t.equal(two.peers.count, 1);
	one.peers.broadcastLoad({type: 'ended', id: 'one-first/1'});
	two.peers.broadcastLoad({type: 'ended', id: 'two-first/1'});
	await waitUntil(() => one.events.some(({type}) => type === 'ended') && two.events.some(({type}) => type === 'ended'));
	t.notOk([...one.events, ...two.events].some(({type}) => type === 'owner-lost'), 'neither considers the other lost');
	await one.peers[Symbol.asyncDispose]();
	await two.peers[Symbol.asyncDispose]();
});

// Load of a peer's previous incarnation must not keep counting if the peer is back before its silence was detected.
tap.test('runs that a peer had placed are removed when it has restarted', async t => {
	const one = await createPeers('one');
	const before = await dial(one.peers.address, {type: 'plaintext'});
	before.send({type: 'gateway-hello', protocol: protocolVersion, instance: 'two', incarnation: 'two-first', knowsEndpoints: true});
	await waitUntil(() => one.peers.count === 1);
	const after = await dial(one.peers.address, {type: 'plaintext'});
	after.send({type: 'gateway-hello', protocol: protocolVersion, instance: 'two', incarnation: 'two-second', knowsEndpoints: true});
	await waitUntil(() => one.events.some(event => event.type === 'owner-lost' && event.owner === 'two-first'));
	t.equal(one.peers.count, 1);
	after.close('the test ends');
	before.close('the test ends');
	await one.peers[Symbol.asyncDispose]();
});

// Instances must not send endpoints that the peer has just read itself, at a time when callers reconnect.
tap.test('a peer that has read the endpoints recently receives only those that have ended since', async t => {
	const routingState = RoutingState.create(silentLogger);
	const record = (id: string, isLeaving: boolean) => ({id, service: 's', address: '1.2.3.4:5', zone: 'z' as ZoneName, slots: 1, isLeaving, revision: 1});
	routingState.applyEndpointChanges([{type: 'registered', era: 1, offset: 1, record: record('stays', false)}, {type: 'registered', era: 1, offset: 2, record: record('leaves', true)}], 'store', 0);
	const endpointIds = (knowsEndpoints: boolean, now: number): string[] => initialMessages(routingState, {knowsEndpoints, holderAnnouncement: undefined, crashes: noCrashNews, now})
		.flatMap(message => message.type === 'endpoints' ? message.changes.map(change => change.type === 'registered' ? change.record.id : change.id) : []);
	t.same(endpointIds(false, 10), ['stays', 'leaves']);
	t.same(endpointIds(true, 10), ['leaves']);
	t.same(endpointIds(true, 60_000), []);
});

tap.test('an instance dials neighbours that were there before it, and replaces instances that are gone', async t => {
	const own = {name: 'm', zone: 'zone-a' as ZoneName};
	const roster = PeerRoster.create(own);
	const peer = (instance: string) => ({instance, address: `${instance}:1`, zone: own.zone});
	roster.addPeers([peer('a')], true, 0);
	roster.addPeers([peer('b'), peer('z')], false, 0);
	t.same(roster.addressesToDial(new Set(), [], 0).toSorted(), ['a:1', 'z:1'], 'the smaller name dials, but a new instance dials those that were there');
	t.same(roster.addressesToDial(new Set(['a', 'z']), ['seed:1'], 0), [], 'seeds only while there is no link');
	for (let now = 0, tries = 0; tries < 6; tries++) {
		now += roster.recordDial('z:1', now);
	}

	t.equal(roster.reachableCount, 2, 'z is considered gone');
	t.same(roster.addressesToDial(new Set(['a']), [], 1e6), ['z:1'], 'and is still retried');
	roster.recordConnected('z:1');
	t.equal(roster.reachableCount, 3);
	roster.removePeer('z', 0);
	t.same(roster.instanceNames, ['a', 'b']);
});

// Guards against an instance that is cut off from its peers and takes the shares of all of them, and against a share that is left to an
// instance that is gone, or taken from one that is merely no longer a neighbour.
tap.test('an instance without a link counts as present for a time, and always if it is no neighbour', async t => {
	const roster = PeerRoster.create({name: 'a', zone: undefined});
	roster.addPeers([{instance: 'b', address: 'b:1'}, {instance: 'c', address: 'c:1'}], false, 0);
	t.same(roster.presentNames(0), ['b', 'c'], 'announced');
	roster.recordLinked('b', 0);
	roster.recordLost('b', 1000);
	t.same(roster.presentNames(20_000), ['b', 'c']);
	t.same(roster.presentNames(40_000), ['c']);
	roster.recordLinked('b', 40_000);
	t.same(roster.presentNames(40_000), ['b', 'c']);
	roster.removePeer('b', 50_000);
	roster.recordLost('b', 50_000);
	roster.addPeers([{instance: 'b', address: 'b:2'}], false, 50_000);
	t.same(roster.presentNames(90_000), ['c', 'b'], 'a lost link of an instance that had retracted its announcement says nothing');
	const large = PeerRoster.create({name: 'a', zone: undefined});
	large.addPeers(Array.from({length: 60}, (_, number) => ({instance: `i${number}`, address: `i${number}:1`})), false, 0);
	const stranger = Array.from({length: 60}, (_, number) => `i${number}`).find(name => !large.neighbours.linked.has(name))!;
	large.recordLost(stranger, 0);
	t.equal(large.presentNames(100_000).length, 60);
});

// Each of them counted itself alone and spent all of the slack that all instances have for retries.
tap.test('instances that are cut off from each other still share by the number of all of them', async t => {
	const shutdownMilliseconds = 10_000;
	const one = await createPeers('one');
	const two = await createPeers('two', [one.peers.address]);
	const sharing = ({peers}: TestInstance) => peers.roster.slackSharing(shutdownMilliseconds, performance.now());
	t.same(sharing(one), {type: 'unknown'}, 'before the announcements were read');
	one.peers.addPeers([{instance: 'three', address: '127.0.0.1:1'}], true);
	await waitUntil(() => one.peers.count === 1);
	t.same(sharing(one), {type: 'known', instances: 3}, 'one linked, one announced');
	one.peers.removePeer('one');
	t.same(sharing(one), {type: 'known', instances: 3}, 'its own record, withdrawn before it started again, is no other instance');
	await two.peers[Symbol.asyncDispose]();
	await waitUntil(() => one.peers.count === 0);
	t.same(sharing(one), {type: 'known', instances: 3});
	await one.peers[Symbol.asyncDispose]();
});
