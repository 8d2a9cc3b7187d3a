import tap, {type Test} from 'tap';
import {until} from '../../bench/harness/local-fleet.js';
import {FakeLog} from '../../fakes/index.js';
import {type EngineControl} from '../../src/endpoint/index.js';
import {HttpLogClient, QuarantineLedger} from '../../src/platform/index.js';
import {EndpointWatch} from '../../src/side/index.js';
import {type EntryPlay, ending, SidePlay, token} from './side-play.js';

/** Runs a stream at a side, brings the news, and lets the engine go on: the stream must arrive whole. */
async function assertGoesOn(t: Test, news: (play: SidePlay, entry: EntryPlay) => Promise<void>, ledger?: QuarantineLedger): Promise<void> {
	let finish: (() => void) | undefined;
	await using play = await SidePlay.create((request, response) => {
		response.write(token(request, 0));
		if (request === 'breaks') {
			setTimeout(() => {
				response.destroy();
			}, 50);
		}

		if (request === 'sound') {
			finish = () => {
				response.end(token(request, 1) + ending(request, 2));
			};
		}
	}, ledger && {ledger, isHealthy: async () => false});
	const entry = await play.connect();
	entry.reserve('sound');
	await until(() => entry.framesOf('sound', 'chunk').length === 1);
	await news(play, entry);
	finish!();
	await until(() => entry.framesOf('sound', 'end').length === 1 || entry.framesOf('sound', 'fail').length > 0 || !entry.connection.isOpen);
	t.match(entry.framesOf('sound', 'end'), [{count: 2}]);
	t.equal(play.side.counts.whole, 1);
}

function controlOf(isHealthy: boolean): EngineControl {
	return {
		isHealthy: async () => isHealthy,
		load: async () => undefined,
		async [Symbol.asyncDispose]() {
			// Nothing is open.
		},
	} as unknown as EngineControl;
}

async function createLedger(): Promise<{ledger: QuarantineLedger; parts: AsyncDisposable[]}> {
	const log = await FakeLog.create();
	const ledger = QuarantineLedger.create({log: HttpLogClient.create({baseUrl: log.url, timeoutMilliseconds: 2000})});
	return {ledger, parts: [ledger, log]};
}

// Guards against streams that end because a health check fails, although the engine goes on sending.
tap.test('a stream goes on while the health checks of its engine fail', async t => {
	await assertGoesOn(t, async (play, entry) => {
		await using _watch = EndpointWatch.create(controlOf(false), play.side);
		await until(() => play.side.phase === 'down');
		await until(() => entry.received.some(message => message.type === 'state' && message.phase === 'down'));
		entry.reserve('new');
		await until(() => entry.framesOf('new', 'refuse').length === 1);
	});
});

// Guards against streams that end because another one broke off and the engine counts as crashed.
tap.test('a stream goes on when another one breaks off and its engine counts as crashed', async t => {
	const {ledger, parts} = await createLedger();
	await assertGoesOn(t, async (play, entry) => {
		entry.reserve('breaks');
		await until(() => entry.framesOf('breaks', 'fail').length === 1);
		t.equal(play.side.phase, 'down');
		t.equal(ledger.evaluate('sound').suspicion, 'suspect', 'it was there at the crash');
	}, ledger);
	for (const part of parts) {
		await part[Symbol.asyncDispose]();
	}
});

// Guards against streams that end because their request is named in records of crashes elsewhere.
tap.test('a stream goes on when its request is quarantined', async t => {
	const {ledger, parts} = await createLedger();
	await assertGoesOn(t, async (_play, entry) => {
		entry.connection.send({type: 'quarantine', records: ['one', 'other'].map(endpoint => ({type: 'crashed' as const, crash: endpoint, endpoint, fingerprints: ['sound'], time: Date.now()}))});
		await until(() => ledger.evaluate('sound').suspicion === 'quarantined');
	}, ledger);
	for (const part of parts) {
		await part[Symbol.asyncDispose]();
	}
});

// Guards against streams that end because the engine's list of models changes: what has begun is not for the list.
tap.test('a stream goes on when its side announces other models', async t => {
	await assertGoesOn(t, async (play, entry) => {
		play.side.setTargets([]);
		await until(() => entry.received.some(message => message.type === 'hello' && message.targets?.length === 0));
	});
});

// Guards against streams that end because their entry, or another one, has a newer connection, or another connection ends.
tap.test('a stream goes on when other connections of the same entry begin and end', async t => {
	await assertGoesOn(t, async play => {
		const other = await play.connect();
		other.reserve('other');
		await until(() => other.framesOf('other', 'chunk').length === 1 && play.side.status().peers === 2);
		other.connection.close('the test ends it');
		await until(() => play.side.status().peers === 1 && play.side.counts.cancelled === 1);
	});
});

// Guards against streams that end when a stop begins.
tap.test('a stream goes on while its side drains', async t => {
	await assertGoesOn(t, async (play, entry) => {
		void play.side.drain();
		entry.reserve('new');
		await until(() => entry.framesOf('new', 'refuse').length === 1);
	});
});
