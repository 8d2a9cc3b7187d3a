import tap from 'tap';
import {plannedServices, plannedState} from '../gateway/planned-play.js';
import {again, playStop, workMilliseconds} from './stop-play.js';
import {patientRoutes} from './stream-run.js';

const pauseMilliseconds = 250;
/** Behind which version an endpoint is gone: its streams go on elsewhere by the one that they began under. */
const failingNumber = 4;

/** What each version in turn has instead of what the streams began under. */
const changes: ReadonlyArray<Readonly<Record<string, unknown>>> = [
	{routes: patientRoutes.map(route => ({...route, service: 'other'}))},
	{routes: patientRoutes.slice(0, 1)},
	{routes: patientRoutes.map(route => ({...route, timeoutMs: 500}))},
	{routes: patientRoutes, services: plannedServices.map(service => ({...service, maxConnections: 1}))},
	{routes: patientRoutes, tenants: []},
	{routes: patientRoutes.map(route => ({...route, kind: 'unsafe', resumable: false, gapAimMs: undefined, maxAttempts: 1}))},
];

// A version that comes in a stop must not decide about what was begun before it.
tap.test('a stop cuts nothing while versions change and a neighbour stops', async t => {
	await playStop(t, async ({run: {store}, fail}) => again(workMilliseconds, pauseMilliseconds, number => {
		if (number === failingNumber) {
			fail();
		}

		store.put('keyed.op', 'config', plannedState(number + 3, changes[number % changes.length]));
	}));
});
