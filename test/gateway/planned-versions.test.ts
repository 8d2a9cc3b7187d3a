import tap from 'tap';
import {expectedAnswers, type PlannedChange, PlannedPlay, plannedRoute, plannedRoutes, plannedState, routesWith, version, workMilliseconds} from './planned-play.js';

const stormMilliseconds = 330;
const unrelated = {...plannedRoute, name: 'unrelated', pathPrefix: '/unrelated/', kind: 'safe', service: 'other'};
const more = Array.from({length: 500}, (_, number) => ({...plannedRoute, name: `more-${number}`, pathPrefix: `/more-${number}/`, kind: 'safe', service: 'other'}));

async function sleep(milliseconds: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}

const changes: readonly PlannedChange[] = [
	version('moves all routes to another service', {routes: routesWith({service: 'other'})}),
	version('removes all routes', {routes: [unrelated]}, 404),
	{
		name: 'removes all routes and brings them back', async apply(play) {
			await play.publish(3, {routes: [unrelated]});
			await play.publish(4);
		},
	},
	version('removes the routes and their services', {routes: [unrelated], services: [{name: 'other', maxConnections: 100}]}, 404),
	version('shortens all timeouts', {routes: routesWith({timeoutMs: 500})}),
	version('lengthens all timeouts', {routes: routesWith({timeoutMs: 60_000})}),
	version('makes all routes unsafe', {routes: routesWith({kind: 'unsafe', resumable: false, gapAimMs: undefined, maxAttempts: 1})}),
	version('makes all routes safe', {routes: routesWith({kind: 'safe', resumable: false, gapAimMs: undefined})}),
	version('makes all streams resumable', {routes: plannedRoutes.map(route => ({...route, resumable: route.kind === 'streaming'}))}),
	version('makes no stream resumable', {routes: routesWith({resumable: false})}),
	version('allows one attempt', {routes: routesWith({maxAttempts: 1})}),
	version('allows five attempts', {routes: routesWith({maxAttempts: 5})}),
	version('adds hundreds of routes', {routes: [...plannedRoutes, ...more]}),
	version('has the content of the one before', {}),
	{
		name: 'is the last of a storm', async apply(play) {
			for (let number = 3; number < 9; number++) {
				play.testbed.store.put('keyed.op', 'config', plannedState(number, number % 2 === 0 ? {} : {routes: [unrelated], tenants: []}));
				await sleep(stormMilliseconds);
			}

			await play.version(8);
		},
	},
];

// A request that was read under one version was cut off, or handled by another one, when the next came into force.
for (const {name, apply, refusal} of changes) {
	tap.test(`a version that ${name} leaves the requests in progress their answers`, async t => {
		await using play = await PlannedPlay.create();
		const requests = await play.begin();
		await apply(play);
		t.same(await play.finish(requests), expectedAnswers(requests, refusal));
		t.same(play.abandoned, [], 'no endpoint is cut off');
		await t.resolves(play.released(), 'nothing is held');
	});
}

// What a change leaves behind must not count against requests after it.
tap.test('requests are served as before after many versions', async t => {
	await using play = await PlannedPlay.create();
	for (let number = 3; number < 23; number++) {
		await play.publish(number, number % 2 === 0 ? {} : {routes: [...plannedRoutes, ...more]});
	}

	const before = performance.now();
	const answers = await play.finish(await play.begin());
	t.ok([...answers.values()].every(({status, isWhole}) => status === 200 && isWhole));
	t.ok(performance.now() - before < workMilliseconds * 3);
	await t.resolves(play.released());
});
