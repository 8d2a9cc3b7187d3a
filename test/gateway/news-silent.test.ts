import tap from 'tap';
import {leavingNews} from './news-changes.js';
import {deadlineMilliseconds, NewsPlay, summariesOf, wholeAnswers} from './news-play.js';

tap.jobs = 4;

/** By so much before its time a request may be ended. */
const earlyMilliseconds = 500;
/** Not those after which requests are sent to a path that is silent, or to no other build. */
const news = leavingNews.filter(({name}) => !name.includes('build') && !name.includes('assigned'));

// What may go on elsewhere waited for an endpoint that was gone; what may not was ended by the news, before its time was over.
for (const {name, apply} of news) {
	tap.test(`requests whose endpoints fall silent go on elsewhere or wait for their time, though ${name}`, {buffered: true}, async t => {
		await using play = await NewsPlay.create();
		const {answers} = await play.begin();
		await play.addReplacements();
		await apply(play);
		for (const path of play.paths.values()) {
			path.faults.silent = true;
		}

		const {chart, question, release} = await answers;
		t.equal(summariesOf(await answers).chart, wholeAnswers.chart);
		t.ok(chart.milliseconds < deadlineMilliseconds - earlyMilliseconds);
		for (const {milliseconds, status, isComplete} of [question, release]) {
			t.ok(milliseconds > deadlineMilliseconds - earlyMilliseconds, 'a silent endpoint may be at work');
			t.notOk(status === 200 && isComplete);
		}
	});
}
