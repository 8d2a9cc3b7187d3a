import tap from 'tap';
import {FakePlatformWorker} from '../../fakes/platform-worker.js';
import {sleep} from './gateway-child.js';
import {playStop} from './stop-play.js';
import {type StreamRun} from './stream-run.js';

const stepMilliseconds = 400;
/** From then on the connections of all streams count as older than the next incarnation. */
const restartMilliseconds = 2200;
const born = Date.now() - 60_000;

type Beat = Readonly<Record<string, unknown>>;

/** What the endpoints registered last, since one that is gone has no address any more. */
function registerAll({store}: StreamRun, beats: ReadonlyMap<string, Beat>, more: Beat): void {
	for (const [id, beat] of beats) {
		store.put('keyed.servers', id, {...beat, born, ...more});
	}
}

function removeAll({store, workers}: StreamRun): void {
	for (const {id} of workers) {
		store.put('keyed.servers', id);
	}
}

const ways = [
	{name: 'that has announced it', hasAnnounced: true, isRemoved: true},
	{name: 'without having announced it', hasAnnounced: false, isRemoved: true},
	{name: 'that is still registered', hasAnnounced: false, isRemoved: false},
] as const;

// The next incarnation of an endpoint that goes on sending must end nothing in a stop.
for (const {name, hasAnnounced, isRemoved} of ways) {
	tap.test(`a stop cuts nothing while the next incarnation registers of an endpoint ${name}`, async t => {
		await playStop(t, async ({run, beats, later, fail}) => {
			const startedAt = performance.now();
			registerAll(run, beats, {seq: 2});
			await sleep(stepMilliseconds);
			if (hasAnnounced) {
				registerAll(run, beats, {seq: 3, state: 'draining'});
				await sleep(stepMilliseconds);
			}

			if (isRemoved) {
				removeAll(run);
				await sleep(stepMilliseconds);
			}

			await sleep(startedAt + restartMilliseconds - performance.now());
			for (const {id, service} of run.workers) {
				const worker = await FakePlatformWorker.create(id, service);
				worker.answer = run.workers[0]!.answer;
				later.push(worker);
				run.store.put('keyed.servers', id, worker.beat({born: born + 50_000, seq: 1}));
			}

			await sleep(stepMilliseconds);
			fail();
		});
	});
}
