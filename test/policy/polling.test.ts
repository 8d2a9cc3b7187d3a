import tap from 'tap';
import {createRandom} from '../../bench/harness/random.js';
import {endpointPollInterval} from '../../src/policy/sharing/index.js';

const seconds = 60;
const drainMilliseconds = 2000;
/** Instances discover each other within about two seconds. */
const discoveryMilliseconds = 2000;
/** How often an interval is computed again, since the number of peers may change. */
const recheckMilliseconds = 100;

/** The times at which any of the instances polls; they start within a third of a second. */
function pollTimes(instances: number, seed: number): number[] {
	const random = createRandom(seed);
	const times: number[] = [];
	for (let instance = 0; instance < instances; instance++) {
		let now = random.uniform() * 300;
		for (let count = 1; now < seconds * 1000; count++) {
			times.push(now);
			const position = {polls: count, draw: random.uniform()};
			for (const from = now; now - from < endpointPollInterval({others: now < discoveryMilliseconds ? 0 : instances - 1, drainMilliseconds}, position);) {
				now += recheckMilliseconds;
			}
		}
	}

	return times.toSorted((left, right) => left - right);
}

// Guards against instances that start together and poll at the same times. All of 23 polled at once, six seconds apart: an ended endpoint
// was seen at 2.318, 8.293 and 14.333 s, each time first by the same instance. An endpoint that announced its shutdown at 9.811 s got
// requests 3,166 ms later, although it serves for only 3,000 ms. Instances inform each other in time only if they poll at different times.
for (const instances of [2, 4, 8, 13, 26, 32]) {
	tap.test(`of ${instances} instances that start together, one polls at least every two seconds`, async t => {
		for (let seed = 1; seed <= 20; seed++) {
			const times = pollTimes(instances, seed).filter(time => time > discoveryMilliseconds * 2);
			const gaps = times.slice(1).map((time, index) => time - times[index]!);
			t.ok(Math.max(...gaps) <= 2000, `longest ${Math.round(Math.max(...gaps))} ms, seed ${seed}`);
		}
	});
}
