import {setTimeout as delay} from 'node:timers/promises';
import tap from 'tap';
import {type Catalogue} from '../../src/catalogue/index.js';
import {spawn, type Body} from '../../src/concurrency/index.js';
import {Limiter} from '../../src/entry/limits/index.js';
import {rankByRendezvous} from '../../src/policy/hashing/index.js';
import {change, fold, put, sampleClass, sampleWorkspace, stream} from '../catalogue/sample.js';

const limits = {concurrency: 8};
const chartClass = {...sampleClass('andino', 'chart'), limits};

function createCatalogue(): Catalogue {
	return fold(stream(change(put(sampleWorkspace('andino')[0]!), put(chartClass))));
}

async function createLimiters(count: number) {
	const catalogue = createCatalogue();
	const entries = new Map<string, string>();
	const limiters: Limiter[] = [];
	for (let index = 0; index < count; index++) {
		const instance = `entry-${index}`;
		const limiter = await Limiter.create({
			instance, host: '127.0.0.1', port: 0, security: {type: 'plaintext'}, entries: () => entries, catalogue: () => catalogue,
		});
		entries.set(instance, limiter.address);
		limiters.push(limiter);
	}

	return {limiters, entries};
}

function * admitUntilRefused(limiter: Limiter): Body<number> {
	for (let count = 0; ; count++) {
		const decision = yield * limiter.admit('andino/chart', limits, 1);
		if (decision.type !== 'admitted') {
			return count;
		}
	}
}

async function admitAll(limiter: Limiter): Promise<number> {
	return spawn('admit', () => admitUntilRefused(limiter));
}

async function dispose(limiters: readonly Limiter[]): Promise<void> {
	await Promise.all(limiters.map(async limiter => limiter[Symbol.asyncDispose]()));
}

tap.test('an entry that gets all the traffic of a class is leased the full limit, and no more', async t => {
	// All requests of one class arrive at one of four entries. At first it admits its even share of two and
	// refuses the rest; each report tells the allocator what was refused, and the share grows to all eight.
	const {limiters} = await createLimiters(4);
	let running = 0;
	for (let attempt = 0; attempt < 200 && running < 8; attempt++) {
		running += await admitAll(limiters[0]!);
		await delay(50);
	}

	t.equal(running, 8);
	await delay(1200);
	for (const limiter of limiters) {
		t.equal(await admitAll(limiter), 0, 'running requests keep their share, also from entries that the class reaches later');
	}

	limiters[0]!.finish('andino/chart');
	for (let attempt = 0; attempt < 200 && running < 9; attempt++) {
		running += await admitAll(limiters[0]!);
		await delay(50);
	}

	t.equal(running, 9);
	await dispose(limiters);
});

tap.test('an entry that cannot reach the allocator uses its even share', async t => {
	// The addresses of all other entries are unreachable, as after the loss of an availability zone that is not in
	// the membership list yet. The entry admits a quarter of the limit instead of refusing all requests.
	const {limiters, entries} = await createLimiters(1);
	const others = Array.from({length: 20}, (_, index) => `entry-${index + 1}`);
	const allocator = others.find(name => rankByRendezvous('andino/chart', [name, 'entry-0'])[0] === name)!;
	for (const name of [allocator, ...others.filter(other => other !== allocator)].slice(0, 3)) {
		entries.set(name, '127.0.0.1:1');
	}

	t.not(rankByRendezvous('andino/chart', entries.keys())[0], 'entry-0', 'another entry is the allocator');
	t.equal(await admitAll(limiters[0]!), 2);
	await dispose(limiters);
});
