import tap from 'tap';
import {allowedShare, playOverload, question} from './overload-play.js';

for (const share of [0.12, 0.243, 0.513]) {
	// The most urgent were begun, and too late: they waited in the kernel behind the connections of all others.
	tap.test(`an instance with ${share} of a core and twice what it can do begins the most urgent within their target`, async t => {
		for (const seed of [1, 2, 3]) {
			const late = playOverload({load: 2, share, seed}).share(question, ({arrivedAt, decidedAt}) => decidedAt - arrivedAt > question.targetMilliseconds);
			t.ok(late <= allowedShare, `seed ${seed}: ${late.toFixed(3)} of the questions are begun after their target`);
		}
	});
}
