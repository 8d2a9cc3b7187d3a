import tap from 'tap';
import {leavingNews} from './news-changes.js';
import {NewsPlay, summariesOf, wholeAnswers} from './news-play.js';

tap.jobs = 4;

// Requests in progress were cut off, or sent twice, by news of their endpoints, although these go on with them.
for (const {name, apply} of leavingNews) {
	tap.test(`requests in progress end whole where their endpoints go on, though ${name}`, {buffered: true}, async t => {
		await using play = await NewsPlay.create();
		const {answers} = await play.begin();
		await apply(play);
		t.same(summariesOf(await answers), wholeAnswers);
		t.same(play.abandoned, [], 'no endpoint is cut off');
		for (const id of Object.keys(wholeAnswers)) {
			t.equal(play.testbed.attemptCount(id), 1, `${id} is sent once`);
		}
	});
}
