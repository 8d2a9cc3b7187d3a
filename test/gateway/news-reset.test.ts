import tap from 'tap';
import {leavingNews, otherNews} from './news-changes.js';
import {NewsPlay, summariesOf, wholeAnswers} from './news-play.js';

tap.jobs = 4;

/** Those after which the replacements serve what the requests may be sent to. */
const news = [...leavingNews, ...otherNews].filter(({name}) => !name.includes('build'));

// What may go on elsewhere was ended, or what may not was sent again, since the news came before the endpoint broke off.
for (const {name, apply} of news) {
	tap.test(`requests whose endpoints break off go on elsewhere or end, though ${name}`, {buffered: true}, async t => {
		await using play = await NewsPlay.create();
		const {answers} = await play.begin();
		await play.addReplacements();
		await apply(play);
		for (const path of play.paths.values()) {
			path.cut();
		}

		const {chart, question, release} = summariesOf(await answers);
		t.equal(chart, wholeAnswers.chart);
		t.match(question, /^200 cut, \d+ events$/v);
		t.match(release, /^502 whole/v);
		t.equal(play.testbed.attemptCount('question'), 1);
		t.equal(play.testbed.attemptCount('release'), 1);
	});
}
