import tap, {type Test} from 'tap';
import {type Body, channel, type Channel, receive, spawn, tryReceive} from '../../src/concurrency/index.js';
import {type RequestId} from '../../src/model/index.js';
import {inboxCapacity, type RequestEvent} from '../../src/entry/request-event.js';
import {SideLink, type SideLinkOwner} from '../../src/entry/side-link.js';
import {type Connection, dial, Listener, type Message} from '../../src/wire/index.js';
import {until} from '../../bench/harness/local-fleet.js';

const security = {type: 'plaintext'} as const;
const owner: SideLinkOwner = {
	sideUpdated: () => undefined, sideLost: () => undefined, peerMessageReceived: () => undefined, quarantineReceived: () => undefined,
};

type Play = {readonly link: SideLink; readonly side: Connection; readonly received: Message[]; readonly sound: Channel<RequestEvent>; readonly faulty: Channel<RequestEvent>};

/** A link with a sound and a faulty request, on streams 1 and 2, to a side that the test plays. */
async function play(use: (play: Play) => Promise<void>): Promise<void> {
	let side: Connection | undefined;
	await using listener = await Listener.create({host: '127.0.0.1', port: 0, security, onConnection(connection) {
		side = connection;
	}});
	await using connection = await dial(listener.address, security);
	const link = SideLink.create(connection);
	void spawn('side link', () => link.read(owner));
	const sound = channel<RequestEvent>(inboxCapacity);
	const faulty = channel<RequestEvent>(inboxCapacity);
	link.openStream('sound' as RequestId, sound);
	link.openStream('faulty' as RequestId, faulty);
	await until(() => side !== undefined);
	const received: Message[] = [];
	void spawn('side play', () => readInto(side!, received));
	await use({link, side: side!, received, sound, faulty});
	side!.close('the test ends');
}

function * readInto({incoming}: Connection, received: Message[]): Body<void> {
	for (let messages = yield * receive(incoming); messages !== undefined; messages = yield * receive(incoming)) {
		received.push(...messages);
	}
}

function taken(inbox: Channel<RequestEvent>): RequestEvent[] {
	const events: RequestEvent[] = [];
	for (let event = tryReceive(inbox); event !== undefined; event = tryReceive(inbox)) {
		events.push(event);
	}

	return events;
}

async function assertSoundGoesOn(t: Test, {link, side, sound}: Play): Promise<void> {
	side.send({type: 'chunk', stream: 1, request: 'sound', index: 0, events: ['a']});
	const events: RequestEvent[] = [];
	await until(() => {
		events.push(...taken(sound));
		return events.length > 0;
	});
	t.match(events, [{type: 'frame', message: {type: 'chunk'}}]);
	t.ok(link.isOpen);
}

// One frame with another request's id ended all requests on the connection.
tap.test('a frame with the id of another request ends only the request of its stream', async t => {
	await play(async current => {
		const {side, faulty, received, link} = current;
		side.send({type: 'chunk', stream: 2, request: 'another', index: 0, events: ['not its own']});
		await until(() => received.some(message => message.type === 'withdraw' && message.request === 'faulty'));
		t.match(taken(faulty), [{type: 'frame', message: {type: 'fail', kind: 'bad_answer', verdict: 'may-have-run'}}], 'the frame is not delivered');
		side.send({type: 'chunk', stream: 2, request: 'faulty', index: 0, events: ['late']});
		await assertSoundGoesOn(t, current);
		t.same(taken(faulty), []);
		t.equal(link.foreignFrames, 1);
	});
});

// More frames for one request than its caller has room for ended all requests on the connection.
tap.test('a request whose side sends more than its credit ends alone', async t => {
	await play(async current => {
		const {side, faulty, received} = current;
		for (let index = 0; index < inboxCapacity + 100; index++) {
			side.send({type: 'chunk', stream: 2, request: 'faulty', index, events: ['x']});
		}

		await until(() => received.some(message => message.type === 'withdraw' && message.request === 'faulty'));
		await assertSoundGoesOn(t, current);
		const events: RequestEvent[] = [];
		await until(() => {
			events.push(...taken(faulty));
			return events.some(event => event.type === 'frame' && event.message.type === 'fail');
		});
		t.equal(events.length, inboxCapacity + 1, 'what had room is delivered, then the end');
	});
});

// A request that had ended with an error left its stream open, and the next frame for it ended all requests on the connection.
tap.test('a frame for a request that has ended ends no other one', async t => {
	await play(async current => {
		const {side, faulty, received} = current;
		faulty.close();
		side.send({type: 'chunk', stream: 2, request: 'faulty', index: 0, events: ['x']});
		await until(() => received.some(message => message.type === 'withdraw' && message.request === 'faulty'));
		await assertSoundGoesOn(t, current);
	});
});
