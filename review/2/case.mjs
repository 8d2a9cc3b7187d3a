/* eslint-disable no-await-in-loop -- steps of a case follow one another */
/** All machines lose power for a moment while the workers of a service are replaced by those of another software version. */
import {fileURLToPath} from 'node:url';
import {FakePlatformWorker} from '../../dist/fakes/platform-worker.js';
import {
	hasTrouble, runCase, sleep, World,
} from '../stand-ins/world.mjs';

const workers = 3;
const streams = 24;
const events = 40;
const gapMilliseconds = 100;
const darkMilliseconds = 1200;
/** From a stream's last event until its caller abandons the attempt: two seconds, as four aims and eight pauses are less. */
const patienceMilliseconds = 2000;
const deadlineMilliseconds = 10_000;
/** As the sheet says. */
const tries = 1;
const tryMilliseconds = 500;
/** More than two such streams break the rule. */
const mostJoined = 2;

/** Events that a caller was sent, as the worker's version and the number of each. */
function eventsOf(body) {
	return [...body.matchAll(/^id: (?<id>\d+)\ndata: \S+ \d+\n\n/gmv)].map(({groups}) => Number(groups.id));
}

/** A caller of one stream: after a broken channel it takes the stream up where it stopped, as long as its time lasts. */
async function follow(world, number) {
	const startedAt = performance.now();
	const headers = {Model: 'm', 'Token-Usage': '715,280', 'Prefix-Hash': `a${number % 7}:172,b${number}:543`};
	const send = async (machine, more) => {
		const sentAt = performance.now();
		const deadline = Math.round(deadlineMilliseconds - (sentAt - startedAt));
		return world.caller.send(machine, {
			path: '/frage/1', deadline, kind: 'stream', headers: {...headers, ...more},
		});
	};

	const first = await send(world.machines[number % world.machines.length]);
	const answers = [first];
	let last = eventsOf(first.body).at(-1);
	if (last === undefined || first.error === undefined) {
		return answers;
	}

	// A machine without power sends no reset: only the silence shows it.
	await sleep(patienceMilliseconds);
	for (let attempt = 0; attempt < tries && last < events; attempt++) {
		const next = await send(world.machines[(number + attempt + 1) % world.machines.length], {Resumes: first.id, 'Last-Event-Id': String(last)});
		answers.push(next);
		last = eventsOf(next.body).at(-1) ?? last;
		if (next.status === 200 && next.error === undefined) {
			break;
		}

		await sleep(Math.max(tryMilliseconds, Number(next.headers?.['retry-after'] ?? 0) * 1000));
	}

	return answers;
}

await runCase(async () => {
	const world = await World.create({folder: fileURLToPath(new URL('.', import.meta.url)), machines: 4});
	world.publish({
		version: 1, services: [{name: 'modellhof', maxConnections: 170, engine: {slots: 16, kvCapacity: 477_378, stride: 7}}],
		routes: [{
			name: 'bedienerfrage', host: 'review.example', pathPrefix: '/frage/', kind: 'streaming', resumable: true, service: 'modellhof',
			timeoutMs: 10_000, targetLatencyMs: 150, gapAimMs: 120, maxAttempts: 2, public: true, priority: 0,
		}],
	});
	const versionOf = new Map();
	const add = async version => {
		const added = [];
		for (let number = 1; number <= workers; number++) {
			const worker = await FakePlatformWorker.create(`i-${version}-${number}`, 'modellhof');
			worker.answer = () => ({type: 'events', count: events, gapMilliseconds});
			versionOf.set(worker, version);
			world.register(worker, {version});
			added.push(worker);
		}

		return added;
	};

	const earlier = await add('v1');
	if (!await world.start()) {
		await world.end();
		return 2;
	}

	const followed = Promise.all(Array.from({length: streams}, async (_, number) => follow(world, number)));
	await sleep(1500);
	const dark = hasTrouble ? Promise.all(world.machines.map(async machine => machine.losePower(darkMilliseconds))) : undefined;
	world.record.add(hasTrouble ? 'platform: all machines lose power' : 'platform: no trouble');
	await sleep(200);
	await add('v2');
	await sleep(400);
	for (const worker of earlier) {
		world.unregister(worker);
	}

	await dark;
	const answers = await followed;
	const runsOf = new Map();
	for (const [worker, version] of versionOf) {
		for (const {id} of worker.requests) {
			runsOf.set(id, [...runsOf.get(id) ?? [], version]);
		}
	}

	const joined = answers.filter(tried => new Set(tried.filter(({body}) => eventsOf(body).length > 0).flatMap(({id}) => runsOf.get(id) ?? [])).size > 1);
	for (const tried of joined) {
		const parts = tried.map(({id, status, body}) => `${id} ${status} ${runsOf.get(id) ?? 'not run'} events ${eventsOf(body).at(0) ?? '-'} to ${eventsOf(body).at(-1) ?? '-'}`);
		world.record.add('verdict: joined:', parts.join('; '));
	}

	const isBroken = joined.length > mostJoined;
	for (const line of [
		`streams: ${streams}; taken up: ${answers.filter(tried => tried.length > 1).length}; refused to the end: ${answers.filter(tried => tried.length > 1 && tried.at(-1).status !== 200).length}`,
		`streams with events of two software versions: ${joined.length}; allowed: ${mostJoined}`,
		`ORDER ${isBroken ? 'is broken' : 'holds'}`,
	]) {
		world.record.add('verdict:', line);
		console.log(line);
	}

	world.caller.close();
	await world.end();
	return isBroken ? 1 : 0;
});
