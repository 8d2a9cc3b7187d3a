import {writeFileSync} from 'node:fs';
import tap from 'tap';
import {plannedState} from '../gateway/planned-play.js';
import {sleep} from './gateway-child.js';
import {again, playStop} from './stop-play.js';
import {patientRoutes} from './stream-run.js';

/** From here to the end of a stop of 8 s, while streams that have begun before are in their last events or go on elsewhere. */
const lastFromMilliseconds = 2000;
const lastMilliseconds = 6000;
const pauseMilliseconds = 150;
const failingNumber = 3;

// A reload or a version that is read while the process ends must not end what still runs.
tap.test('a SIGHUP, another settings file and a new version in the last seconds of a stop cut nothing', async t => {
	await playStop(t, async ({run, fail}) => {
		await sleep(lastFromMilliseconds);
		await again(lastMilliseconds, pauseMilliseconds, number => {
			if (number === failingNumber) {
				fail();
			}

			writeFileSync(run.file, JSON.stringify({...run.settings, stopSeconds: 1, memoryMegabytes: 1, retryRatio: 2 + (number % 2)}));
			run.gateway.child.kill('SIGHUP');
			run.store.put('keyed.op', 'config', plannedState(number + 3, number % 2 === 0 ? {routes: patientRoutes.slice(0, 1)} : {routes: patientRoutes}));
		});
	});
});
