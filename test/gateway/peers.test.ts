import process from 'node:process';
import tap from 'tap';
import {Beliefs, Peers} from '../../src/gateway/index.js';
import {LoadBook, type LoadEvent} from '../../src/policy/dispatch/index.js';

const quiet = {debug: () => undefined, info: () => undefined, warn: () => undefined, error: () => undefined};

type Made = {readonly peers: Peers; readonly events: LoadEvent[]};

async function createPeers(instance: string, {port, seeds}: {port: number; seeds: readonly string[]}): Promise<Made> {
	const events: LoadEvent[] = [];
	const peers = await Peers.create({
		instance, incarnation: `${instance}-first`, host: '127.0.0.1', port, security: {type: 'plaintext'}, seeds, beliefs: Beliefs.create(quiet), logger: quiet,
		onLoad(event) {
			events.push(event);
		},
		onCount: () => undefined,
	});
	return {peers, events};
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
