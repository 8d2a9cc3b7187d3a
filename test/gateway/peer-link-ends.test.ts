import tap, {type Test} from 'tap';
import {dial, type GatewayMessage, protocolVersion} from '../../src/wire/index.js';
import {plannedState} from './planned-play.js';
import {eventually, freePort, Testbed} from './testbed.js';

const security = {type: 'plaintext'} as const;
const deadlineMilliseconds = 12_000;
/** How long the stream and the order last; longer where the silence of a peer is awaited, which takes up to 4 s. */
const workMilliseconds = {usual: 2500, silence: 4500};
const gapMilliseconds = 50;

type Play = {readonly testbed: Testbed; readonly peerAddress: string};
type News = (play: Play) => Promise<void>;

function hello(incarnation: string): GatewayMessage {
	return {type: 'gateway-hello', protocol: protocolVersion, instance: 'other', incarnation, knowsEndpoints: true};
}

/** Connects as a peer, and waits until the instance counts it. */
async function connect({testbed, peerAddress}: Play, incarnation: string): ReturnType<typeof dial> {
	const connection = await dial(peerAddress, security);
	connection.send(hello(incarnation));
	await eventually(() => testbed.logLines.some(({msg, incarnation: logged}) => msg === 'Peers: Peer connected.' && logged === incarnation) || !connection.isOpen);
	return connection;
}

function isLost({testbed}: Play): boolean {
	return testbed.logLines.some(({msg}) => msg === 'Peers: Peer lost.');
}

/** Runs a stream and an order while a peer's link ends: both must be answered whole, by one attempt each. */
async function assertGoOn(t: Test, news: News, lastingMilliseconds = workMilliseconds.usual): Promise<void> {
	await using testbed = await Testbed.create({workersEach: 1});
	testbed.respondWith('models', () => ({type: 'events', count: lastingMilliseconds / gapMilliseconds, gapMilliseconds}));
	testbed.respondWith('orders', () => ({type: 'whole', body: 'done', afterMilliseconds: lastingMilliseconds}));
	const routes = (plannedState(2).routes as Array<Record<string, unknown>>).map(route => ({...route, timeoutMs: 20_000}));
	testbed.store.put('keyed.op', 'config', plannedState(2, {routes}));
	const peerAddress = `127.0.0.1:${await freePort()}`;
	const {routingState} = await testbed.startGateway({peerAddress});
	await eventually(() => routingState.table?.version === 2);
	const play = {testbed, peerAddress};
	const headers = {'deadline-ms': String(deadlineMilliseconds)};
	const sent = [testbed.send({path: '/question/1', method: 'POST', id: 'question', body: 'draw', headers}), testbed.send({path: '/release/1', method: 'POST', id: 'release', body: 'draw', headers})];
	await eventually(() => ['question', 'release'].every(id => testbed.attemptCount(id) === 1));
	let areOver = false;
	const answered = Promise.all(sent).then(answers => {
		areOver = true;
		return answers;
	});
	await news(play);
	if (areOver) {
		t.comment('The requests were over before the news.');
	}

	const answers = await answered;
	t.same(answers.map(({status, isComplete}) => [status, isComplete]), [[200, true], [200, true]]);
	t.same(['question', 'release'].map(id => testbed.attemptCount(id)), [1, 1]);
}

// Guards against requests that end with a link to another instance: nothing that it told of decides about them.
const ways: Readonly<Record<string, News>> = {
	async 'closes its link'(play) {
		const connection = await connect(play, 'first');
		connection.close('the test ends it');
		await eventually(() => isLost(play));
	},
	async 'is replaced by its next incarnation'(play) {
		const before = await connect(play, 'first');
		const after = await connect(play, 'second');
		await eventually(() => !before.isOpen);
		after.close('the test ends it');
	},
	async 'sends load that is none'(play) {
		const connection = await connect(play, 'first');
		connection.send({type: 'load', rows: [['x', {}, -1], []]});
		await eventually(() => isLost(play));
	},
	async 'sends what is no message of a peer'(play) {
		const connection = await connect(play, 'first');
		connection.send({type: 'credit', stream: 1, request: 'question', events: 1});
		await eventually(() => isLost(play));
	},
	async 'stops'(play) {
		const [gateway] = play.testbed.gateways;
		const other = await play.testbed.startGateway({seedHosts: ['127.0.0.1']});
		await eventually(() => play.testbed.logLines.some(({msg}) => msg === 'Peers: Peer connected.') && gateway!.gateway.isReady);
		await other[Symbol.asyncDispose]();
		play.testbed.gateways.pop();
		await eventually(() => isLost(play));
	},
};

for (const [name, news] of Object.entries(ways)) {
	tap.test(`requests go on when a peer ${name}`, async t => {
		await assertGoOn(t, news);
	});
}

tap.test('requests go on when a peer falls silent', async t => {
	await assertGoOn(t, async play => {
		await connect(play, 'first');
		await eventually(() => isLost(play));
	}, workMilliseconds.silence);
});
