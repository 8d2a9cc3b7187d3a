import tap from 'tap';
import {begin, end, replace} from './replaced-side-play.js';

// The earlier side is gone without a packet that says so: its own silence ends its streams, which go on at the replacement.
tap.test('streams at a side that is gone go on at its replacement', async t => {
	const play = await begin({hasPaths: true});
	play.paths[0]!.faults.silent = true;
	await replace(play);
	const results = await Promise.all(play.streams);
	t.same(results.map(({outcome}) => outcome), ['whole', 'whole', 'whole']);
	t.equal(play.earlier.side.counts.whole, 0);
	t.equal(play.fleet.endpoints[0]!.side.counts.whole, 3);
	t.equal(play.fleet.endpoints[0]!.engine.resumeMismatches, 0);
	play.paths[0]!.heal();
	await end(play);
});
