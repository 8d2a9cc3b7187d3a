import tap from 'tap';
import {type WorkerAnswer, type WorkerRequest} from '../../fakes/platform-worker.js';
import {ageMilliseconds, events, RestartPlay} from './restart-play.js';

const gapMilliseconds = 100;

function goesOn({id}: WorkerRequest): WorkerAnswer {
	return id === 'release' ? {type: 'whole', body: 'posted', afterMilliseconds: ageMilliseconds + 1500} : {type: 'events', count: events, gapMilliseconds};
}

const restarts = [
	{name: 'at another address', isAtSameAddress: false},
	{name: 'at another address, removed before', isAtSameAddress: false, isRemovedBefore: true},
	{name: 'at its address', isAtSameAddress: true},
	{name: 'at its address, removed before', isAtSameAddress: true, isRemovedBefore: true},
] as const;

// All streams of an endpoint broke off at the news of its next incarnation, although the earlier one went on sending.
for (const {name, ...restart} of restarts) {
	tap.test(`an endpoint that restarts ${name} while its earlier process goes on leaves the requests there their answers`, async t => {
		await using play = await RestartPlay.create(goesOn);
		const {answers} = await play.begin();
		await play.restart(restart);
		const {chart, question, release} = await answers;
		for (const stream of [chart, question]) {
			t.ok(stream.isComplete);
			t.equal(stream.body.match(/^id: /gmv)?.length, events);
		}

		t.same([release.status, release.body], [200, 'posted']);
		t.same(play.abandoned, []);
		t.match(play.testbed.logLines.find(({msg, endpoint}) => String(msg).includes('earlier incarnation take no more') && endpoint === 'models-0'), {
			busy: 2, free: 0, hadAnnouncedLeaving: false, isAtSameAddress: restart.isAtSameAddress, source: 'store',
		});
	});
}
