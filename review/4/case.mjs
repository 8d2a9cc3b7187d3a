/* eslint-disable no-await-in-loop -- steps of a case follow one another */
/** Some workers hand out wrong bytes in a few of their streams: one bit of the id of a piece flips, and the answer is broken off there. */
import {fileURLToPath} from 'node:url';
import {FakePlatformWorker} from '../../dist/fakes/platform-worker.js';
import {StreamWorker} from '../stand-ins/stream-worker.mjs';
import {
	hasTrouble, isInSpan, runCase, sleep, verdictOf, World,
} from '../stand-ins/world.mjs';

const workers = 13;
const seconds = 46;
const perSecond = 130;
/** The other service is not disturbed; its figures are those of the sheet in large/. */
const orderWorkers = 5;
const orderMilliseconds = 71;
const ordersPerSecond = 128;
/** Within what the site names: x of the answers of a share of the workers, for 5 s, each 6 s. */
const garble = {
	workers: 7, share: 0.03, everySeconds: 6, lastSeconds: 5,
};
const spoiledPiece = 4;
/** Where the id stands in a piece: behind `id: `. */
const idPosition = 4;

await runCase(async () => {
	const world = await World.create({folder: fileURLToPath(new URL('.', import.meta.url)), machines: 4});
	world.publish({
		version: 1, services: [{name: 'modellhof', maxConnections: 170, engine: {slots: 16, kvCapacity: 477_378, stride: 7}}, {name: 'auftragsnetz', maxConnections: 100}],
		routes: [{
			name: 'garnkarte', host: 'review.example', pathPrefix: '/garnkarte/', kind: 'streaming', resumable: true, service: 'modellhof',
			timeoutMs: 2500, targetLatencyMs: 250, gapAimMs: 200, maxAttempts: 2, public: true, priority: 1,
		}, {
			name: 'freigabe-eilig', host: 'review.example', pathPrefix: '/freigabe/', kind: 'unsafe', service: 'auftragsnetz',
			timeoutMs: 1500, targetLatencyMs: 341, maxAttempts: 1, public: true, priority: 1,
		}],
	});
	let troubledAt = Infinity;
	for (let number = 1; number <= workers; number++) {
		const worker = await StreamWorker.create(`i-${number}`, 'modellhof');
		const isGarbling = number > workers - garble.workers;
		worker.spoil = (bytes, piece) => {
			if (!isInSpan(troubledAt, garble) || !isGarbling || piece !== spoiledPiece || Math.random() >= garble.share) {
				return false;
			}

			bytes[idPosition] ^= 1 << Math.floor(Math.random() * 8); // eslint-disable-line no-bitwise -- one bit flips
			return true;
		};

		world.register(worker);
	}

	for (let number = 1; number <= orderWorkers; number++) {
		const worker = await FakePlatformWorker.create(`i-order-${number}`, 'auftragsnetz');
		worker.answer = () => ({type: 'whole', body: 'done', afterMilliseconds: orderMilliseconds});
		world.register(worker, {slots: 6});
	}

	if (!await world.start()) {
		await world.end();
		return 2;
	}

	const chart = number => ({
		path: '/garnkarte/draft', deadline: 2500, kind: 'chart', headers: {Model: 'm', 'Token-Usage': '2368,21', 'Prefix-Hash': `a${number % 7}:568,b${number}:1800`},
	});
	const order = () => ({path: '/freigabe/auftrag', deadline: 1500, kind: 'order'});
	const send = async lasts => {
		const both = await Promise.all([world.caller.sendFor(lasts, perSecond, chart), world.caller.sendFor(lasts, ordersPerSecond, order)]);
		return both.flat();
	};

	const results = await send(3);
	troubledAt = hasTrouble ? performance.now() : Infinity;
	results.push(...await send(seconds));
	await sleep(500);
	world.caller.close();
	const verdict = verdictOf(world, results, {isSound: ({service}) => service === 'auftragsnetz'});
	await world.end();
	return verdict;
});
