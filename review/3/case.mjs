/* eslint-disable no-await-in-loop -- steps of a case follow one another */
/** For some seconds, workers break off a few of their streams in the middle, and fail a part of their requests with a status of their own. */
import {fileURLToPath} from 'node:url';
import {FakePlatformWorker} from '../../dist/fakes/platform-worker.js';
import {
	hasTrouble, isInSpan, runCase, sleep, verdictOf, World,
} from '../stand-ins/world.mjs';

const workers = 13;
const seconds = 60;
const perSecond = 130;
/** The other service is not disturbed; its figures are those of the sheet in large/. */
const orderWorkers = 5;
const orderMilliseconds = 71;
const ordersPerSecond = 128;
const events = 7;
/** `garble`, `unframed`: x of the answers of a share of the workers, for 5 s; `srv_grey`, `errors all`: x of all requests, for 4 s of these. Both come each 6 s. */
const garble = {
	workers: 6, share: 0.05, everySeconds: 6, lastSeconds: 5,
};
const grey = {share: 0.45, everySeconds: 6, lastSeconds: 4};
const statusUnknown = 404;

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
	const isIn = span => isInSpan(troubledAt, span);
	for (let number = 1; number <= workers; number++) {
		const worker = await FakePlatformWorker.create(`i-${number}`, 'modellhof');
		const isGarbling = number > workers - garble.workers;
		worker.answer = () => {
			if (isIn(grey) && Math.random() < grey.share) {
				return {type: 'whole', status: statusUnknown, body: 'not known here'};
			}

			return {
				type: 'events', count: events, firstAfterMilliseconds: 150, gapMilliseconds: 30, ...(isGarbling && isIn(garble) && Math.random() < garble.share && {cutAfter: 4, isUnframed: true}),
			};
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
