import tap from 'tap';
import {type WorkerAnswer, type WorkerRequest} from '../../fakes/platform-worker.js';
import {events, RestartPlay} from './restart-play.js';
import {eventually} from './testbed.js';

const gapMilliseconds = 60;
const cutAfter = 55;

/** The process before goes on until its connections are cut. */
function goesOn({id}: WorkerRequest): WorkerAnswer {
	return id === 'release' ? {type: 'whole', body: 'posted'} : {type: 'events', count: events, gapMilliseconds: 2 * gapMilliseconds};
}

// A stream that broke off at the end of an earlier incarnation was ended, though the next one of the same id was in use and there was no other endpoint.
tap.test('a stream that breaks off at an earlier incarnation goes on at the next one', async t => {
	await using play = await RestartPlay.create(goesOn);
	const {answers} = await play.begin();
	await play.restart({isAtSameAddress: false, isRemovedBefore: true});
	play.paths.get('models')!.cut();
	const {chart, question} = await answers;
	t.ok(chart.isComplete);
	t.same([...chart.body.matchAll(/^id: (?<id>\d+)$/gmv)].map(({groups}) => Number(groups!.id)), Array.from({length: events}, (_, number) => number + 1));
	t.notOk(question.isComplete, 'one that may not be resumed does not');
	t.equal(play.later.find(({service}) => service === 'models')!.requests.length, 1);
});

// The process before fell silent, and its stream waited until its caller gave up although the next incarnation of the same id was in use.
tap.test('a stream that falls silent at an earlier incarnation goes on at the next one', async t => {
	await using play = await RestartPlay.create(({id}) => id === 'release' ? {type: 'whole', body: 'posted'} : {type: 'crash', isSilent: true, afterEvents: 3});
	const {answers} = await play.begin();
	await play.restart({isAtSameAddress: false, isRemovedBefore: true});
	const {chart} = await answers;
	t.ok(chart.isComplete);
	t.equal(chart.body.match(/^id: /gmv)?.length, events);
});

// An endpoint that states its start for the first time is the same process: what has failed there is not sent there again.
tap.test('a stream does not go on at the process that has broken it off and states its start since', async t => {
	await using play = await RestartPlay.create(({id}) => id === 'release' ? {type: 'whole', body: 'posted'} : {type: 'events', count: events, gapMilliseconds, cutAfter});
	const {testbed, paths} = play;
	const worker = await testbed.addWorker('models-late', 'models');
	worker.answer = () => ({type: 'events', count: events, gapMilliseconds: 20, cutAfter: 20});
	testbed.store.put('keyed.servers', 'models-0');
	const {directory} = testbed.gateways[0]!.routingState;
	t.ok(directory.entries.has('models-0') && paths.has('models'));
	await eventually(() => testbed.gateways[0]!.routingState.directory.entries.has('models-late') && testbed.gateways[0]!.routingState.directory.entries.get('models-0')?.endedAt !== undefined);
	const answer = testbed.send({path: '/chart/1', method: 'POST', id: 'late', body: 'draw', headers: {'deadline-ms': '5000'}});
	await eventually(() => testbed.attemptCount('late') === 1);
	testbed.store.put('keyed.servers', worker.id, worker.beat({born: 5000, seq: 2}));
	const {isComplete} = await answer;
	t.notOk(isComplete);
	t.equal(testbed.attemptCount('late'), 1);
});
