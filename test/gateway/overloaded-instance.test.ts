import tap from 'tap';
import {allowedShare, chart, draft, playOverload, question} from './overload-play.js';
import {type LoopCaller} from './virtual-loop.js';

/** Accepting connections takes at most half of the time that is not spent on running requests. */
const leastThroughput = 0.5;

const isUnserved = ({outcome}: LoopCaller): boolean => outcome !== 'begun';

for (const share of [0.12, 0.243, 0.513]) {
	for (const load of [0.5, 1, 2, 3]) {
		// Callers got less the more of them came: the processor went to connections and to refusals of callers that came back at once.
		tap.test(`an instance with ${share} of a core begins on at ${load} times what it can do`, async t => {
			for (const seed of [1, 2, 3]) {
				const without = playOverload({load, share, seed, hasGate: false});
				const {begun} = playOverload({load, share, seed});
				t.ok(begun >= leastThroughput * without.begun, `seed ${seed}: ${begun} begun, ${without.begun} without a gate`);
			}
		});
	}

	// Who waits for the shortest time got nothing, whatever its urgency.
	tap.test(`an instance with ${share} of a core and twice what it can do gives the least urgent nothing first`, async t => {
		for (const seed of [1, 2, 3]) {
			const {share: shareOf} = playOverload({load: 2, share, seed});
			const [questions, charts, drafts] = [question, chart, draft].map(kind => shareOf(kind, isUnserved));
			t.ok(questions! <= allowedShare, `seed ${seed}: ${questions!.toFixed(3)} of the questions are not begun`);
			t.ok(charts! <= allowedShare || drafts === 1, `seed ${seed}: ${charts!.toFixed(3)} of the charts are not begun, ${drafts!.toFixed(3)} of the drafts`);
		}
	});
}
