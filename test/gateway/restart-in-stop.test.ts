import tap from 'tap';
import {type WorkerAnswer, type WorkerRequest} from '../../fakes/platform-worker.js';
import {ageMilliseconds, events, RestartPlay} from './restart-play.js';

const gapMilliseconds = 90;

function goesOn({id}: WorkerRequest): WorkerAnswer {
	return id === 'release' ? {type: 'whole', body: 'posted', afterMilliseconds: ageMilliseconds + 2500} : {type: 'events', count: events, gapMilliseconds};
}

const restarts = [
	{name: 'at another address', isAtSameAddress: false},
	{name: 'at its address', isAtSameAddress: true},
	{name: 'at its address, removed before', isAtSameAddress: true, isRemovedBefore: true},
] as const;

// The news of a restart must end nothing in a stop either, where its requests can go on nowhere else.
for (const {name, ...restart} of restarts) {
	tap.test(`an endpoint that restarts ${name} while the instance stops leaves the requests there their answers`, {buffered: true}, async t => {
		await using play = await RestartPlay.create(goesOn);
		const {answers} = await play.begin();
		const drained = play.testbed.gateways[0]!.drain();
		await play.restart(restart);
		const {chart, question, release} = await answers;
		t.same([chart, question].map(({isComplete, body}) => [isComplete, body.match(/^id: /gmv)?.length]), [[true, events], [true, events]]);
		t.same([release.status, release.body], [200, 'posted']);
		t.same(play.abandoned, []);
		t.ok(await drained, 'the stop is whole');
	});
}
