import tap from 'tap';
import {sleep} from './gateway-child.js';
import {playStop} from './stop-play.js';

const stepMilliseconds = 1000;

// A store in trouble excuses nothing: what was begun before ends whole, or goes on elsewhere, without it.
for (const fault of ['silent', 'reset', 'refuse'] as const) {
	tap.test(`a stop cuts nothing while each call to the store meets the fault ${fault}`, async t => {
		await playStop(t, async ({run: {store}, fail}) => {
			store.fault = () => fault;
			await sleep(stepMilliseconds);
			fail();
			await sleep(stepMilliseconds);
		});
	});
}
