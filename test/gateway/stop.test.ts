import tap from 'tap';
import {openMilliseconds} from '../../src/gateway/index.js';

/** The balancer asks each second and takes an instance out after two misses; an answer takes up to this. */
const balancerMilliseconds = 2000;
const answerMilliseconds = 300;
/** What is taken later than this after the stop began is cut if it is long. */
const lastStartMilliseconds = 3000;
const timerMilliseconds = 200;

// An instance is stopped. A caller's connection was kept, and 3.1 s later it sent a request there whose stream
// lasts four seconds; the stop's end cut it in the middle. The port has to stay open until the balancer
// sends nobody any more, and no longer than what is taken can still end.
tap.test('a stopping instance takes requests until the balancer knows, and none that it would cut', async t => {
	t.ok(openMilliseconds >= balancerMilliseconds + answerMilliseconds);
	t.ok(openMilliseconds + timerMilliseconds < lastStartMilliseconds);
});
