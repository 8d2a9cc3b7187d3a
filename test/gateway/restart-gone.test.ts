import tap from 'tap';
import {type WorkerAnswer, type WorkerRequest} from '../../fakes/platform-worker.js';
import {ageMilliseconds, events, RestartPlay} from './restart-play.js';

/** Under this, an answer has ended by the news of the restart, and not by its request's time. */
const givenUpMilliseconds = 6000;

/** A process that is gone behind a network partition: nothing ends its connections, and nothing comes on them. */
function isGone({id}: WorkerRequest): WorkerAnswer {
	return id === 'release' ? {type: 'silent'} : {type: 'crash', isSilent: true, afterEvents: 3};
}

// Streams that may go on elsewhere waited for endpoints that had crashed behind a network partition until their time was over.
tap.test('a stream that may be resumed leaves an endpoint that is gone and whose address is assigned again', async t => {
	await using play = await RestartPlay.create(isGone);
	const {answers} = await play.begin();
	await play.addReplacement();
	await play.restart({isAtSameAddress: true});
	const {chart, question, release} = await answers;
	t.ok(chart.isComplete);
	t.equal(chart.body.match(/^id: /gmv)?.length, events);
	t.ok(chart.milliseconds < ageMilliseconds + givenUpMilliseconds);
	// What can go on nowhere else gains nothing by an earlier end.
	t.notOk(question.isComplete);
	t.equal(release.status, 504);
});

tap.test('a stream that may be resumed goes on elsewhere if its endpoint is gone, whatever the address of the next one', async t => {
	await using play = await RestartPlay.create(isGone);
	const {answers} = await play.begin();
	await play.addReplacement();
	await play.restart({isAtSameAddress: false});
	const {chart} = await answers;
	t.ok(chart.isComplete);
	t.equal(chart.body.match(/^id: /gmv)?.length, events);
});
